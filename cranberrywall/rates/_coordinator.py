"""Give permits for the targets of one group to all hosts; one host at a time does it for a group.

Each permit is for one request and is used at once, so that no host holds a part of a rate that
others lack, and a host that is lost takes nothing with it. Times are monotonic seconds.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cranberrywall.rates._bucket import Bucket
from cranberrywall.rates._fairness import Fairness
from cranberrywall.rates._known import RateRecord, RateTable
from cranberrywall.rates.messages import (
    Permit,
    PermitDemand,
    PermitReply,
    PermitRequest,
    RequestedTarget,
)
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import TargetIncarnation

MOST_ASKS_PER_S = 250.0
"""Requests for permits a second from hosts whose requests wait, all together, about at most: each
takes this host some 0.2 ms, so that they take a twentieth of a core."""

ASKS_PER_PERMIT = 4.0
"""Hosts that can send elsewhere ask so often, all together, for each permit that comes free."""

ASKING_FOR_S = 2.0
"""A host counts as asking for so long after it asked, in seconds."""

BUCKET_KEPT_S = 60.0
"""What was given is forgotten so long after the last request for a target, in seconds."""

LONGEST_WAIT_S = 600.0


class _Ask:
    """Hold one host's request while it waits for its first permit."""

    def __init__(self, host: str, request: PermitRequest, number: int) -> None:
        self.host = host
        self.request = request
        self.number = number
        self.left_by_want = [want.requests for want in request.wants]
        self.starts = frozenset(asked.start for asked in request.targets)
        self.permits: list[Permit] = []
        self.answered: asyncio.Event = asyncio.Event()

    def wants_left(self) -> list[PermitDemand]:
        """Return what is wanted still."""
        return [
            want._replace(requests=left)
            for want, left in zip(self.request.wants, self.left_by_want, strict=True)
        ]


class _Next(NamedTuple):
    """Name the want that gets the next permit of a target."""

    ask: _Ask
    position: int


