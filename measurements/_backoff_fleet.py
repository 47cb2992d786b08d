"""Play targets that turn requests away against the real routers of many hosts, in virtual time.

Hosts share nothing here: what a target asks of one host holds for that host alone. Everything that
decides is the product's own.
"""

import asyncio
import bisect
from collections import defaultdict
from random import Random
from typing import Any, NamedTuple, cast

from result import Err

from cranberrywall.configuration import Document
from cranberrywall.rates import make_standalone_rates
from cranberrywall.routing import (
    Demand,
    Outcome,
    OutcomeKind,
    RetryLimits,
    Slot,
    TargetRouter,
    make_router,
)
from cranberrywall.targets import Announcement, Backoffs, DecimalField, make_targets
from measurements._virtual_time import VirtualClock

KIND, SERVICE = "service", "ledger"
ON_ITS_WAY_S = 0.1
"""What reaches a target so long after its 503 was on its way, in seconds."""

LINK_S = (0.001, 0.004)
ATTEMPTS = 2
LATE_REFUSAL_S = 0.05
EXPIRE_S = 1.0
RETRIES = RetryLimits(share=0.2, max_saved=30.0, min_hosts=1)


class BackoffSchedule(NamedTuple):
    """Describe one schedule.

    Each target works on ``places`` requests at once, each for ``work_s`` at the mean, and turns
    others away with a backoff of ``backoff_s``. It announces ``capacity`` places. The first
    ``shedding`` targets turn everything away while ``sheds_s`` of each ``cycle_s`` last. Callers
    send ``load`` times what all targets can do, ``bursts`` of them in bursts at all hosts, and wait
    ``deadline_s``. ``keeps`` is False for hosts that ignore backoffs, as before.
    """

    seed: int = 0
    hosts: int = 3
    targets: int = 4
    places: int = 3
    capacity: int = 8
    work_s: float = 0.22
    backoff_s: float = 3.0
    load: float = 1.0
    deadline_s: float = 2.0
    seconds: float = 30.0
    shedding: int = 0
    sheds_s: float = 0.0
    cycle_s: float = 1.0
    reports: bool = False
    bursts: bool = False
    keeps: bool = True


class BackoffOutcome(NamedTuple):
    """Count what a schedule did.

    ``most`` is the most arrivals of one host at one target between ``ON_ITS_WAY_S`` after a 503 and
    the end of the backoff. ``late_refusals`` took longer than ``LATE_REFUSAL_S`` from the moment of
    arrival, or of the last answer that turned the request away. ``unanswered`` were held to their
    deadline.
    """

    most: int
    asked: int
    served: int
    refused: int
    unanswered: int
    late_refusals: int
    arrived: int
    turned_away: int

    @property
    def served_share(self) -> float:
        """Return the share of the requests that were served."""
        return self.served / max(1, self.asked)

    @property
    def turned_away_share(self) -> float:
        """Return the share of the arrivals at targets that these turned away."""
        return self.turned_away / max(1, self.arrived)


class _Configuration:
    revision = 1
    document = cast(Document, {"workspaces": {}, "places": {}, "priorities": {}})

    def workspace_by_key(self, key: str) -> None:
        return None

    def ledger_group(self, budget: str) -> str:
        return "ledger-0"


class _Target:
    def __init__(self, number: int, schedule: BackoffSchedule) -> None:
        self._number = number
        self._schedule = schedule
        self.running = 0
        self.arrivals_by_host: dict[int, list[float]] = defaultdict(list)
        self.turned_away_by_host: dict[int, list[float]] = defaultdict(list)

    def announcement(self) -> Announcement:
        url = f"http://10.0.0.1:{1000 + self._number}"
        name = f"t-{self._number}"
        return Announcement(name, 1, 1, KIND, SERVICE, "p", url, self._schedule.capacity)

    def arrive(self, host: int, now: float) -> bool:
        """Take a request in, and return whether the target works on it."""
        schedule = self._schedule
        self.arrivals_by_host[host].append(now)
        sheds = self._number < schedule.shedding and now % schedule.cycle_s < schedule.sheds_s
        if sheds or self.running >= schedule.places:
            self.turned_away_by_host[host].append(now)
            return False
        self.running += 1
        return True

    def most_in_backoff(self) -> int:
        """Return the most arrivals of one host in a backoff that it was asked for."""
        return max(
            (
                bisect.bisect_left(self.arrivals_by_host[host], at + self._schedule.backoff_s)
                - bisect.bisect_right(self.arrivals_by_host[host], at + ON_ITS_WAY_S)
                for host, times in self.turned_away_by_host.items()
                for at in times
            ),
            default=0,
        )


