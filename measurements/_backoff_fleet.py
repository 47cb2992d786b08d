"""Play targets that turn requests away against the real routers of many hosts, in virtual time.

Hosts share nothing here: what a target asks of one host holds for that host alone. Everything that
decides is the product's own.
"""

import asyncio
import bisect
from collections import defaultdict
from typing import NamedTuple

from cranberrywall.routing import Outcome, OutcomeKind, Slot
from cranberrywall.targets import Announcement, DecimalField
from measurements._router_fleet import ATTEMPTS, KIND, LINK_S, SERVICE, RouterFleet, Traffic

ON_ITS_WAY_S = 0.1
"""What reaches a target so long after its 503 was on its way, in seconds."""

LATE_REFUSAL_S = 0.05


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


class BackoffFleet(RouterFleet):
    """Hosts, targets and callers of one schedule."""

    def __init__(self, schedule: BackoffSchedule) -> None:
        self.schedule = schedule
        self.targets = [_Target(number, schedule) for number in range(schedule.targets)]
        announcements = [target.announcement() for target in self.targets]
        self._target_by_id = {target.announcement().target: target for target in self.targets}
        super().__init__(schedule.seed, schedule.hosts, announcements)
        self.served = self.refused = self.unanswered = self.late_refusals = 0

    async def play(self) -> BackoffOutcome:
        """Play the schedule to its end."""
        schedule = self.schedule
        per_s = schedule.load * schedule.targets * schedule.places / schedule.work_s
        await self.play_traffic(
            Traffic(per_s, schedule.seconds, schedule.deadline_s, schedule.bursts)
        )
        return self._outcome()

    def burst(self, count: int) -> list[int]:
        """Return the hosts of the requests of one burst, as many for each host."""
        return [number % self.schedule.hosts for number in range(count)]

    async def call(self, host: int, deadline: float) -> None:
        """Send one request to a host."""
        loop = asyncio.get_running_loop()
        known_at = loop.time()
        tried: set[str] = set()
        for _ in range(ATTEMPTS):
            slot = await self.acquire(host, 0, frozenset(tried), deadline)
            if slot is None:
                break
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
