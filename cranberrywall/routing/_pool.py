"""Targets of one model or service as this host uses them, with estimates from observed requests."""

from collections.abc import Callable, Container, Sequence
from statistics import fmean

from cranberrywall.rates import TargetRates
from cranberrywall.routing._candidates import Candidate, Claim, Sharing
from cranberrywall.routing._choice import Choice, Chosen
from cranberrywall.routing._distances import Distances
from cranberrywall.routing._interfaces import Demand, Outcome, OutcomeKind
from cranberrywall.routing._rejections import SHARE_OF_CAPACITY, RejectionSpread
from cranberrywall.routing._retries import RetryBudget, RetryLimits
from cranberrywall.routing._slot import OnEnd, PoolSlot
from cranberrywall.routing._waits import WaitModel
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import (
    Announcement,
    Backoffs,
    DecimalField,
    GroupMeans,
    Load,
    PrefixIndex,
    TargetIncarnation,
)

GROUP_MEANS_INTERVAL_S = 0.5
"""Interval at which the means over the targets are computed, in seconds."""

MAX_EJECTED_SHARE = 0.5
"""Maximum share of the targets that may be ejected: with fewer targets left, failures say little
about a single target."""

SLOW_START_DELAY_S = 10.0
"""A target that joins later than this after the start of this host starts slowly, in seconds."""

RESERVED_SHARE = 0.27
"""Share of each target's slots that is kept free for the first rank while slots are scarce."""

QUEUEING_DURATION_S = 10.0
"""Slots count as scarce for this time after a demand was queued, in seconds."""

MIN_RESERVING_CAPACITY = 4
"""A target with fewer slots keeps none free for the first rank."""

MAX_UNBOUNDED_SHARE = 0.9
"""Maximum value of the share of requests that no limit applies to."""

UNBOUNDED_SHARE_SMOOTHING = 0.1
"""Smoothing factor of the share of requests that no limit applies to."""

FULL_LIMIT_BACKOFFS = 10.0
"""The limit at a full target stays at the number of requests it had then for this multiple of
its backoff."""

RESERVATION_DURATION_S = 60.0
"""Slots are kept free for this time after a demand of the first rank, in seconds."""


OnLeaving = Callable[[Announcement, str, float], None]
"""Handle a target that announces in an answer that it leaves: announcement, request id, time."""


