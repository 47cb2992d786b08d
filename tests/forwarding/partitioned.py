"""Two entry hosts and their targets, of which the first host may lose every path to targets."""

import asyncio
import random
import socket
import struct
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from typing import Any

from cranberrywall.runtime import make_clock
from cranberrywall.tunnels import DirectPaths, Neighbours, Paths, TunnelClient, TunnelServer
from tests.fakes.links import Switchboard
from tests.fakes.membership import FixedMembership
from tests.forwarding.scripted import ForwardingHarness, Script, answers
from tests.targets.announcements import announce

TARGETS = ("target-1", "target-2", "target-3", "target-4")
NEIGHBOURS = ("neighbour-1", "neighbour-2")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def refusing_url() -> str:
    """Return a URL whose port refuses connections."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        host, port = unused.getsockname()
    return f"http://{host}:{port}"


@contextmanager
def hanging_url() -> Iterator[str]:
    """Yield a URL at which connections get no answer, because the listener's queue is full."""
    with socket.socket() as listener, socket.socket() as first, socket.socket() as second:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for waiting in (first, second):
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        host, port = listener.getsockname()
        yield f"http://{host}:{port}"


@asynccontextmanager
async def resetting_url() -> AsyncIterator[str]:
    """Yield a URL at which connections are established, and reset at their first bytes."""

    async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        writer.transport.abort()

    async with await asyncio.start_server(reset, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        yield f"http://{host}:{port}"


class FreezableLink:
    """Listener that forwards connections to a URL until it is frozen; they stay open then."""

    def __init__(self, url: str) -> None:
        self._address = url.removeprefix("http://").split(":")
        self._may_forward = asyncio.Event()
        self._may_forward.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Return the URL of the listener."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"http://{host}:{port}"

    def freeze(self) -> None:
        """Forward no byte any more."""
        self._may_forward.clear()

    def close(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self._address
        self._writers.add(writer)
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(far_writer)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._copy(source, sink))
            self._tasks.add(task)

    async def _copy(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        while data := await source.read(4096):
            await self._may_forward.wait()
            sink.write(data)
        await self._may_forward.wait()
        sink.close()


class PartitionedPair:
    """A host that can lose its paths to targets, and two neighbours that keep theirs.

    Each host has its own addresses of the targets, so that the first host's can fail. The
    neighbours share the targets that ``neighbour`` starts.
    """

    def __init__(self, **route_fields: Any) -> None:
        clock, hosts = make_clock(), FixedMembership()
        for name in NEIGHBOURS:
            hosts.add(name, links=name)
        self.switchboard = Switchboard()
        neighbours = Neighbours("partitioned", "town-hall", hosts.alive, random.Random(1))
        caller = self.switchboard.caller("partitioned")
        self.direct_paths = DirectPaths()
        self.paths = Paths(self.direct_paths, TunnelClient(caller, neighbours, clock), clock)
        self.partitioned = ForwardingHarness(self.paths, **route_fields)
        self.neighbour = ForwardingHarness(**route_fields)
        self.tunnels_by_host = {name: self._serve_tunnels(name) for name in NEIGHBOURS}

    async def __aenter__(self) -> "PartitionedPair":
        await self.partitioned.__aenter__()
        await self.neighbour.__aenter__()
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.partitioned.__aexit__(*details)
        self.paths.close()
        for tunnels in self.tunnels_by_host.values():
            tunnels.close()
        await self.neighbour.__aexit__(*details)

    @property
    def received(self) -> list[str]:
        """Return the ids of the requests that reached targets."""
        return [headers["X-Request-Id"] for _, headers in self.neighbour.received]

    def is_bypassed(self, target: str) -> bool:
        """Return whether the first host connects to a target through its neighbours."""
        return self.direct_paths.is_bypassed(target, make_clock().now())

    @property
    def carried(self) -> int:
        """Return the number of open tunnels."""
        return sum(tunnels.running for tunnels in self.tunnels_by_host.values())

    async def start_targets(self, *scripts: Script) -> None:
        """Start the targets, the last ones with the last script; both hosts reach them."""
        for index, name in enumerate(TARGETS):
            script = scripts[min(index, len(scripts) - 1)] if scripts else answers()
            await self.neighbour.target(name, script)
        self.partitioned.router.url_by_id.update(self.neighbour.router.url_by_id)
        for host in (self.neighbour, self.partitioned):
            for name, url in host.router.url_by_id.items():
                host.targets.apply(announce(name, kind="service", url=url), 0.0)

    def partition(self, url: str = "") -> None:
        """Replace the first host's addresses of all targets; by default, by ones that refuse."""
        self.use_urls({name: url or refusing_url() for name in TARGETS})

    def use_urls(self, url_by_id: Mapping[str, str]) -> None:
        """Replace the first host's addresses of targets."""
        self.partitioned.router.url_by_id.update(url_by_id)

    def heal(self) -> None:
        """Give the first host the addresses of the targets back."""
        self.use_urls(self.neighbour.router.url_by_id)

    def _serve_tunnels(self, name: str) -> TunnelServer:
        tunnels = TunnelServer(self.neighbour.targets, DirectPaths(), make_clock())
        tunnels.register(self.switchboard.server(name))
        return tunnels
