"""Issue permits for the targets of one group to all hosts; one host at a time does so.

Each permit is for one request and is used immediately. So no host holds a part of a rate that other
hosts lack, and the loss of a host loses no part of it. Times are monotonic seconds.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cranberrywall.rates._bucket import TokenBucket
from cranberrywall.rates._fairness import Fairness
from cranberrywall.rates._rate_table import RateRecord, RateTable
from cranberrywall.rates.messages import (
    Permit,
    PermitDemand,
    PermitReply,
    PermitRequest,
    RequestedTarget,
)
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import TargetIncarnation

MAX_REQUESTS_PER_S = 250.0
"""Approximate maximum of requests for permits per second from all hosts with waiting requests
together. Each takes this host some 0.2 ms, so that they take a twentieth of a core."""

REQUESTS_PER_PERMIT = 4.0
"""Number of requests for permits that all hosts which can use other targets send together for
each permit that becomes available."""

ACTIVE_HOST_TTL_S = 2.0
"""A host counts as active for this time after its last request for permits, in seconds."""

BUCKET_TTL_S = 60.0
"""The bucket of a target is removed this time after the last request for it, in seconds."""

MAX_EXPECTED_WAIT_S = 600.0
"""Maximum expected wait, in seconds."""


class _PendingRequest:
    """Request of one host for permits while it waits for its first permit."""

    def __init__(self, host: str, request: PermitRequest, number: int) -> None:
        self.host = host
        self.request = request
        self.number = number
        self.left_by_position = [demand.requests for demand in request.demands]
        self.incarnations = frozenset(target.incarnation for target in request.targets)
        self.permits: list[Permit] = []
        self.answered: asyncio.Event = asyncio.Event()

    def demands_left(self) -> list[PermitDemand]:
        """Return the demands with the number of permits that they still lack."""
        return [
            demand._replace(requests=left)
            for demand, left in zip(self.request.demands, self.left_by_position, strict=True)
        ]


class _NextGrant(NamedTuple):
    """Demand that gets the next permit of a target."""

    pending: _PendingRequest
    position: int


class Coordinator:
    """Store the bucket of each target of a group, and the waiting requests for permits."""

    def __init__(
        self, rates: RateTable, share: Callable[[float], float], clock: Clock, random: Random
    ) -> None:
        self._rates = rates
        self._share = share
        self._clock = clock
        self._random = random
        self._bucket_by_incarnation: dict[TargetIncarnation, TokenBucket] = {}
        self._requested_at_by_incarnation: dict[TargetIncarnation, float] = {}
        self._requested_at_by_host: dict[str, float] = {}
        self._waiting: list[_PendingRequest] = []
        # Demands that were deferred since their host last reported its waiting requests. If they
        # did not count, all requests within a quarter of a second would be given the same short
        # wait.
        self._deferred_by_host: dict[str, list[PermitDemand]] = {}
        self._fairness = Fairness(clock.now())
        self._timer: asyncio.TimerHandle | None = None
        self._request_count = 0
        self.issued = 0

    async def handle(self, host: str, request: PermitRequest) -> PermitReply:
        """Issue the available permits; if the request says so, wait for a first one."""
        now = self._clock.now()
        self._requested_at_by_host[host] = now
        self._apply_request(request, now)
        if request.wait_s > 0:
            # A newer request of a host replaces its older ones: it lists all that the host still
            # requires.
            self._end_requests_of(host)
            self._deferred_by_host.pop(host, None)
        self._request_count += 1
        pending = _PendingRequest(host, request, self._request_count)
        self._waiting.append(pending)
        try:
            self._issue(now, [target.incarnation for target in request.targets])
            if request.wait_s > 0 and not pending.permits:
                await self._wait(pending)
        finally:
            self._remove(pending)
        reply = self._reply(pending, self._clock.now())
        if not reply.permits and reply.waits_s and reply.waits_s[0] <= request.max_wait_s:
            self._deferred_by_host.setdefault(host, []).extend(request.demands)
        return reply

    def expire(self, now: float) -> None:
        """Remove hosts and targets without recent requests."""
        for incarnation, at in list(self._requested_at_by_incarnation.items()):
            if now - at > BUCKET_TTL_S:
                del self._requested_at_by_incarnation[incarnation]
                self._bucket_by_incarnation.pop(incarnation, None)
        for host, at in list(self._requested_at_by_host.items()):
            if now - at > ACTIVE_HOST_TTL_S:
                del self._requested_at_by_host[host]
                self._deferred_by_host.pop(host, None)

    def is_idle(self) -> bool:
        """Return whether there are no buckets and no waiting requests."""
        return not self._bucket_by_incarnation and not self._waiting

    def waiting(self) -> int:
        """Return the reported number of requests that wait for a permit on all hosts."""
        return sum(demand.requests for demand in self._demands())

    def close(self) -> None:
        """End all waiting requests without a permit."""
        for pending in self._waiting:
            pending.answered.set()
        if self._timer is not None:
            self._timer.cancel()

    async def _wait(self, pending: _PendingRequest) -> None:
        try:
            async with asyncio.timeout(pending.request.wait_s):
                await pending.answered.wait()
        except TimeoutError:
            return

    def _apply_request(self, request: PermitRequest, now: float) -> None:
        share = self._share(now)
        for target in request.targets:
            record = self._rates.record_of(target.incarnation)
            bucket = self._bucket_by_incarnation.get(target.incarnation)
            if bucket is None:
                bucket = self._bucket_by_incarnation[target.incarnation] = TokenBucket(now)
            self._requested_at_by_incarnation[target.incarnation] = now
            per_s = _applicable_rate(record, target)
            limit = self._rates.limit_of(target.incarnation)
            bucket.set_rate(per_s if limit is None else min(per_s, limit), share, now)
        for incarnation in request.returned:
            if incarnation in self._bucket_by_incarnation:
                self._bucket_by_incarnation[incarnation].refund(now)

    def _issue(self, now: float, first: Sequence[TargetIncarnation] = ()) -> None:
        """Issue the available permits to waiting requests, and set a timer for the next one.

        The targets in ``first`` come first, in the order of preference of the requesting host: if
        several targets have permits left, cached prompts and loads decide.
        """
        for incarnation in dict.fromkeys((*first, *self._bucket_by_incarnation)):
            bucket = self._bucket_by_incarnation[incarnation]
            recipient = self._next_grant(incarnation, now)
            while recipient is not None and bucket.take(now):
                self._issue_one(incarnation, recipient, now)
                recipient = self._next_grant(incarnation, now)
        self._schedule_issue(now)

    def _next_grant(self, incarnation: TargetIncarnation, now: float) -> _NextGrant | None:
        """Return the demand that gets the next permit of a target.

        Demands that can use no other target, and so wait, come before those that can. Then the
        order is by rank, then evenly between workspaces, then by age.
        """
        best: _NextGrant | None = None
        best_order: tuple[bool, tuple[int, float], int] | None = None
        for pending in self._waiting:
            if incarnation not in pending.incarnations:
                continue
            is_immediate = pending.request.wait_s <= 0
            for index, demand in enumerate(pending.request.demands):
                if not pending.left_by_position[index]:
                    continue
                order = (is_immediate, self._fairness.sort_key(demand, now), pending.number)
                if best_order is None or order < best_order:
                    best, best_order = _NextGrant(pending, index), order
        return best

    def _issue_one(self, incarnation: TargetIncarnation, recipient: _NextGrant, now: float) -> None:
        pending, position = recipient
        demand = pending.request.demands[position]
        pending.left_by_position[position] -= 1
        pending.permits.append(Permit(incarnation, demand.rank, demand.workspace))
        pending.answered.set()
        self._fairness.record_grant(demand, now)
        self.issued += 1

    def _schedule_issue(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        open_incarnations = {
            incarnation
            for pending in self._waiting
            for incarnation in pending.incarnations
            if not pending.permits
        }
        times = [
            self._bucket_by_incarnation[incarnation].seconds_to_next(now)
            for incarnation in open_incarnations
        ]
        soonest = min(times, default=float("inf"))
        if soonest < MAX_EXPECTED_WAIT_S:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(soonest, lambda: self._issue(self._clock.now()))

    def _end_requests_of(self, host: str) -> None:
        for pending in [
            pending
            for pending in self._waiting
            if pending.host == host and pending.request.wait_s > 0
        ]:
            pending.answered.set()

    def _remove(self, pending: _PendingRequest) -> None:
        if pending in self._waiting:
            self._waiting.remove(pending)

    def _demands(self) -> list[PermitDemand]:
        reported = [
            demand
            for pending in self._waiting
            if pending.request.wait_s > 0
            for demand in pending.demands_left()
        ]
        return reported + [
            demand for demands in self._deferred_by_host.values() for demand in demands
        ]

    def _reply(self, pending: _PendingRequest, now: float) -> PermitReply:
        waiting = self._demands()
        if pending.request.wait_s > 0:
            waiting += pending.demands_left()
        per_s = sum(
            self._bucket_by_incarnation[incarnation].per_s for incarnation in pending.incarnations
        )
        waits = tuple(
            self._expected_wait(demand, waiting, per_s, now) for demand in pending.request.demands
        )
        return PermitReply(tuple(pending.permits), waits, self._pause(pending, waiting, now))

    def _expected_wait(
        self, demand: PermitDemand, waiting: Sequence[PermitDemand], per_s: float, now: float
    ) -> float:
        left = per_s * self._fairness.share_left(demand.rank, now)
        if not left:
            return MAX_EXPECTED_WAIT_S
        return min(MAX_EXPECTED_WAIT_S, (self._fairness.count_ahead(demand, waiting) + 1) / left)

    def _pause(
        self, pending: _PendingRequest, waiting: Sequence[PermitDemand], now: float
    ) -> float:
        """Return for how long the host should not request permits, in seconds."""
        if pending.request.wait_s > 0:
            polling = {other.host for other in self._waiting} | self._deferred_by_host.keys()
            return max(0.0, len(polling) / MAX_REQUESTS_PER_S - pending.request.wait_s)
        if pending.permits:
            return 0.0
        buckets = [self._bucket_by_incarnation[incarnation] for incarnation in pending.incarnations]
        soonest = min((bucket.seconds_to_next(now) for bucket in buckets), default=1.0)
        per_s = max((bucket.per_s for bucket in buckets), default=0.0)
        if waiting or not per_s:
            return 1.0
        active_hosts = len(self._requested_at_by_host)
        spread_s = active_hosts / min(REQUESTS_PER_PERMIT * per_s, MAX_REQUESTS_PER_S)
        return soonest + spread_s * self._random.random()


def _applicable_rate(record: RateRecord, target: RequestedTarget) -> float:
    """Return the rate that applies: the one with the newer change of the two hosts' records."""
    if record.per_s is None and record.number >= target.number:
        # The target is no longer throttled, and the requesting host is about to receive this
        # update.
        return target.per_s
    if record.per_s is not None and record.number > target.number:
        return record.per_s
    if record.per_s is not None and record.number == target.number:
        # The requesting host has the same rate, or a lower limit if it takes the target for cold.
        return min(record.per_s, target.per_s)
    return target.per_s