class BackoffFleet:
    """Hold hosts, targets and callers of one schedule."""

    def __init__(self, schedule: BackoffSchedule) -> None:
        self.schedule = schedule
        self.random = Random(schedule.seed)
        self.targets = [_Target(number, schedule) for number in range(schedule.targets)]
        self._target_by_id = {one.announcement().target: one for one in self.targets}
        self._backoffs: list[Backoffs] = []
        self.routers = [self._make_router(number) for number in range(schedule.hosts)]
        self.asked = self.served = self.refused = self.unanswered = self.late_refusals = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    async def play(self) -> BackoffOutcome:
        """Play the schedule to its end."""
        loop = asyncio.get_running_loop()
        expiry = loop.create_task(self._expire())
        await self._ask()
        await asyncio.sleep(self.schedule.deadline_s + 1.0)
        expiry.cancel()
        return self._outcome()

    def _make_router(self, host: int) -> TargetRouter:
        clock = VirtualClock()
        targets = make_targets()
        backoffs = Backoffs(clock, self.random)
        self._backoffs.append(backoffs)
        for target in self.targets:
            targets.apply(target.announcement(), clock.now())
        return make_router(
            targets,
            _Configuration(),
            clock,
            self.random,
            f"entry-{host}",
            "p",
            lambda: self.schedule.hosts,
            retry_limits=RETRIES,
            rates=make_standalone_rates(targets, clock, self.random),
            backoffs=backoffs,
        )

    async def _expire(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRE_S)
            for backoffs in self._backoffs:
                backoffs.expire(loop.time())

    async def _ask(self) -> None:
        loop = asyncio.get_running_loop()
        schedule = self.schedule
        per_s = schedule.load * schedule.targets * schedule.places / schedule.work_s
        until = loop.time() + schedule.seconds
        while loop.time() < until:
            if schedule.bursts:
                await asyncio.sleep(1.0)
                hosts = [number % schedule.hosts for number in range(round(per_s))]
            else:
                await asyncio.sleep(self.random.expovariate(per_s))
                hosts = [self.random.randrange(schedule.hosts)]
            for host in hosts:
                task = loop.create_task(self._call(host))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _call(self, host: int) -> None:
        loop = asyncio.get_running_loop()
        self.asked += 1
        arrived_at = known_at = loop.time()
        deadline = arrived_at + self.schedule.deadline_s
        tried: set[str] = set()
        for attempt in range(ATTEMPTS):
            demand = Demand("", KIND, SERVICE, "", "", 0, deadline, 1, caller="w")
            demand = demand._replace(exclude=frozenset(tried), retry=attempt > 0)
            acquired = await self.routers[host].acquire(demand, loop.time())
            if isinstance(acquired, Err):
                break
            slot = acquired.ok_value
            tried.add(slot.target_id)
            if await self._attempt(host, slot):
                self.served += loop.time() <= deadline
                self.unanswered += loop.time() > deadline
                return
            known_at = loop.time()
        self.refused += 1
        self.unanswered += loop.time() >= deadline
        self.late_refusals += loop.time() - known_at > LATE_REFUSAL_S

    async def _attempt(self, host: int, slot: Slot) -> bool:
        """Send a request to the slot's target; return whether it was served."""
        loop = asyncio.get_running_loop()
        schedule = self.schedule
        target = self._target_by_id[slot.target_id]
        await asyncio.sleep(self.random.uniform(*LINK_S))
        is_taken = target.arrive(host, loop.time())
        if is_taken:
            await asyncio.sleep(schedule.work_s * self.random.uniform(0.3, 1.7))
            target.running -= 1
        running = target.running
        await asyncio.sleep(self.random.uniform(*LINK_S))
        now = loop.time()
        if schedule.reports:
            slot.record_load(running, 0, now)
        if is_taken:
            slot.finish(Outcome(OutcomeKind.ANSWERED, schedule.work_s), now)
            return True
        if schedule.keeps:
            slot.record_backoff(DecimalField(schedule.backoff_s), "id", now)
        slot.finish(Outcome(OutcomeKind.FAILED_AFTER), now)
        return False

    def _outcome(self) -> BackoffOutcome:
        return BackoffOutcome(
            max(target.most_in_backoff() for target in self.targets),
            self.asked,
            self.served,
            self.refused,
            self.unanswered,
            self.late_refusals,
            sum(len(times) for one in self.targets for times in one.arrivals_by_host.values()),
            sum(len(times) for one in self.targets for times in one.turned_away_by_host.values()),
        )


async def play(schedule: BackoffSchedule) -> BackoffOutcome:
    """Play one schedule."""
    return await BackoffFleet(schedule).play()
