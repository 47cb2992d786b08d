"""Two entry hosts and their targets, of which the first host may lose every path to targets."""

import random
import socket
from collections.abc import Mapping
from typing import Any

from cranberrywall.runtime import make_clock
from cranberrywall.tunnels import DirectPaths, Neighbours, Paths, TunnelClient, TunnelServer
from tests.fakes.links import Switchboard
from tests.fakes.membership import FixedMembership
from tests.forwarding.scripted import ForwardingHarness, Script, answers
from tests.targets.announcements import announce

TARGETS = ("target-1", "target-2", "target-3")


def refusing_url() -> str:
    """Return a URL whose port refuses connections."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        host, port = unused.getsockname()
    return f"http://{host}:{port}"


class PartitionedPair:
    """A host that reaches targets at ``url_by_id``, and a neighbour that reaches all of them.

    Each host has its own addresses of the targets, so that the first host's can fail.
    """

    def __init__(self, **route_fields: Any) -> None:
        clock, hosts = make_clock(), FixedMembership()
        hosts.add("neighbour", links="neighbour")
        self.switchboard = Switchboard()
        neighbours = Neighbours("partitioned", "town-hall", hosts.alive, random.Random(1))
        caller = self.switchboard.caller("partitioned")
        self.direct_paths = DirectPaths()
        self.paths = Paths(self.direct_paths, TunnelClient(caller, neighbours, clock), clock)
        self.partitioned = ForwardingHarness(self.paths, **route_fields)
        self.neighbour = ForwardingHarness(**route_fields)
        self.tunnels = TunnelServer(self.neighbour.targets, DirectPaths(), clock)
        self.tunnels.register(self.switchboard.server("neighbour"))

    async def __aenter__(self) -> "PartitionedPair":
        await self.partitioned.__aenter__()
        await self.neighbour.__aenter__()
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.partitioned.__aexit__(*details)
        self.paths.close()
        self.tunnels.close()
        await self.neighbour.__aexit__(*details)

    async def start_targets(self, script: Script | None = None) -> None:
        """Start the targets; both hosts reach them."""
        for name in TARGETS:
            await self.neighbour.target(name, script or answers())
        self.partitioned.router.url_by_id.update(self.neighbour.router.url_by_id)
        self._announce(self.neighbour, self.neighbour.router.url_by_id)
        self._announce(self.partitioned, self.partitioned.router.url_by_id)

    def partition(self, url_by_id: Mapping[str, str] | None = None) -> None:
        """Replace the first host's addresses of the targets; by default, by ones that refuse."""
        urls = url_by_id or {name: refusing_url() for name in TARGETS}
        self.partitioned.router.url_by_id.update(urls)

    @staticmethod
    def _announce(host: ForwardingHarness, url_by_id: Mapping[str, str]) -> None:
        for name, url in url_by_id.items():
            host.targets.apply(announce(name, kind="service", url=url), 0.0)