class Pool:
    """Grant slots at the targets of one group."""

    def __init__(
        self,
        clock: Clock,
        random: Random,
        distances: Distances,
        count_hosts: Callable[[], int],
        now: float,
        rates: TargetRates,
        backoffs: Backoffs,
        on_leaving: OnLeaving,
        rejections: RejectionSpread,
        retry_limits: RetryLimits | None = None,
    ) -> None:
        self._rejections = rejections
        self.rates = rates
        self.backoffs = backoffs
        self.on_leaving = on_leaving
        self.candidate_by_id: dict[str, Candidate] = {}
        self.candidates: list[Candidate] = []
        self._parked_by_id: dict[str, Candidate] = {}
        self.prefixes = PrefixIndex()
        self.waits = WaitModel()
        is_fleet_part = retry_limits is not None and retry_limits.min_hosts > 0
        self.retries = RetryBudget(now, retry_limits, count_hosts, starts_empty=is_fleet_part)
        self._retry_limits = retry_limits
        self.clock = clock
        self._random = random
        self._distances = distances
        self._count_hosts = count_hosts
        self._used_share = 1.0
        self._started_at = now
        self._choice = Choice(random, self.waits, self.prefixes, backoffs)
        self._group_means = GroupMeans(0.0, 0.0, 0.0, self.waits.hold_s)
        self._group_means_until = 0.0
        self._first_rank_until = 0.0
        self._queueing_until = 0.0
        self.reports_first_tokens = False
        self._has_prompts = False

    def put(self, announcement: Announcement, now: float) -> None:
        """Apply the renewal of a target; a target outside this host's subset is ignored."""
        candidate = self.candidate_by_id.get(announcement.target)
        if candidate is None:
            return
        candidate.renew(announcement, now)
        if announcement.load is not None:
            sharing = self._sharing(announcement, now)
            candidate.apply_load(announcement.load, sharing, self.clock.wall(), now)
        late_s = candidate.load.late_s
        self.prefixes.apply(announcement.target, announcement.cache_events, late_s, now)

    def record_load(self, chosen: Chosen, running: int, waiting: int, now: float) -> None:
        """Record the load that a target stated in an answer."""
        load = Load(running, waiting, self.clock.wall())
        chosen.candidate.apply_load(
            load, self._sharing(chosen.candidate.announcement, now), load.at, now
        )

    def record_rejections(
        self,
        chosen: Chosen,
        field: DecimalField,
        is_rejected: bool,
        request_id: str,
        now: float,
    ) -> bool:
        """Record the rejections a second that an answer stated; return whether one was counted."""
        candidate = chosen.candidate
        if field.unreadable:
            self._rejections.record_unreadable(candidate.target_incarnation, field)
        elif field.number is not None or not is_rejected:
            candidate.rejections.per_s = field.number
        if not is_rejected or candidate.rejections.per_s is None:
            return False
        others = candidate.load.in_flight - 1
        candidate.rejections.record_rejected(others, self._sharing_hosts(), self._random, now)
        self._rejections.publish(candidate.target_incarnation, request_id, now)
        return True

    def record_rejected_elsewhere(self, incarnation: TargetIncarnation, now: float) -> None:
        """Record that a brittle target rejected a request of another host."""
        candidate = self.candidate_by_id.get(incarnation.target)
        if candidate is not None and candidate.target_incarnation == incarnation:
            in_flight = candidate.load.in_flight
            candidate.rejections.record_rejected_elsewhere(in_flight, self._random, now)

    def _sharing(self, announcement: Announcement, now: float) -> Sharing:
        reserved = self._reserved_slots(announcement.capacity, now)
        candidate = self.candidate_by_id.get(announcement.target)
        if candidate is not None and candidate.rejections.per_s is not None:
            reserved = max(reserved, (1.0 - SHARE_OF_CAPACITY) * announcement.capacity)
        return Sharing(
            self._sharing_hosts(),
            reserved,
            self._current_group_means(now).unbounded_share,
        )

    def remove(self, target_id: str) -> None:
        """Stop choosing the target; its requests in progress continue."""
        is_parked = self._parked_by_id.pop(target_id, None) is not None
        is_used = self.candidate_by_id.pop(target_id, None) is not None
        if is_used:
            self.candidates = list(self.candidate_by_id.values())
        if is_used or is_parked:
            self.prefixes.remove(target_id)

    def set_targets(
        self,
        announcements: Sequence[Announcement],
        target_count: int,
        now: float,
        parked_ids: Container[str] = (),
    ) -> None:
        """Use these of ``target_count`` targets; those already in use keep their state.

        Targets in ``parked_ids`` may be used again later, and then have the state that they had.
        """
        self._used_share = len(announcements) / max(1, target_count)
        subset = {announcement.target for announcement in announcements}
        for target_id in self.candidate_by_id.keys() - subset:
            if target_id in parked_ids:
                self._parked_by_id[target_id] = self.candidate_by_id.pop(target_id)
            else:
                self.remove(target_id)
        for announcement in announcements:
            self._unpark(announcement, now)
            if not self._has_incarnation(announcement):
                self._add(announcement, now)
        self.candidates = list(self.candidate_by_id.values())

    def _unpark(self, announcement: Announcement, now: float) -> None:
        parked = self._parked_by_id.pop(announcement.target, None)
        if parked is not None and parked.target_incarnation.incarnation == announcement.incarnation:
            parked.renew(announcement, now)
            self.candidate_by_id[announcement.target] = parked

    def is_offered(self, candidate: Candidate, now: float) -> bool:
        """Return whether this incarnation of the target may still be sent a granted request."""
        current = self.candidate_by_id.get(candidate.target_id)
        if current is None or current.target_incarnation != candidate.target_incarnation:
            return False
        return now >= self.backoffs.until(candidate.target_incarnation, now)

    def available_at(self, demand: Demand, now: float) -> float | None:
        """Return when the backoff of a target that may take ``demand`` ends.

        ``None`` if there are targets that serve such demands, but the demand excludes all of them.
        """
        if not demand.exclude and not self.backoffs.has_any():
            return now
        serving = [
            candidate
            for candidate in self.candidates
            if candidate.serves(demand.version, demand.adapter)
        ]
        if not serving:
            return now
        incarnations = [
            candidate.target_incarnation
            for candidate in serving
            if candidate.target_id not in demand.exclude
        ]
        return min(
            (self.backoffs.until(incarnation, now) for incarnation in incarnations), default=None
        )

    def serves(self, demand: Demand) -> bool:
        """Return whether a target of the pool has what ``demand`` requires."""
        return any(
            candidate.serves(demand.version, demand.adapter) for candidate in self.candidates
        )

    def in_flight(self) -> int:
        """Return the number of this host's requests at all targets of the pool."""
        return sum(candidate.load.in_flight for candidate in self.candidates)

    def throttled_by_id(self) -> dict[str, Candidate]:
        """Return, by id, the targets that stated a limit of requests per second."""
        rates = self.rates.table.rate_by_incarnation
        if not rates:
            return {}
        return {
            candidate.target_id: candidate
            for candidate in self.candidates
            if candidate.target_incarnation in rates
        }

    def available_throttled(self, now: float) -> list[Candidate]:
        """Return the throttled targets that are not in a backoff."""
        throttled = self.throttled_by_id().values()
        return [
            candidate
            for candidate in throttled
            if not self.backoffs.blocks_requests(candidate.target_incarnation, now)
        ]

    def propose(
        self,
        demand: Demand,
        is_first_rank: bool,
        now: float,
        open_to: frozenset[str] = frozenset(),
    ) -> Chosen | None:
        """Return the best target with capacity for ``demand``; no slot is granted yet.

        Requests to throttled targets need a permit, so only the throttled targets in ``open_to``
        are considered.
        """
        if is_first_rank:
            self._first_rank_until = now + RESERVATION_DURATION_S
        throttled = self.throttled_by_id()
        barred = throttled.keys() - open_to if throttled else ()
        claim = Claim.FIRST_RANK if is_first_rank else Claim.BOUNDED
        chosen = self._choose(demand, claim, self.candidates, barred, now)
        # If there are more hosts than slots, the limits of some hosts are zero. One request for
        # each host keeps their waiters from starving.
        if chosen is None and not self.in_flight():
            chosen = self._choose(demand, Claim.ONLY, self.candidates, barred, now)
        return chosen

    def propose_at(
        self, candidate: Candidate, demand: Demand, is_first_rank: bool, now: float
    ) -> Chosen | None:
        """Return the choice of this one target if it has capacity for ``demand``, else ``None``."""
        claim = Claim.FIRST_RANK if is_first_rank else Claim.BOUNDED
        chosen = self._choose(demand, claim, [candidate], (), now)
        if chosen is None:
            chosen = self._choose(demand, Claim.ONLY, [candidate], (), now)
        return chosen

    def grant(self, chosen: Chosen, demand: Demand, on_end: OnEnd, now: float) -> PoolSlot:
        """Return a slot at the target that was just proposed for ``demand``."""
        self._record_start(chosen, demand, now)
        return PoolSlot(self, chosen, demand, on_end, now)

    def record_first_token(
        self, chosen: Chosen, is_token_due: bool, granted_at: float, now: float
    ) -> None:
        """Record that a target began to answer."""
        self.reports_first_tokens = True
        self.backoffs.record_served(chosen.candidate.target_incarnation, granted_at)
        if is_token_due:
            chosen.candidate.health.record_response(now)
            chosen.candidate.pending_blocks -= chosen.missed_blocks

    def finish(
        self,
        chosen: Chosen,
        outcome: Outcome,
        is_token_due: bool,
        is_rejected: bool,
        granted_at: float,
        now: float,
    ) -> None:
        """Release a slot and update the estimates from the outcome.

        ``is_token_due`` is True if the first token was still awaited. A target that rejected the
        request and asked for a backoff is full; this does not count as a failure.
        """
        candidate = chosen.candidate
        candidate.load.end(chosen.bounded, now)
        answered = outcome.kind is OutcomeKind.ANSWERED
        if is_token_due:
            candidate.pending_blocks -= chosen.missed_blocks
            if answered:
                candidate.health.record_response(now)
            else:
                candidate.health.record_abandoned()
        if is_rejected:
            self._record_full(candidate, now)
        elif answered:
            candidate.health.answered(now)
            self.rates.cold.record_answered(candidate.announcement, now)
            self.backoffs.record_served(candidate.target_incarnation, granted_at)
            self._update_estimates(chosen, outcome, granted_at, now)
        elif outcome.kind is not OutcomeKind.CANCELLED:
            self._record_failure(candidate, now)

    def record_probe(self, target_id: str, is_healthy: bool, now: float) -> None:
        """Record the result of a probe of an ejected target."""
        candidate = self.candidate_by_id.get(target_id)
        if candidate is not None:
            candidate.health.record_probe(is_healthy, now)

    def forgive_failures(self, since: float) -> None:
        """Discard the failures of all targets since a time."""
        for candidate in self.candidates:
            candidate.health.forgive_failures(since)

    def targets_to_probe(self, now: float) -> list[Announcement]:
        """Return the ejected and unresponsive targets that should be probed.

        A throttled target counts a probe as a request, so it is tried by requests only.
        """
        return [
            candidate.announcement
            for candidate in self.candidates
            if candidate.health.is_ejected(now) or candidate.health.is_unresponsive(now)
            if not self.backoffs.blocks_requests(candidate.target_incarnation, now)
            if candidate.target_incarnation not in self.rates.table.rate_by_incarnation
        ]

    def _choose(
        self,
        demand: Demand,
        claim: Claim,
        candidates: Sequence[Candidate],
        barred: Container[str],
        now: float,
    ) -> Chosen | None:
        group_means = self._current_group_means(now)
        by_id = self.candidate_by_id
        if candidates is not self.candidates:
            by_id = {candidate.target_id: candidate for candidate in candidates}
        return self._choice.choose(demand, claim, candidates, by_id, group_means, barred, now)

    def record_queueing(self, now: float) -> None:
        """Record that demands are queued, so that slots count as scarce."""
        self._queueing_until = now + QUEUEING_DURATION_S

    def _reserved_slots(self, capacity: int, now: float) -> float:
        # Slots that are kept free while there is no shortage would only narrow the choice. A small
        # target has none to spare for a rank that may send no request.
        is_scarce = now < min(self._queueing_until, self._first_rank_until)
        if not is_scarce or capacity < MIN_RESERVING_CAPACITY:
            return 0.0
        return max(1.0, capacity * RESERVED_SHARE)

    def _sharing_hosts(self) -> int:
        return max(1, round(self._count_hosts() * self._used_share))

    def _has_incarnation(self, announcement: Announcement) -> bool:
        current = self.candidate_by_id.get(announcement.target)
        return current is not None and current.announcement.incarnation == announcement.incarnation

    def _add(self, announcement: Announcement, now: float) -> None:
        # A restarted target starts with new health, load and cache state. Its requests in progress
        # at the previous incarnation are counted at the previous candidate.
        candidate = Candidate(
            announcement,
            self._distances.seconds_to(announcement.place),
            self._sharing_hosts(),
            self._random.random(),
            now,
            is_slow_start=now - self._started_at > SLOW_START_DELAY_S,
            retries=RetryBudget(now, self._retry_limits, self._count_hosts),
        )
        self.candidate_by_id[announcement.target] = candidate
        self.prefixes.put(announcement.target, announcement.incarnation)
        self.put(announcement, now)

    def _record_start(self, chosen: Chosen, demand: Demand, now: float) -> None:
        candidate = chosen.candidate
        rates = self.rates.table.rate_by_incarnation
        if rates and candidate.target_incarnation in rates:
            self.rates.sent_by_target[candidate.target_id] += 1
        self.backoffs.record_sent(candidate.target_incarnation, now)
        if demand.exclude and self._avoided_backoff(demand, now):
            self.backoffs.rerouted += 1
        candidate.load.start(chosen.bounded, now)
        budgets = (self.retries, candidate.retries)
        for budget in budgets:
            if demand.retry:
                budget.spend(now)
            elif not demand.is_resend:
                budget.record_first_attempt(now)
        if self.reports_first_tokens:
            candidate.pending_blocks += chosen.missed_blocks
            candidate.health.record_sent(now)
        self.prefixes.use(candidate.target_id, demand.prefix_hashes, now)
        self._has_prompts = self._has_prompts or bool(demand.prefix_hashes)

    def _avoided_backoff(self, demand: Demand, now: float) -> bool:
        """Return whether a target that the demand was tried at has asked for a backoff."""
        tried = (self.candidate_by_id.get(target_id) for target_id in demand.exclude)
        return any(
            candidate is not None
            and self.backoffs.blocks_requests(candidate.target_incarnation, now)
            for candidate in tried
        )

    def _update_estimates(
        self, chosen: Chosen, outcome: Outcome, granted_at: float, now: float
    ) -> None:
        candidate = chosen.candidate
        self.waits.update_hold(now - granted_at)
        seconds = outcome.first_token_s
        if seconds is None:
            return
        unqueued_s = self.waits.predict(chosen.work._replace(excess_share=0.0))
        if candidate.limit.observe_first_token(unqueued_s, seconds, candidate.load.in_flight, now):
            candidate.limit.shrink(self.waits.hold_s, now)
        # Correct for the target's slowness: slow targets must not make the model predict that all
        # targets are slow.
        self.waits.update(chosen.work, seconds / candidate.slowness(now))
        candidate.update_slowness(chosen.predicted_s, seconds, now)

    def _record_full(self, candidate: Candidate, now: float) -> None:
        """Record that a target is full while this host has requests there.

        During the backoff this host and the other hosts send the work of the target to its
        neighbours. Without even shares the neighbours would be filled one after the other. If
        prompts are cached, the shares are uneven on purpose and stay as they are.
        """
        if not candidate.load.bounded:
            return
        remaining_s = self.backoffs.until(candidate.target_incarnation, now) - now
        until = now + FULL_LIMIT_BACKOFFS * remaining_s
        candidate.limit.cap_at_rejection(candidate.load.bounded, until, now)
        for other in self.candidates if not self._has_prompts else ():
            if other is not candidate:
                other.limit.cap_at_even_share(other.load.bounded, now + remaining_s, now)

    def _record_failure(self, candidate: Candidate, now: float) -> None:
        candidate.limit.shrink(self.waits.hold_s, now, failed=True)
        ejected = sum(other.health.is_ejected(now) for other in self.candidates)
        may_eject = ejected + 1 <= MAX_EJECTED_SHARE * len(self.candidates)
        if candidate.health.failed(now, may_eject, self._random):
            self.rates.cold.record_ejected(candidate.announcement, now)

    def _current_group_means(self, now: float) -> GroupMeans:
        if now >= self._group_means_until:
            self._group_means_until = now + GROUP_MEANS_INTERVAL_S
            loads = [candidate.load for candidate in self.candidates]
            reported = [load.last_others for load in loads if load.last_others is not None]
            self._group_means = GroupMeans(
                own=fmean([load.own_mean(now) for load in loads] or [0.0]),
                others=fmean(reported or [0.0]),
                unbounded_share=self._unbounded_share(),
                hold_s=self.waits.hold_s,
            )
        return self._group_means

    def _unbounded_share(self) -> float:
        loads = [candidate.load for candidate in self.candidates]
        own = sum(load.in_flight for load in loads)
        bounded = sum(load.bounded for load in loads)
        share = min(MAX_UNBOUNDED_SHARE, 1.0 - bounded / own) if own else 0.0
        return self._group_means.unbounded_share + UNBOUNDED_SHARE_SMOOTHING * (
            share - self._group_means.unbounded_share
        )
