"""Admit demands while targets of their group are in need: each sending there needs a permit.

Where another target has room, a demand asks for a permit only in passing, and goes elsewhere if
there is none. Where none has, it waits for a permit if it is served before its deadline, and is
refused at once if it is not.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from result import Err, Ok

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import EventLimiter
from cranberrywall.rates import (
    PermitDemand,
    PermitReply,
    PermitRequest,
    RequestedTarget,
    TargetRates,
)
from cranberrywall.routing._candidates import Candidate, listed
from cranberrywall.routing._choice import Chosen
from cranberrywall.routing._dispatcher import Dispatcher
from cranberrywall.routing._interfaces import Demand
from cranberrywall.routing._pool import PoolSlot
from cranberrywall.routing._queue import Answer, Waiter, latest_start
from cranberrywall.runtime import Clock
from cranberrywall.targets import Group, TargetIncarnation

POLL_S = 0.25
"""A host whose requests wait for permits says anew which, at least this often, in seconds. A permit
that comes is at most so old, and a fifth of a second's rate is kept back for that."""

MAX_DEMANDS = 32
"""Kinds of waiting requests, by rank and workspace, that a host tells of at once, first ones."""

TRY_AFTER_S = 5.0
"""A target in need that was not chosen by this host for so long is asked for in any case, in
seconds: only its answers say that its need is over, and where cached prompts lie elsewhere it may
never be the best choice."""

LOST_WAIT_S = 1.0
"""Where the host that gives permits does not answer, they are expected after this, in seconds: by
then it answers again, or is suspected and another one gives them."""

LOST_POLL_S = 0.2

UNUSED_PAUSE_S = 0.1
"""A host that had no use for a permit asks again after this, in seconds."""

MOST_EXPECTED = 1000
"""Ranks and workspaces whose expected wait is remembered at most."""

REFUSED_UNASKED_S = 0.5
"""Where the expected wait was past what a request can wait, the next ones like it are refused
without a question for so long at most, in seconds: no wait becomes shorter sooner than time passes.
With 30 requests a second for a target that takes one, 3 hosts send 28 messages a second in place
of 44, and 8 hosts 49 in place of 58 (`measurements.named_rates`)."""

OnEnd = Callable[[float], None]


class _Expected(NamedTuple):
    """Hold the wait that was expected for one more request of a kind, and when."""

    at: float
    wait_s: float


