"""Play targets that fall over when they reject too much, against the real routers of many hosts.

Everything that decides is the product's own; time is virtual.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from cranberrywall.routing import Outcome, OutcomeKind, RejectionSpread, Slot
from cranberrywall.targets import Announcement, DecimalField
from measurements._router_fleet import ATTEMPTS, KIND, LINK_S, SERVICE, RouterFleet, Traffic
from measurements._virtual_time import VirtualClock

SPREAD_S = (0.005, 0.06)
"""Time until another host receives a rejection, in seconds."""

DOWN_S = 4.0
FIRST_RANK_SHARE = 0.2


class BrittleSchedule(NamedTuple):
    """One schedule.

    Each target works on ``slots`` requests at once and lets ``waiting`` wait. It announces that it
    is brittle from the start, and from ``calm_s`` on falls over if it rejects more than
    ``rejections`` requests in a second. Callers send ``load`` times what all targets can do, in
    bursts of a second if ``has_bursts``. If ``is_told`` is false, the hosts ignore that the targets
    are brittle.
    """

    seed: int = 0
    hosts: int = 7
    targets: int = 4
    slots: int = 6
    waiting: int = 2
    rejections: float = 4.0
    work_s: float = 0.0225
    load: float = 1.5
    deadline_s: float = 0.6
    calm_s: float = 3.0
    seconds: float = 15.0
    has_bursts: bool = False
    is_told: bool = True


class BrittleOutcome(NamedTuple):
    """Result of one schedule; ``max_falls`` is what the rule allows."""

    falls: int
    max_falls: float
    asked: int
    served: int
    rejected: int

    @property
    def served_share(self) -> float:
        """Return the share of the requests that were served."""
        return self.served / max(1, self.asked)


class _Target:
    def __init__(self, number: int, schedule: BrittleSchedule) -> None:
        self._number = number
        self._schedule = schedule
        self._rejected_at: deque[float] = deque()
        self._slots = asyncio.Semaphore(schedule.slots)
        self.present = 0
        self.boot = 1
        self.down_until = 0.0
        self.falls = 0
        self.rejected = 0

    @property
    def load(self) -> tuple[int, int]:
        """Return the numbers of running and waiting requests."""
        return min(self.present, self._schedule.slots), max(0, self.present - self._schedule.slots)

    def announcement(self) -> Announcement:
        url = f"http://10.0.0.1:{1000 + self._number}"
        name = f"t-{self._number}"
        return Announcement(name, self.boot, 1, KIND, SERVICE, "p", url, self._schedule.slots)

    async def serve(self, seconds: float, now: float) -> bool | None:
        """Return whether the request was served; ``None`` if the target fell over meanwhile."""
        if now < self.down_until:
            return None
        if self.present >= self._schedule.slots + self._schedule.waiting:
            self._reject(now)
            return False
        boot = self.boot
        self.present += 1
        try:
            async with self._slots:
                await asyncio.sleep(seconds)
        finally:
            self.present -= 1
        return True if boot == self.boot else None

    def _reject(self, now: float) -> None:
        self.rejected += 1
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - 1.0:
            self._rejected_at.popleft()
        if now > self._schedule.calm_s and len(self._rejected_at) > self._schedule.rejections:
            self.falls += 1
            self.boot += 1
            self.down_until = now + DOWN_S
            self._rejected_at.clear()


class _Spread:
    """Deliver what one host publishes to the others, with a delay."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._receivers: list[Callable[[Any], None]] = []

    def subscribe(self, topic: str, receive: Callable[[Any], None]) -> None:
        self._receivers.append(receive)

    def publish(self, item: Any) -> None:
        loop = asyncio.get_running_loop()
        for receive in self._receivers:
            loop.call_later(self._random.uniform(*SPREAD_S), receive, item)

    def items(self, topic: str) -> list[Any]:
        return []


class BrittleFleet(RouterFleet):
    """Hosts, targets and callers of one schedule."""

    def __init__(self, schedule: BrittleSchedule) -> None:
        self.schedule = schedule
        self.targets = [_Target(number, schedule) for number in range(schedule.targets)]
        announcements = [target.announcement() for target in self.targets]
        self._target_by_id = {target.announcement().target: target for target in self.targets}
        self._spread: Any = None
        super().__init__(schedule.seed, schedule.hosts, announcements)
        self.served = 0

    async def play(self) -> BrittleOutcome:
        """Play the schedule to its end."""
        schedule = self.schedule
        per_s = schedule.load * schedule.targets * schedule.slots / schedule.work_s
        await self.play_traffic(
            Traffic(per_s, schedule.seconds, schedule.deadline_s, schedule.has_bursts)
        )
        return BrittleOutcome(
            sum(target.falls for target in self.targets),
            2 + 0.1 * len(self.targets),
            self.asked,
            self.served,
            sum(target.rejected for target in self.targets),
        )

    def make_rejections(self, host: str, clock: VirtualClock) -> RejectionSpread:
        """Return a host's exchange of rejections with the others."""
        if self._spread is None:
            self._spread = _Spread(self.random)
        return RejectionSpread(host, self._spread, clock)

    def maintain(self, now: float) -> None:
        """Let the hosts forget what is over, and know the targets that are back."""
        for host in self.hosts:
            host.backoffs.expire(now)
            for target in self.targets:
                if now >= target.down_until:
                    host.targets.apply(target.announcement(), now)

    async def call(self, host: int, deadline: float) -> None:
        """Send one request to a host."""
        rank = 0 if self.random.random() < FIRST_RANK_SHARE else 1
        tried: set[str] = set()
        for _ in range(ATTEMPTS):
            slot = await self.acquire(host, rank, frozenset(tried), deadline)
            if slot is None:
                return
            tried.add(slot.target_id)
            if await self._attempt(slot):
                self.served += asyncio.get_running_loop().time() <= deadline
                return

    async def _attempt(self, slot: Slot) -> bool:
        """Send a request to the slot's target; return whether it was served."""
        loop = asyncio.get_running_loop()
        schedule = self.schedule
        target = self._target_by_id[slot.target_id]
        await asyncio.sleep(self.random.uniform(*LINK_S))
        seconds = schedule.work_s * self.random.uniform(0.3, 1.7)
        is_served = await target.serve(seconds, loop.time())
        running, waiting = target.load
        await asyncio.sleep(self.random.uniform(*LINK_S))
        now = loop.time()
        if is_served is None:
            slot.finish(Outcome(OutcomeKind.FAILED_AFTER), now)
            return False
        slot.record_load(running, waiting, now)
        if schedule.is_told:
            slot.record_rejections(DecimalField(schedule.rejections), not is_served, "id", now)
        kind = OutcomeKind.ANSWERED if is_served else OutcomeKind.FAILED_AFTER
        slot.finish(Outcome(kind, schedule.work_s), now)
        return is_served