class Coordinator:
    """Hold what is saved up for each target of a group, and who waits."""

    def __init__(
        self, rates: RateTable, share: Callable[[float], float], clock: Clock, random: Random
    ) -> None:
        self._rates = rates
        self._share = share
        self._clock = clock
        self._random = random
        self._bucket_by_incarnation: dict[TargetIncarnation, Bucket] = {}
        self._asked_at_by_incarnation: dict[TargetIncarnation, float] = {}
        self._asked_at_by_host: dict[str, float] = {}
        self._waiting: list[_Ask] = []
        # Requests that were told to wait since their host last said what waits there: without
        # them all that come within a quarter of a second would be told the same short wait.
        self._promised_by_host: dict[str, list[PermitDemand]] = {}
        self._fairness = Fairness(clock.now())
        self._timer: asyncio.TimerHandle | None = None
        self._asks = 0
        self.given = 0

    async def answer(self, host: str, request: PermitRequest) -> PermitReply:
        """Give a host what there is; wait for a first permit where it says so."""
        now = self._clock.now()
        self._asked_at_by_host[host] = now
        self._take_in(request, now)
        if request.wait_s > 0:
            # A host's newer request stands for all that it still wants.
            self._end_asks_of(host)
            self._promised_by_host.pop(host, None)
        self._asks += 1
        ask = _Ask(host, request, self._asks)
        self._waiting.append(ask)
        try:
            self._give(now, [asked.start for asked in request.targets])
            if request.wait_s > 0 and not ask.permits:
                await self._wait(ask)
        finally:
            self._end(ask)
        reply = self._reply(ask, self._clock.now())
        if not reply.permits and reply.waits_s and reply.waits_s[0] <= request.max_wait_s:
            self._promised_by_host.setdefault(host, []).extend(request.wants)
        return reply

    def expire(self, now: float) -> None:
        """Forget hosts and targets that nobody asked for lately."""
        for start, at in list(self._asked_at_by_incarnation.items()):
            if now - at > BUCKET_KEPT_S:
                del self._asked_at_by_incarnation[start]
                self._bucket_by_incarnation.pop(start, None)
        for host, at in list(self._asked_at_by_host.items()):
            if now - at > ASKING_FOR_S:
                del self._asked_at_by_host[host]
                self._promised_by_host.pop(host, None)

    def is_idle(self) -> bool:
        """Say whether nothing is held here any more."""
        return not self._bucket_by_incarnation and not self._waiting

    def waiting(self) -> int:
        """Return how many requests wait for a permit, on all hosts that said so."""
        return sum(want.requests for want in self._wants())

    def close(self) -> None:
        """Let all that wait go without a permit."""
        for ask in self._waiting:
            ask.answered.set()
        if self._timer is not None:
            self._timer.cancel()

    async def _wait(self, ask: _Ask) -> None:
        try:
            async with asyncio.timeout(ask.request.wait_s):
                await ask.answered.wait()
        except TimeoutError:
            return

    def _take_in(self, request: PermitRequest, now: float) -> None:
        share = self._share(now)
        for asked in request.targets:
            known = self._rates.known(asked.start)
            bucket = self._bucket_by_incarnation.get(asked.start)
            if bucket is None:
                bucket = self._bucket_by_incarnation[asked.start] = Bucket(now)
            self._asked_at_by_incarnation[asked.start] = now
            bucket.set_rate(_rate(known, asked), share, now)
        for start in request.returned:
            if start in self._bucket_by_incarnation:
                self._bucket_by_incarnation[start].give_back(now)

    def _give(self, now: float, first: Sequence[TargetIncarnation] = ()) -> None:
        """Give what is saved up to those that wait, and come back when there is more.

        The targets that are named ``first`` go first, in the order in which the host that asks
        would choose them: where several have permits left, cached prompts and loads decide.
        """
        for start in dict.fromkeys((*first, *self._bucket_by_incarnation)):
            bucket = self._bucket_by_incarnation[start]
            found = self._next(start, now)
            while found is not None and bucket.take(now):
                self._give_one(start, found, now)
                found = self._next(start, now)
        self._call_later(now)

    def _next(self, start: TargetIncarnation, now: float) -> _Next | None:
        """Return who has the next permit of a target.

        Those that can send nowhere else, and so wait, go before those that ask in passing; then
        it goes by rank, then evenly between workspaces, then by age.
        """
        best: _Next | None = None
        best_order: tuple[bool, tuple[int, float], int] | None = None
        for ask in self._waiting:
            if start not in ask.starts:
                continue
            passing = ask.request.wait_s <= 0
            for index, want in enumerate(ask.request.wants):
                if not ask.left_by_want[index]:
                    continue
                order = (passing, self._fairness.order(want, now), ask.number)
                if best_order is None or order < best_order:
                    best, best_order = _Next(ask, index), order
        return best

    def _give_one(self, start: TargetIncarnation, found: _Next, now: float) -> None:
        ask, position = found
        want = ask.request.wants[position]
        ask.left_by_want[position] -= 1
        ask.permits.append(Permit(start, want.rank, want.workspace))
        ask.answered.set()
        self._fairness.gave(want, now)
        self.given += 1

    def _call_later(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wanted = {start for ask in self._waiting for start in ask.starts if not ask.permits}
        times = [self._bucket_by_incarnation[start].seconds_to_next(now) for start in wanted]
        soonest = min(times, default=float("inf"))
        if soonest < LONGEST_WAIT_S:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(soonest, lambda: self._give(self._clock.now()))

    def _end_asks_of(self, host: str) -> None:
        for ask in [ask for ask in self._waiting if ask.host == host and ask.request.wait_s > 0]:
            ask.answered.set()

    def _end(self, ask: _Ask) -> None:
        if ask in self._waiting:
            self._waiting.remove(ask)

    def _wants(self) -> list[PermitDemand]:
        said = [
            want for ask in self._waiting if ask.request.wait_s > 0 for want in ask.wants_left()
        ]
        return said + [want for wants in self._promised_by_host.values() for want in wants]

    def _reply(self, ask: _Ask, now: float) -> PermitReply:
        waiting = self._wants()
        if ask.request.wait_s > 0:
            waiting += ask.wants_left()
        per_s = sum(self._bucket_by_incarnation[start].per_s for start in ask.starts)
        waits = tuple(self._expected_wait(want, waiting, per_s, now) for want in ask.request.wants)
        return PermitReply(tuple(ask.permits), waits, self._pause(ask, waiting, now))

    def _expected_wait(
        self, want: PermitDemand, waiting: Sequence[PermitDemand], per_s: float, now: float
    ) -> float:
        left = per_s * self._fairness.share_left(want.rank, now)
        if not left:
            return LONGEST_WAIT_S
        return min(LONGEST_WAIT_S, (self._fairness.ahead(want, waiting) + 1) / left)

    def _pause(self, ask: _Ask, waiting: Sequence[PermitDemand], now: float) -> float:
        """Return how long the host had better not ask, in seconds."""
        if ask.request.wait_s > 0:
            polling = {other.host for other in self._waiting} | self._promised_by_host.keys()
            return max(0.0, len(polling) / MOST_ASKS_PER_S - ask.request.wait_s)
        if ask.permits:
            return 0.0
        buckets = [self._bucket_by_incarnation[start] for start in ask.starts]
        soonest = min((bucket.seconds_to_next(now) for bucket in buckets), default=1.0)
        per_s = max((bucket.per_s for bucket in buckets), default=0.0)
        if waiting or not per_s:
            return 1.0
        asking = len(self._asked_at_by_host)
        spread = asking / min(ASKS_PER_PERMIT * per_s, MOST_ASKS_PER_S)
        return soonest + spread * self._random.random()


def _rate(known: RateRecord, asked: RequestedTarget) -> float:
    """Return the rate that holds: what was changed last, as far as either host knows."""
    if known.per_s is None and known.number >= asked.number:
        # The need is over, and the asking host is about to hear it.
        return asked.per_s
    if known.per_s is not None and known.number >= asked.number:
        return known.per_s
    return asked.per_s
