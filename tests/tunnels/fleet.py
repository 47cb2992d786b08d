"""A fleet of entry hosts in virtual time, with a matrix of which host reaches which target."""

import asyncio
import random
from enum import Enum
from typing import NamedTuple
from unittest.mock import Mock

from aiohttp.client_proto import ResponseHandler

from cranberrywall.targets import ConnectionRequest, TargetIncarnation, make_targets
from cranberrywall.tunnels import DirectPaths, Neighbours, Paths, TunnelClient, TunnelServer
from tests.fakes.clock import VirtualClock
from tests.fakes.links import Switchboard
from tests.fakes.membership import FixedMembership
from tests.targets.announcements import announce

TRIP_S = 0.003
"""Time to connect to a target, and to call a neighbour, in seconds."""

CONNECT_TIMEOUT_S = 0.6
MIN_REMAINING_S = 0.6


class Reach(Enum):
    """What a host gets when it connects to a target."""

    OK = "ok"
    REFUSED = "refused"
    HUNG = "hung"


class Result(NamedTuple):
    """Connection for one request: when it was asked for, and its time; ``None`` if it failed."""

    host: str
    at: float
    seconds: float | None


class Fleet:
    """Hosts that connect to targets directly or through each other."""

    def __init__(self, hosts: int, places: int, targets: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.place_by_host = {f"host-{n}": f"place-{n % places}" for n in range(hosts)}
        self.targets = [f"target-{n}" for n in range(targets)]
        self.reach: dict[tuple[str, str], Reach] = {}
        self.results: list[Result] = []
        self._clock = VirtualClock()
        self._switchboard = Switchboard()
        self._membership = FixedMembership()
        self._known = make_targets()
        for name in self.targets:
            url = f"http://{name}:1"
            self._known.apply(announce(name, kind="service", url=url), 0.0)
        self._paths_by_host: dict[str, Paths] = {}
        for host, place in self.place_by_host.items():
            self._membership.add(host, links=host, place=place)
            self._paths_by_host[host] = self._make_paths(host, place)

    def now(self) -> float:
        """Return the virtual time, in seconds."""
        return self._clock.now()

    def cut(self, hosts: list[str], reach: Reach) -> None:
        """Set what these hosts get from all targets."""
        self.reach.update({(host, target): reach for host in hosts for target in self.targets})

    def fail_targets(self, reach: Reach) -> None:
        """Set what all hosts get from all targets."""
        self.cut(list(self.place_by_host), reach)

    async def request(self, host: str) -> None:
        """Connect for one request to one target after the other, within its deadline."""
        started_at = self._clock.now()
        result = Result(host, started_at, None)
        try:
            async with asyncio.timeout(MIN_REMAINING_S):
                for target in self.random.sample(self.targets, len(self.targets)):
                    if await self._connect(host, target):
                        result = result._replace(seconds=self._clock.now() - started_at)
                        break
        except TimeoutError:
            pass
        self.results.append(result)

    async def run(self, until: float, per_s: float) -> None:
        """Start requests at random hosts until a time."""
        hosts = list(self.place_by_host)
        async with asyncio.TaskGroup() as group:
            while self._clock.now() < until:
                group.create_task(self.request(self.random.choice(hosts)))
                await self._clock.sleep(self.random.expovariate(per_s))

    def close(self) -> None:
        for paths in self._paths_by_host.values():
            paths.close()

    async def _connect(self, host: str, target: str) -> bool:
        request = ConnectionRequest(TargetIncarnation(target, 1), "id", lambda: True)

        async def connect_directly() -> ResponseHandler:
            await self._reach(host, target)
            return self._make_protocol()

        try:
            protocol = await self._paths_by_host[host].connect(
                request, connect_directly, self._make_protocol
            )
        except OSError:
            return False
        protocol.close()
        return True

    async def _reach(self, host: str, target: str) -> None:
        await self._clock.sleep(TRIP_S)
        reach = self.reach.get((host, target), Reach.OK)
        if reach is Reach.REFUSED:
            raise ConnectionRefusedError
        if reach is Reach.HUNG:
            await self._clock.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError

    def _make_protocol(self) -> ResponseHandler:
        return ResponseHandler(asyncio.get_running_loop())

    def _make_paths(self, host: str, place: str) -> Paths:
        direct = DirectPaths()

        async def dial(url: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
            await self._reach(host, url.removeprefix("http://").partition(":")[0])
            return asyncio.StreamReader(), Mock(spec=asyncio.StreamWriter)

        tunnels = TunnelServer(self._known, direct, self._clock, dial)
        tunnels.register(self._switchboard.server(host))
        neighbours = Neighbours(host, place, self._membership.alive, self.random)
        client = TunnelClient(self._switchboard.caller(host), neighbours, self._clock)
        return Paths(direct, client, self._clock)
