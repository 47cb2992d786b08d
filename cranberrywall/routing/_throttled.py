"""Admit demands while targets of their group are throttled: each request there needs a permit.

If another target has capacity, a demand requests a permit without waiting for it, and goes to the
other target if there is no permit. If no other target has capacity, the demand waits for a permit.
It is refused immediately if the permit would come after its deadline.
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
from cranberrywall.routing._candidates import Candidate, format_names
from cranberrywall.routing._choice import Chosen
from cranberrywall.routing._dispatcher import Dispatcher
from cranberrywall.routing._interfaces import Demand
from cranberrywall.routing._queue import AcquireResult, Waiter, latest_grant
from cranberrywall.routing._slot import PoolSlot
from cranberrywall.runtime import Clock
from cranberrywall.targets import Group, TargetIncarnation

POLL_INTERVAL_S = 0.25
"""Maximum interval at which a host whose requests wait for permits reports these requests again,
in seconds. A permit that arrives is at most this old, and a fifth of a second's rate is held
back to allow for it."""

MAX_DEMANDS = 32
"""Maximum number of groups of queued requests, by rank and workspace, that a host reports in one
request for permits; the first ones in queue order."""

THROTTLED_TRIAL_INTERVAL_S = 5.0
"""A permit for a throttled target that this host has not chosen for this time is requested in
any case, in seconds. Only the answers of the target show that it is no longer throttled, and if
the prompts are cached elsewhere, it may never be the best choice."""

COORDINATOR_LOST_WAIT_S = 1.0
"""Assumed wait for a permit if the coordinator does not answer, in seconds. By then it answers
again, or it is suspected and another host issues the permits."""

COORDINATOR_LOST_POLL_INTERVAL_S = 0.2
"""Interval between requests for permits while the coordinator does not answer, in seconds."""

UNUSED_PERMIT_PAUSE_S = 0.1
"""Time after which a host that could not use a permit requests permits again, in seconds."""

MAX_CACHED_WAITS = 1000
"""Maximum number of pairs of rank and workspace whose expected wait is cached."""

EXPECTED_WAIT_TTL_S = 0.5
"""Time for which an expected wait is cached, in seconds. If it exceeds what a request can wait,
further requests of the same rank and workspace are refused without a request for permits: the
wait does not shrink faster than time passes. With 30 requests a second for a target that takes
one, 3 hosts send 28 messages a second instead of 44, and 8 hosts 49 instead of 58
(`measurements.named_rates`)."""

OnEnd = Callable[[float], None]


class _ExpectedWait(NamedTuple):
    """Expected wait for one more request of a rank and workspace, and when it was received."""

    at: float
    wait_s: float


class ThrottledAdmission:
    """Admit the demands for one model or service while targets of it are throttled."""

    def __init__(
        self, group: Group, dispatcher: Dispatcher, rates: TargetRates, clock: Clock
    ) -> None:
        self._group = group
        self._dispatcher = dispatcher
        self._pool = dispatcher.pool
        self._rates = rates
        self._clock = clock
        self._unused_permits: list[TargetIncarnation] = []
        self._expected_wait_by_key: dict[tuple[int, str], _ExpectedWait] = {}
        self._requester: asyncio.Task[None] | None = None
        self._events = EventLimiter(clock.now)

    async def admit(self, demand: Demand, on_end: OnEnd) -> AcquireResult | None:
        """Grant or refuse ``demand`` immediately, or return ``None`` if it may be queued."""
        refusal = self._dispatcher.check_retries(demand, self._clock.now())
        if refusal is not None:
            return Err(refusal)
        if not self._dispatcher.queue.count_ahead(demand.rank):
            slot = await self._grant(demand, on_end)
            if slot is not None:
                return Ok(slot)
        return await self._wait_or_refuse(demand, on_end)

    def start_requesting(self) -> None:
        """Start the task that requests permits until no demand is queued."""
        if self._requester is None or self._requester.done():
            self._requester = asyncio.get_running_loop().create_task(self._request_permits())

    def rate_changed(self, incarnation: TargetIncarnation, now: float) -> None:
        """Discard the expected waits and pauses that the changed rate of a target invalidates."""
        self._expected_wait_by_key.clear()
        candidate = self._find_candidate(incarnation)
        if candidate is not None:
            candidate.next_permit_request_at = now

    def expire(self, now: float) -> None:
        """Refuse the waiters whose latest time for a slot has passed.

        Permits may not arrive as expected if the host that issues them is lost. A request that is
        refused while its caller has some time left can be sent again.
        """
        if not self._pool.throttled_by_id():
            return
        for waiters in self._dispatcher.queue.by_demand().values():
            for waiter in waiters:
                if now >= waiter.latest_grant_at:
                    self._refuse_waiter(waiter, COORDINATOR_LOST_WAIT_S, now)

    async def _grant(self, demand: Demand, on_end: OnEnd) -> PoolSlot | None:
        """Return a slot if one is free; at a throttled target if that is best and has a permit."""
        preferred = self._preferred(demand, self._clock.now())
        if preferred is not None and preferred.candidate.target_id in self._pool.throttled_by_id():
            slot = await self._grant_if_permitted(preferred.candidate, demand, on_end)
            if slot is not None:
                return slot
        return self._dispatcher.grant(demand, on_end, self._clock.now())

    def _preferred(self, demand: Demand, now: float) -> Chosen | None:
        """Return the best choice including throttled targets; ``None`` if no other has capacity."""
        if self._dispatcher.propose(demand, now) is None:
            return None
        throttled = self._pool.throttled_by_id()
        open_to = [target for target in throttled.values() if now >= target.next_permit_request_at]
        for candidate in open_to:
            if now - candidate.permit_requested_at >= THROTTLED_TRIAL_INTERVAL_S:
                due = self._dispatcher.propose_at(candidate, demand, now)
                if due is not None:
                    return due
        open_ids = frozenset(candidate.target_id for candidate in open_to)
        return self._dispatcher.propose(demand, now, open_ids)

    async def _grant_if_permitted(
        self, candidate: Candidate, demand: Demand, on_end: OnEnd
    ) -> PoolSlot | None:
        permit_demand = PermitDemand(demand.rank, demand.caller, 1)
        reply = await self._send_request([candidate], [permit_demand], 0.0)
        now = self._clock.now()
        candidate.permit_requested_at = now
        if reply is None or not reply.permits:
            pause_s = reply.pause_s if reply is not None else COORDINATOR_LOST_WAIT_S
            candidate.next_permit_request_at = now + pause_s
            return None
        return self._use_permit(candidate, demand, on_end, now)

    def _use_permit(
        self, candidate: Candidate, demand: Demand, on_end: OnEnd, now: float
    ) -> PoolSlot | None:
        """Return a slot at a target by a permit; without a slot the permit is returned later."""
        chosen = self._dispatcher.propose_at(candidate, demand, now)
        if chosen is None:
            self._unused_permits.append(candidate.target_incarnation)
            return None
        return self._dispatcher.grant_chosen(chosen, demand, on_end, now)

    async def _wait_or_refuse(self, demand: Demand, on_end: OnEnd) -> AcquireResult | None:
        now = self._clock.now()
        usable = self._usable_throttled(demand, now)
        if not usable:
            return self._dispatcher.refuse_if_late(demand, now)
        latest_grant_at = latest_grant(demand, now)
        wait_s = self._cached_expected_wait_s(demand, now)
        if now + wait_s > latest_grant_at and not self._has_unthrottled_target(demand):
            return Err(self._refusal(demand, usable, wait_s, now))
        permit_demand = PermitDemand(demand.rank, demand.caller, 1)
        reply = await self._send_request(
            self._best_first(usable, demand, now), [permit_demand], 0.0, latest_grant_at - now
        )
        now = self._clock.now()
        if reply is not None and reply.permits:
            slot = self._use_first_permit(reply, demand, on_end, now)
            if slot is not None:
                return Ok(slot)
        wait_s = COORDINATOR_LOST_WAIT_S if reply is None else reply.waits_s[0]
        self._cache_expected_wait(demand, wait_s, now)
        if self._has_unthrottled_target(demand):
            wait_s = min(wait_s, self._dispatcher.expected_wait(demand.rank, now))
        if now + wait_s > latest_grant_at:
            return Err(self._refusal(demand, usable, wait_s, now))
        return self._dispatcher.make_queue_space(demand, wait_s, now)

    def _cache_expected_wait(self, demand: Demand, wait_s: float, now: float) -> None:
        expected_waits = self._expected_wait_by_key
        expected_waits[(demand.rank, demand.caller)] = _ExpectedWait(now, wait_s)
        if len(expected_waits) > MAX_CACHED_WAITS:
            del expected_waits[next(iter(expected_waits))]

    def _cached_expected_wait_s(self, demand: Demand, now: float) -> float:
        """Return the minimum wait for one more such request according to a recent reply, or 0."""
        expected = self._expected_wait_by_key.get((demand.rank, demand.caller))
        if expected is None or now - expected.at > EXPECTED_WAIT_TTL_S:
            return 0.0
        return expected.wait_s - (now - expected.at)

    def _use_first_permit(
        self, reply: PermitReply, demand: Demand, on_end: OnEnd, now: float
    ) -> PoolSlot | None:
        """Use a permit for the waiters, or for ``demand`` if no waiter goes before it."""
        permit = reply.permits[0]
        candidate = self._find_candidate(permit.incarnation)
        if candidate is None:
            self._unused_permits.append(permit.incarnation)
            return None
        if not self._dispatcher.queue.count_ahead(demand.rank):
            return self._use_permit(candidate, demand, on_end, now)
        if not self._dispatcher.grant_waiter_at(candidate, permit.workspace, now):
            self._unused_permits.append(permit.incarnation)
        return None

    def _usable_throttled(self, demand: Demand, now: float) -> list[Candidate]:
        """Return the throttled targets that have capacity here for ``demand``."""
        return [
            candidate
            for candidate in self._pool.throttled_by_id().values()
            if self._dispatcher.propose_at(candidate, demand, now) is not None
        ]

    def _best_first(
        self, usable: Sequence[Candidate], demand: Demand, now: float
    ) -> list[Candidate]:
        """Return the targets, starting with the one that would be chosen without any throttling."""
        best = self._dispatcher.propose(
            demand, now, frozenset(candidate.target_id for candidate in usable)
        )
        if best is None:
            return list(usable)
        return [
            best.candidate,
            *(candidate for candidate in usable if candidate is not best.candidate),
        ]

    def _has_unthrottled_target(self, demand: Demand) -> bool:
        """Return whether targets that are not throttled serve such demands."""
        throttled = self._pool.throttled_by_id()
        return any(
            candidate.serves(demand.version, demand.adapter)
            for candidate in self._pool.candidates
            if candidate.target_id not in throttled
        )

    def _per_s(self, candidates: Sequence[Candidate]) -> float:
        table = self._rates.table
        return sum(table.limit_of(candidate.target_incarnation) or 0.0 for candidate in candidates)

    def _refusal(
        self, demand: Demand, usable: Sequence[Candidate], wait_s: float, now: float
    ) -> Refusal:
        self._rates.refused_by_name[demand.name] += 1
        per_s = self._per_s(usable)
        return Refusal(
            ErrorKind.RATE_LIMITED,
            f"{format_names(usable)} of {demand.name} are in need and take {per_s:g} requests a "
            f"second together; one more would wait {wait_s:.1f} s, past its deadline",
            retry_after=self._dispatcher.retry_after(wait_s, now),
        )

    async def _request_permits(self) -> None:
        queue = self._dispatcher.queue
        while len(queue) and self._pool.throttled_by_id():
            waiters_by_key = queue.by_demand()
            permit_demands = [
                PermitDemand(rank, caller, len(waiters))
                for (rank, caller), waiters in list(waiters_by_key.items())[:MAX_DEMANDS]
            ]
            candidates = self._pool.available_throttled(self._clock.now())
            if not candidates:
                await self._clock.sleep(POLL_INTERVAL_S)
                continue
            reply = await self._send_request(candidates, permit_demands, POLL_INTERVAL_S)
            pause_s = COORDINATOR_LOST_POLL_INTERVAL_S
            if reply is not None:
                pause_s = reply.pause_s
                if not self._use_permits(reply):
                    # The waiters cannot use these targets, because they were tried there or the
                    # targets are full for this host. Without a pause the same permits would be
                    # issued and returned in an endless loop.
                    pause_s = max(pause_s, UNUSED_PERMIT_PAUSE_S)
                self._refuse_late(permit_demands, reply)
            if pause_s:
                await self._clock.sleep(pause_s)
        if self._unused_permits:
            await self._send_request([], [], 0.0)

    def _use_permits(self, reply: PermitReply) -> bool:
        """Use all permits for waiters; return whether no permit is left over."""
        now = self._clock.now()
        for permit in reply.permits:
            candidate = self._find_candidate(permit.incarnation)
            if candidate is None or not self._dispatcher.grant_waiter_at(
                candidate, permit.workspace, now
            ):
                self._unused_permits.append(permit.incarnation)
        return not self._unused_permits

    def _refuse_late(self, permit_demands: Sequence[PermitDemand], reply: PermitReply) -> None:
        """Refuse immediately the waiters that would get their permit after their deadline."""
        now = self._clock.now()
        waiters_by_key = self._dispatcher.queue.by_demand()
        for permit_demand, wait_s in zip(permit_demands, reply.waits_s, strict=False):
            waiters = waiters_by_key.get((permit_demand.rank, permit_demand.workspace), [])
            for number, waiter in enumerate(waiters, start=1):
                expected_s = wait_s * number / (permit_demand.requests + 1)
                if now + expected_s > waiter.latest_grant_at:
                    self._refuse_waiter(waiter, expected_s, now)

    def _refuse_waiter(self, waiter: Waiter, wait_s: float, now: float) -> None:
        if self._has_unthrottled_target(waiter.demand):
            return
        usable = self._pool.available_throttled(now) or list(self._pool.throttled_by_id().values())
        refusal = self._refusal(waiter.demand, usable, wait_s, now)
        self._dispatcher.refuse_waiters([waiter], refusal)

    def _find_candidate(self, incarnation: TargetIncarnation) -> Candidate | None:
        candidate = self._pool.candidate_by_id.get(incarnation.target)
        return (
            candidate
            if candidate is not None and candidate.target_incarnation == incarnation
            else None
        )

    async def _send_request(
        self,
        candidates: Sequence[Candidate],
        permit_demands: Sequence[PermitDemand],
        wait_s: float,
        max_wait_s: float = 0.0,
    ) -> PermitReply | None:
        table = self._rates.table
        targets = []
        for candidate in candidates:
            limit = table.limit_of(candidate.target_incarnation)
            if limit is not None:
                number = table.record_of(candidate.target_incarnation).number
                targets.append(RequestedTarget(candidate.target_incarnation, number, limit))
        returned, self._unused_permits = tuple(self._unused_permits), []
        request = PermitRequest(
            self._group.kind,
            self._group.name,
            tuple(targets),
            tuple(permit_demands),
            wait_s,
            max_wait_s,
            returned,
        )
        reply = await self._rates.permits.request(request)
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