class RatedAdmission:
    """Admit the demands for one model or service while targets of it named a rate."""

    def __init__(
        self, group: Group, dispatcher: Dispatcher, rates: TargetRates, clock: Clock
    ) -> None:
        self._group = group
        self._dispatcher = dispatcher
        self._pool = dispatcher.pool
        self._rates = rates
        self._clock = clock
        self._unused: list[TargetIncarnation] = []
        self._expected_by_want: dict[tuple[int, str], _Expected] = {}
        self._seeker: asyncio.Task[None] | None = None
        self._events = EventLimiter(clock.now)

    async def admit(self, demand: Demand, on_end: OnEnd) -> Answer | None:
        """Answer ``demand`` at once, or return ``None`` where it may wait."""
        refusal = self._dispatcher.check_retries(demand, self._clock.now())
        if refusal is not None:
            return Err(refusal)
        if not self._dispatcher.queue.count_ahead(demand.rank):
            slot = await self._grant(demand, on_end)
            if slot is not None:
                return Ok(slot)
        return await self._wait_or_refuse(demand, on_end)

    def seek(self) -> None:
        """Ask for permits for those that wait, until none does."""
        if self._seeker is None or self._seeker.done():
            self._seeker = asyncio.get_running_loop().create_task(self._seek())

    def rate_changed(self, start: TargetIncarnation, now: float) -> None:
        """Ask anew where a target takes more by now, or waits were expected for less."""
        self._expected_by_want.clear()
        candidate = self._candidate(start)
        if candidate is not None:
            candidate.ask_again_at = now

    def expire(self, now: float) -> None:
        """Refuse those that waited as long as they can.

        Permits may fail to come as expected where the host that gives them is lost. A request that
        is refused with some of its caller's time left can be sent again.
        """
        if not self._pool.limited():
            return
        for waiters in self._dispatcher.queue.by_demand().values():
            for waiter in waiters:
                if now >= waiter.latest:
                    self._refuse_waiter(waiter, LOST_WAIT_S, now)

    async def _grant(self, demand: Demand, on_end: OnEnd) -> PoolSlot | None:
        """Return a place where one is free, at a target in need if it is the best and may be."""
        preferred = self._preferred(demand, self._clock.now())
        if preferred is not None and preferred.candidate.target_id in self._pool.limited():
            slot = await self._grant_in_passing(preferred.candidate, demand, on_end)
            if slot is not None:
                return slot
        return self._dispatcher.grant(demand, on_end, self._clock.now())

    def _preferred(self, demand: Demand, now: float) -> Chosen | None:
        """Return the best choice with targets in need among them; ``None`` if no other has room."""
        if self._dispatcher.propose(demand, now) is None:
            return None
        limited = self._pool.limited()
        open_to = [known for known in limited.values() if now >= known.ask_again_at]
        for candidate in open_to:
            if now - candidate.asked_at >= TRY_AFTER_S:
                due = self._dispatcher.propose_at(candidate, demand, now)
                if due is not None:
                    return due
        named = frozenset(candidate.target_id for candidate in open_to)
        return self._dispatcher.propose(demand, now, named)

    async def _grant_in_passing(
        self, candidate: Candidate, demand: Demand, on_end: OnEnd
    ) -> PoolSlot | None:
        want = PermitDemand(demand.rank, demand.caller, 1)
        reply = await self._ask([candidate], [want], 0.0)
        now = self._clock.now()
        candidate.asked_at = now
        if reply is None or not reply.permits:
            pause_s = reply.pause_s if reply is not None else LOST_WAIT_S
            candidate.ask_again_at = now + pause_s
            return None
        return self._use(candidate, demand, on_end, now)

    def _use(
        self, candidate: Candidate, demand: Demand, on_end: OnEnd, now: float
    ) -> PoolSlot | None:
        """Return a place at a target by a permit; the permit goes back where there is none."""
        chosen = self._dispatcher.propose_at(candidate, demand, now)
        if chosen is None:
            self._unused.append(candidate.start)
            return None
        return self._dispatcher.grant_chosen(chosen, demand, on_end, now)

    async def _wait_or_refuse(self, demand: Demand, on_end: OnEnd) -> Answer | None:
        now = self._clock.now()
        usable = self._usable(demand, now)
        if not usable:
            return self._dispatcher.refuse(demand, now)
        latest = latest_start(demand, now)
        wait_s = self._known_wait(demand, now)
        if now + wait_s > latest and not self._has_others(demand):
            return Err(self._refusal(demand, usable, wait_s, now))
        want = PermitDemand(demand.rank, demand.caller, 1)
        reply = await self._ask(self._best_first(usable, demand, now), [want], 0.0, latest - now)
        now = self._clock.now()
        if reply is not None and reply.permits:
            slot = self._use_first(reply, demand, on_end, now)
            if slot is not None:
                return Ok(slot)
        wait_s = LOST_WAIT_S if reply is None else reply.waits_s[0]
        self._note_expected(demand, wait_s, now)
        if self._has_others(demand):
            wait_s = min(wait_s, self._dispatcher.expected_wait(demand.rank, now))
        if now + wait_s > latest:
            return Err(self._refusal(demand, usable, wait_s, now))
        return self._dispatcher.make_room(demand, wait_s, now)

    def _note_expected(self, demand: Demand, wait_s: float, now: float) -> None:
        expected = self._expected_by_want
        expected[(demand.rank, demand.caller)] = _Expected(now, wait_s)
        if len(expected) > MOST_EXPECTED:
            del expected[next(iter(expected))]

    def _known_wait(self, demand: Demand, now: float) -> float:
        """Return the least wait for one more such request, by what was said lately."""
        expected = self._expected_by_want.get((demand.rank, demand.caller))
        if expected is None or now - expected.at > REFUSED_UNASKED_S:
            return 0.0
        return expected.wait_s - (now - expected.at)

    def _use_first(
        self, reply: PermitReply, demand: Demand, on_end: OnEnd, now: float
    ) -> PoolSlot | None:
        """Use a permit for those that wait already, or for ``demand`` where none goes before."""
        permit = reply.permits[0]
        candidate = self._candidate(permit.start)
        if candidate is None:
            self._unused.append(permit.start)
            return None
        if not self._dispatcher.queue.count_ahead(demand.rank):
            return self._use(candidate, demand, on_end, now)
        if not self._dispatcher.grant_waiter_at(candidate, permit.workspace, now):
            self._unused.append(permit.start)
        return None

    def _usable(self, demand: Demand, now: float) -> list[Candidate]:
        """Return the targets in need that have room here for ``demand``."""
        return [
            candidate
            for candidate in self._pool.limited().values()
            if self._dispatcher.propose_at(candidate, demand, now) is not None
        ]

    def _best_first(
        self, usable: Sequence[Candidate], demand: Demand, now: float
    ) -> list[Candidate]:
        """Return the targets with the one first that would be chosen if none was in need."""
        best = self._dispatcher.propose(demand, now, frozenset(known.target_id for known in usable))
        if best is None:
            return list(usable)
        return [best.candidate, *(known for known in usable if known is not best.candidate)]

    def _has_others(self, demand: Demand) -> bool:
        """Say whether targets that are not in need serve such demands."""
        limited = self._pool.limited()
        return any(
            candidate.serves(demand.version, demand.adapter)
            for candidate in self._pool.candidates
            if candidate.target_id not in limited
        )

    def _per_s(self, candidates: Sequence[Candidate]) -> float:
        known = self._rates.known
        return sum(known.known(candidate.start).per_s or 0.0 for candidate in candidates)

    def _refusal(
        self, demand: Demand, usable: Sequence[Candidate], wait_s: float, now: float
    ) -> Refusal:
        self._rates.refused_by_name[demand.name] += 1
        per_s = self._per_s(usable)
        return Refusal(
            ErrorKind.RATE_LIMITED,
            f"{listed(usable)} of {demand.name} are in need and take {per_s:g} requests a second "
            f"together; one more would wait {wait_s:.1f} s, past its deadline",
            retry_after=self._dispatcher.retry_after(wait_s, now),
        )

    async def _seek(self) -> None:
        queue = self._dispatcher.queue
        while len(queue) and self._pool.limited():
            waiters_by_want = queue.by_demand()
            wants = [
                PermitDemand(rank, caller, len(waiters))
                for (rank, caller), waiters in list(waiters_by_want.items())[:MAX_DEMANDS]
            ]
            candidates = self._pool.open_limited(self._clock.now())
            if not candidates:
                await self._clock.sleep(POLL_S)
                continue
            reply = await self._ask(candidates, wants, POLL_S)
            pause_s = LOST_POLL_S
            if reply is not None:
                pause_s = reply.pause_s
                if not self._use_all(reply):
                    # Those that wait can't use these targets, as they were tried or are full
                    # here: the same permits would go to and fro without end.
                    pause_s = max(pause_s, UNUSED_PAUSE_S)
                self._refuse_late(wants, reply)
            if pause_s:
                await self._clock.sleep(pause_s)
        if self._unused:
            await self._ask([], [], 0.0)

    def _use_all(self, reply: PermitReply) -> bool:
        """Give all permits to those that wait; return whether none was left over."""
        now = self._clock.now()
        for permit in reply.permits:
            candidate = self._candidate(permit.start)
            if candidate is None or not self._dispatcher.grant_waiter_at(
                candidate, permit.workspace, now
            ):
                self._unused.append(permit.start)
        return not self._unused

    def _refuse_late(self, wants: Sequence[PermitDemand], reply: PermitReply) -> None:
        """Refuse at once those that wait and would have their permit after their deadline."""
        now = self._clock.now()
        waiters_by_want = self._dispatcher.queue.by_demand()
        for want, wait_s in zip(wants, reply.waits_s, strict=False):
            waiters = waiters_by_want.get((want.rank, want.workspace), [])
            for number, waiter in enumerate(waiters, start=1):
                expected_s = wait_s * number / (want.requests + 1)
                if now + expected_s > waiter.latest:
                    self._refuse_waiter(waiter, expected_s, now)

    def _refuse_waiter(self, waiter: Waiter, wait_s: float, now: float) -> None:
        if self._has_others(waiter.demand):
            return
        usable = self._pool.open_limited(now) or list(self._pool.limited().values())
        refusal = self._refusal(waiter.demand, usable, wait_s, now)
        self._dispatcher.refuse_waiters([waiter], refusal)

    def _candidate(self, start: TargetIncarnation) -> Candidate | None:
        candidate = self._pool.candidate_by_id.get(start.target)
        return candidate if candidate is not None and candidate.start == start else None

    async def _ask(
        self,
        candidates: Sequence[Candidate],
        wants: Sequence[PermitDemand],
        wait_s: float,
        max_wait_s: float = 0.0,
    ) -> PermitReply | None:
        known = self._rates.known
        targets = []
        for candidate in candidates:
            rate = known.known(candidate.start)
            if rate.per_s is not None:
                targets.append(RequestedTarget(candidate.start, rate.number, rate.per_s))
        returned, self._unused = tuple(self._unused), []
        request = PermitRequest(
            self._group.kind,
            self._group.name,
            tuple(targets),
            tuple(wants),
            wait_s,
            max_wait_s,
            returned,
        )
        reply = await self._rates.permits.ask(request)
        if reply is None:
            self._events.log(
                "WARNING",
                "permits_out_of_reach",
                "no_answer",
                name=self._group.name,
                targets=len(targets),
                waiting=len(self._dispatcher.queue),
            )
        return reply
