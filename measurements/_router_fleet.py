"""Play callers and targets against the real routers of many hosts, in virtual time.

Everything that decides is the product's own.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence
from random import Random
from typing import Any, NamedTuple, cast

from result import Err

from cranberrywall.configuration import ColdStart, Document
from cranberrywall.rates import make_standalone_rates
from cranberrywall.routing import (
    Demand,
    RejectionSpread,
    RetryLimits,
    Slot,
    TargetRouter,
    make_router,
)
from cranberrywall.targets import Announcement, Backoffs, Targets, make_targets
from measurements._virtual_time import VirtualClock

KIND, SERVICE = "service", "ledger"
LINK_S = (0.001, 0.004)
"""Shortest and longest time between a host and a target, in seconds."""

ATTEMPTS = 2
EXPIRE_S = 1.0
RETRIES = RetryLimits(share=0.2, max_saved=30.0, min_hosts=1)


class FleetConfiguration:
    """Configuration of a fleet with one service; its targets may have a ``cold_start``."""

    revision = 1

    def __init__(self, cold_start: ColdStart | None = None) -> None:
        service = {} if cold_start is None else {"cold_start": cold_start}
        self.document = cast(
            Document,
            {"workspaces": {}, "places": {}, "priorities": {}, "services": {SERVICE: service}},
        )

    def workspace_by_key(self, key: str) -> None:
        """Return nothing: the fleet has no keys."""
        return

    def ledger_group(self, budget: str) -> str:
        """Return the one group."""
        return "ledger-0"


class Traffic(NamedTuple):
    """Requests of all callers: ``per_s`` a second, all at once if ``has_bursts``."""

    per_s: float
    seconds: float
    deadline_s: float
    has_bursts: bool


class RoutedHost(NamedTuple):
    """A host's router with what it knows of the targets."""

    targets: Targets
    backoffs: Backoffs
    router: TargetRouter


class RouterFleet(ABC):
    """Hosts, and callers that send them requests; subclasses have the targets."""

    def __init__(self, seed: int, hosts: int, announcements: Sequence[Announcement]) -> None:
        self.random = Random(seed)
        self._announcements = announcements
        self._count = hosts
        self.hosts = [self._make_host(number) for number in range(hosts)]
        self.asked = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @abstractmethod
    async def call(self, host: int, deadline: float) -> None:
        """Send one request to a host."""

    def make_rejections(self, host: str, clock: VirtualClock) -> RejectionSpread | None:
        """Return the exchange of rejections of a host, if the hosts have one."""
        return None

    def burst(self, count: int) -> list[int]:
        """Return the hosts of the requests of one burst."""
        return [self.random.randrange(self._count) for _ in range(count)]

    def maintain(self, now: float) -> None:
        """Let the hosts forget what is over; called once in ``EXPIRE_S``."""
        for host in self.hosts:
            host.backoffs.expire(now)

    async def play_traffic(self, traffic: Traffic) -> None:
        """Play the traffic to its end."""
        maintaining = asyncio.get_running_loop().create_task(self._maintain())
        await self._send(traffic)
        await asyncio.sleep(traffic.deadline_s + 1.0)
        maintaining.cancel()

    async def acquire(
        self, host: int, rank: int, tried: frozenset[str], deadline: float
    ) -> Slot | None:
        """Return a slot for a request of which each target in ``tried`` had an attempt."""
        demand = Demand("", KIND, SERVICE, "", "", rank, deadline, 1, caller="w")
        demand = demand._replace(exclude=tried, retry=bool(tried))
        now = asyncio.get_running_loop().time()
        acquired = await self.hosts[host].router.acquire(demand, now)
        return None if isinstance(acquired, Err) else acquired.ok_value

    def _make_host(self, number: int) -> RoutedHost:
        clock = VirtualClock()
        name = f"entry-{number}"
        targets = make_targets()
        backoffs = Backoffs(clock, self.random)
        for announcement in self._announcements:
            targets.apply(announcement, clock.now())
        configuration: Any = FleetConfiguration()
        router = make_router(
            targets,
            configuration,
            clock,
            self.random,
            name,
            "p",
            lambda: self._count,
            retry_limits=RETRIES,
            rates=make_standalone_rates(targets, clock, self.random),
            backoffs=backoffs,
            rejections=self.make_rejections(name, clock),
        )
        return RoutedHost(targets, backoffs, router)

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            self.maintain(asyncio.get_running_loop().time())

    async def _send(self, traffic: Traffic) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + traffic.seconds
        while loop.time() < until:
            if traffic.has_bursts:
                await asyncio.sleep(1.0)
                hosts = self.burst(round(traffic.per_s))
            else:
                await asyncio.sleep(self.random.expovariate(traffic.per_s))
                hosts = [self.random.randrange(self._count)]
            for host in hosts:
                self.asked += 1
                task = loop.create_task(self.call(host, loop.time() + traffic.deadline_s))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
