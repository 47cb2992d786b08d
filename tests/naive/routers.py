"""Choose targets naively: the baselines that the router is measured against.

Each sends every demand on at once; waiting is left to the targets.
"""

import random
from collections.abc import Callable, Sequence

import xxhash
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.rates import RateNotice
from cranberrywall.routing import Demand, Outcome, Slot
from cranberrywall.targets import Announcement, DecimalField, Group, TargetIncarnation, Targets

Choose = Callable[[Sequence[Announcement], Demand], Announcement]

AFFINITY_BLOCKS = 8


class NaiveSlot:
    version = ""
    is_offered = True

    def __init__(self, announcement: Announcement) -> None:
        self.target_id = announcement.target
        self.url = announcement.url
        self.target_incarnation = TargetIncarnation(announcement.target, announcement.incarnation)

    def record_first_token(self, now: float) -> None:
        pass

    def record_load(self, running: int, waiting: int, now: float) -> None:
        pass

    def record_rate(self, notice: RateNotice, is_served: bool, request_id: str, now: float) -> None:
        pass

    def record_backoff(self, field: DecimalField, request_id: str, now: float) -> None:
        pass

    def record_rejections(
        self, field: DecimalField, is_rejected: bool, request_id: str, now: float
    ) -> None:
        pass

    def announced_leaving(self, request_id: str, now: float) -> None:
        pass

    def finish(self, outcome: Outcome, now: float) -> None:
        pass


class NaiveRouter:
    def __init__(self, targets: Targets, choose: Choose) -> None:
        self._targets = targets
        self._choose = choose

    async def may_send_again(self, url: str, rank: int, workspace: str) -> bool:
        return True

    async def acquire(self, demand: Demand, now: float) -> Result[Slot, Refusal]:
        members = self._targets.by_group.get(Group(demand.kind, demand.name), {})
        announcements = [target.announcement for target in members.values()]
        if not announcements:
            return Err(Refusal(ErrorKind.NO_TARGET))
        return Ok(NaiveSlot(self._choose(announcements, demand)))


def choose_random(seed: int) -> Choose:
    source = random.Random(seed)
    return lambda announcements, demand: source.choice(announcements)


def choose_round_robin(start: int) -> Choose:
    state = [start]

    def choose(announcements: Sequence[Announcement], demand: Demand) -> Announcement:
        state[0] += 1
        return announcements[state[0] % len(announcements)]

    return choose


def choose_least_loaded(seed: int) -> Choose:
    source = random.Random(seed)

    def load(announcement: Announcement) -> tuple[float, float]:
        reported = announcement.load
        busy = reported.running + reported.waiting if reported else 0
        return busy / announcement.capacity, source.random()

    return lambda announcements, demand: min(announcements, key=load)


def choose_by_prefix(seed: int) -> Choose:
    """Send each prompt's beginning to one target, by rendezvous hashing."""

    def choose(announcements: Sequence[Announcement], demand: Demand) -> Announcement:
        beginning = demand.prefix_hashes[:AFFINITY_BLOCKS][-1] if demand.prefix_hashes else b""
        return max(
            announcements, key=lambda a: xxhash.xxh64_intdigest(beginning + a.target.encode())
        )

    return choose
