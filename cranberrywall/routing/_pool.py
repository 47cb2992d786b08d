"""Hold the targets of one model or service as this host uses them, and learn from use."""

from collections.abc import Callable, Container, Sequence
from statistics import fmean

from cranberrywall.rates import RateNotice, TargetRates
from cranberrywall.routing._candidates import Candidate, Claim, Shared
from cranberrywall.routing._choice import Choice, Chosen
from cranberrywall.routing._distances import Distances
from cranberrywall.routing._interfaces import Demand, Outcome, OutcomeKind
from cranberrywall.routing._retries import RetryBudget, RetryLimits
from cranberrywall.routing._waits import WaitModel
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import (
    Announcement,
    Backoffs,
    DecimalField,
    GroupMeans,
    Load,
    PrefixIndex,
)

USUAL_EVERY_S = 0.5
"""The mean of what other hosts have at targets is computed this often, in seconds."""

MOST_EJECTED = 0.5
"""Share of the targets that may be ejected: with fewer left, failures prove little."""

KNOWN_AFTER_S = 10.0
"""A target that joins later than this after the host's own start starts slowly, in seconds."""

RESERVED_SHARE = 0.27
"""Share of each target's places kept free for the first rank while places are short."""

CROWDED_FOR_S = 10.0
"""Places count as short this long after a demand had to wait, in seconds."""

MIN_RESERVING_CAPACITY = 4
"""A target with fewer places keeps none free for the first rank."""

MOST_UNBOUNDED = 0.9
"""The share of requests without a limit counts as this much at most."""

SHARE_LEARNING = 0.1
"""Weight of each look in the smoothed share of requests without a limit."""

FILLED_FOR_BACKOFFS = 10.0
"""A target that was full is tried beyond what it took then after so many backoffs."""

RESERVED_FOR_S = 60.0
"""Places are kept free this long after a demand of the first rank, in seconds."""


OnLeaving = Callable[[Announcement, str, float], None]
"""Take in that a target said in the answer to a request, at a time, that it leaves."""


class Pool:
    """Grant places at the targets of one group."""

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
        retry_limits: RetryLimits | None = None,
    ) -> None:
        self.rates = rates
        self.backoffs = backoffs
        self.on_leaving = on_leaving
        self.candidate_by_id: dict[str, Candidate] = {}
        self.candidates: list[Candidate] = []
        self.prefixes = PrefixIndex()
        self.waits = WaitModel()
        self.retries = RetryBudget(now, retry_limits, count_hosts)
        self._retry_limits = retry_limits
        self.clock = clock
        self._random = random
        self._distances = distances
        self._count_hosts = count_hosts
        self._used_share = 1.0
        self._started_at = now
        self._choice = Choice(random, self.waits, self.prefixes, backoffs)
        self._usual = GroupMeans(0.0, 0.0, 0.0, self.waits.hold_s)
        self._usual_until = 0.0
        self._first_rank_until = 0.0
        self._crowded_until = 0.0
        self.hears_first_tokens = False
        self._has_prompts = False

    def put(self, announcement: Announcement, now: float) -> None:
        """Take in the renewal of a target; one outside this host's subset is left out."""
        candidate = self.candidate_by_id.get(announcement.target)
        if candidate is None:
            return
        candidate.renew(announcement, now)
        if announcement.load is not None:
            shared = self._shared(announcement, now)
            candidate.report(announcement.load, shared, self.clock.wall(), now)
        late_s = candidate.load.late_s
        self.prefixes.apply(announcement.target, announcement.cache_events, late_s, now)

    def note_load(self, chosen: Chosen, running: int, waiting: int, now: float) -> None:
        """Take in what an answer of a target said of its load."""
        load = Load(running, waiting, self.clock.wall())
        chosen.candidate.report(
            load, self._shared(chosen.candidate.announcement, now), load.at, now
        )

    def _shared(self, announcement: Announcement, now: float) -> Shared:
        return Shared(
            self._sharers(),
            self._reserved(announcement.capacity, now),
            self._usual_now(now).unbounded_share,
        )

    def remove(self, target_id: str) -> None:
        """Choose the target no more; its requests in progress go on."""
        if self.candidate_by_id.pop(target_id, None) is not None:
            self.candidates = list(self.candidate_by_id.values())
            self.prefixes.remove(target_id)

    def choose_from(self, announcements: Sequence[Announcement], known: int, now: float) -> None:
        """Use these of ``known`` targets, and keep what is known of those in use before."""
        self._used_share = len(announcements) / max(1, known)
        subset = {announcement.target for announcement in announcements}
        for target_id in self.candidate_by_id.keys() - subset:
            self.remove(target_id)
        for announcement in announcements:
            if not self._knows(announcement):
                self._add(announcement, now)
        self.candidates = list(self.candidate_by_id.values())

    def offers(self, candidate: Candidate, now: float) -> bool:
        """Return whether this start of the target may still be sent what was granted."""
        known = self.candidate_by_id.get(candidate.target_id)
        if known is None or known.start != candidate.start:
            return False
        return now >= self.backoffs.until(candidate.start, now)

    def opens_at(self, demand: Demand, now: float) -> float | None:
        """Return when a target that may take ``demand`` is out of its backoff.

        ``None`` where targets serve such demands, and the demand may go to none of them.
        """
        if not demand.exclude and not self.backoffs.has_any():
            return now
        serving = [one for one in self.candidates if one.serves(demand.version, demand.adapter)]
        if not serving:
            return now
        starts = [one.start for one in serving if one.target_id not in demand.exclude]
        return min((self.backoffs.until(start, now) for start in starts), default=None)

    def serves(self, demand: Demand) -> bool:
        """Say whether a target of the pool has what ``demand`` asks for."""
        return any(
            candidate.serves(demand.version, demand.adapter) for candidate in self.candidates
        )

    def in_flight(self) -> int:
        """Return this host's requests at all targets of the pool."""
        return sum(candidate.load.in_flight for candidate in self.candidates)

    def limited(self) -> dict[str, Candidate]:
        """Return, by id, the targets that named the requests a second that they take."""
        rates = self.rates.known.rate_by_incarnation
        if not rates:
            return {}
        return {known.target_id: known for known in self.candidates if known.start in rates}

    def open_limited(self, now: float) -> list[Candidate]:
        """Return the targets that named a rate and are in no backoff."""
        limited = self.limited().values()
        return [known for known in limited if not self.backoffs.blocks_requests(known.start, now)]

    def propose(
        self,
        demand: Demand,
        is_first_rank: bool,
        now: float,
        open_to: frozenset[str] = frozenset(),
    ) -> Chosen | None:
        """Return the best target that has room for ``demand``; nothing is granted yet.

        Of those that named a rate, only those that the demand is ``open_to`` are chosen: they need
        a permit.
        """
        if is_first_rank:
            self._first_rank_until = now + RESERVED_FOR_S
        limited = self.limited()
        barred = limited.keys() - open_to if limited else ()
        claim = Claim.FIRST_RANK if is_first_rank else Claim.BOUNDED
        chosen = self._choose(demand, claim, self.candidates, barred, now)
        # Where hosts are more than places some have none by their limits; one request for
        # each host keeps their waiters from starving.
        if chosen is None and not self.in_flight():
            chosen = self._choose(demand, Claim.ONLY, self.candidates, barred, now)
        return chosen

    def propose_at(
        self, candidate: Candidate, demand: Demand, is_first_rank: bool, now: float
    ) -> Chosen | None:
        """Return the choice of this one target, if it has room for ``demand``."""
        claim = Claim.FIRST_RANK if is_first_rank else Claim.BOUNDED
        chosen = self._choose(demand, claim, [candidate], (), now)
        if chosen is None:
            chosen = self._choose(demand, Claim.ONLY, [candidate], (), now)
        return chosen

    def grant(self, chosen: Chosen, demand: Demand, on_end: "OnEnd", now: float) -> "PoolSlot":
        """Return a place at the target that was just proposed for ``demand``."""
        self._start(chosen, demand, now)
        return PoolSlot(self, chosen, demand, on_end, now)

    def hear(self, chosen: Chosen, owed: bool, since: float, now: float) -> None:
        """Note that a target began to answer."""
        self.hears_first_tokens = True
        self.backoffs.record_served(chosen.candidate.start, since)
        if owed:
            chosen.candidate.health.record_response(now)
            chosen.candidate.pending_blocks -= chosen.missed_blocks

    def finish(
        self,
        chosen: Chosen,
        outcome: Outcome,
        owed: bool,
        is_turned_away: bool,
        since: float,
        now: float,
    ) -> None:
        """Free a place and learn from the outcome.

        ``owed`` is whether no answer began before. A target that turned the request away and
        asked for a backoff is full: that is no failure.
        """
        candidate = chosen.candidate
        candidate.load.end(chosen.bounded, now)
        answered = outcome.kind is OutcomeKind.ANSWERED
        if owed:
            candidate.pending_blocks -= chosen.missed_blocks
            if answered:
                candidate.health.record_response(now)
            else:
                candidate.health.record_abandoned()
        if is_turned_away:
            self._fill(candidate, now)
        elif answered:
            candidate.health.answered(now)
            self.backoffs.record_served(candidate.start, since)
            self._learn(chosen, outcome, since, now)
        elif outcome.kind is not OutcomeKind.CANCELLED:
            self._fail(candidate, now)

    def record_probe(self, target_id: str, well: bool, now: float) -> None:
        """Take in what a probe of an ejected target showed."""
        candidate = self.candidate_by_id.get(target_id)
        if candidate is not None:
            candidate.health.record_probe(well, now)

    def targets_to_probe(self, now: float) -> list[Announcement]:
        """Return the targets that are worth a probe: ejected or unresponsive ones.

        A target in need counts a probe as it counts a request, so it is tried by requests only.
        """
        return [
            candidate.announcement
            for candidate in self.candidates
            if candidate.health.is_ejected(now) or candidate.health.is_unresponsive(now)
            if not self.backoffs.blocks_requests(candidate.start, now)
            if candidate.start not in self.rates.known.rate_by_incarnation
        ]

    def _choose(
        self,
        demand: Demand,
        claim: Claim,
        candidates: Sequence[Candidate],
        barred: Container[str],
        now: float,
    ) -> Chosen | None:
        usual = self._usual_now(now)
        by_id = self.candidate_by_id
        if candidates is not self.candidates:
            by_id = {candidate.target_id: candidate for candidate in candidates}
        return self._choice.choose(demand, claim, candidates, by_id, usual, barred, now)

    def note_crowd(self, now: float) -> None:
        """Note that demands wait: places are short."""
        self._crowded_until = now + CROWDED_FOR_S

    def _reserved(self, capacity: int, now: float) -> float:
        # Places kept free while they are not short would only narrow the choice. A small
        # target has none to spare for a rank that may not come.
        is_crowded = now < min(self._crowded_until, self._first_rank_until)
        if not is_crowded or capacity < MIN_RESERVING_CAPACITY:
            return 0.0
        return max(1.0, capacity * RESERVED_SHARE)

    def _sharers(self) -> int:
        return max(1, round(self._count_hosts() * self._used_share))

    def _knows(self, announcement: Announcement) -> bool:
        known = self.candidate_by_id.get(announcement.target)
        return known is not None and known.announcement.incarnation == announcement.incarnation

    def _add(self, announcement: Announcement, now: float) -> None:
        # A restarted target is another one as far as health, load and cache go; requests
        # in progress at the earlier run are counted at the earlier candidate.
        candidate = Candidate(
            announcement,
            self._distances.seconds_to(announcement.place),
            self._sharers(),
            self._random.random(),
            now,
            slow_start=now - self._started_at > KNOWN_AFTER_S,
            retries=RetryBudget(now, self._retry_limits, self._count_hosts),
        )
        self.candidate_by_id[announcement.target] = candidate
        self.prefixes.put(announcement.target, announcement.incarnation)
        self.put(announcement, now)

    def _start(self, chosen: Chosen, demand: Demand, now: float) -> None:
        candidate = chosen.candidate
        rates = self.rates.known.rate_by_incarnation
        if rates and candidate.start in rates:
            self.rates.sent_by_target[candidate.target_id] += 1
        self.backoffs.record_sent(candidate.start, now)
        if demand.exclude and self._avoids_backoff(demand, now):
            self.backoffs.rerouted += 1
        candidate.load.start(chosen.bounded, now)
        budgets = (self.retries, candidate.retries)
        for budget in budgets:
            if demand.retry:
                budget.spend(now)
            elif not demand.is_resend:
                budget.first_attempt(now)
        if self.hears_first_tokens:
            candidate.pending_blocks += chosen.missed_blocks
            candidate.health.record_sent(now)
        self.prefixes.use(candidate.target_id, demand.prefix_hashes, now)
        self._has_prompts = self._has_prompts or bool(demand.prefix_hashes)

    def _avoids_backoff(self, demand: Demand, now: float) -> bool:
        """Return whether a target that the demand was tried at asked for a backoff since."""
        tried = (self.candidate_by_id.get(target_id) for target_id in demand.exclude)
        return any(
            one is not None and self.backoffs.blocks_requests(one.start, now) for one in tried
        )

    def _learn(self, chosen: Chosen, outcome: Outcome, since: float, now: float) -> None:
        candidate = chosen.candidate
        self.waits.learn_hold(now - since)
        seconds = outcome.first_token_s
        if seconds is None:
            return
        unqueued_s = self.waits.predict(chosen.work._replace(excess_share=0.0))
        if candidate.limit.answered(unqueued_s, seconds, candidate.load.in_flight, now):
            candidate.limit.shrink(self.waits.hold_s, now)
        # Slow targets must not make the model predict that all are slow.
        self.waits.learn(chosen.work, seconds / candidate.slowness(now))
        candidate.observe(chosen.predicted_s, seconds, now)

    def _fill(self, candidate: Candidate, now: float) -> None:
        """Take in that a target is full while this host has requests there.

        Its work goes to the neighbours for the length of the backoff, as that of other hosts does.
        They would be filled one after the other, were it not for even shares. Where prompts are
        cached, shares are uneven on purpose, and stay as they are.
        """
        if not candidate.load.bounded:
            return
        left_s = self.backoffs.until(candidate.start, now) - now
        until = now + FILLED_FOR_BACKOFFS * left_s
        candidate.limit.filled(candidate.load.bounded, until, now)
        for other in self.candidates if not self._has_prompts else ():
            if other is not candidate:
                other.limit.keep_to_share(other.load.bounded, now + left_s, now)

    def _fail(self, candidate: Candidate, now: float) -> None:
        candidate.limit.shrink(self.waits.hold_s, now, failed=True)
        ejected = sum(known.health.is_ejected(now) for known in self.candidates)
        may_eject = ejected + 1 <= MOST_EJECTED * len(self.candidates)
        candidate.health.failed(now, may_eject, self._random)

    def _usual_now(self, now: float) -> GroupMeans:
        if now >= self._usual_until:
            self._usual_until = now + USUAL_EVERY_S
            loads = [candidate.load for candidate in self.candidates]
            reported = [load.last_others for load in loads if load.last_others is not None]
            self._usual = GroupMeans(
                own=fmean([load.own_mean(now) for load in loads] or [0.0]),
                others=fmean(reported or [0.0]),
                unbounded_share=self._unbounded_share(),
                hold_s=self.waits.hold_s,
            )
        return self._usual

    def _unbounded_share(self) -> float:
        loads = [candidate.load for candidate in self.candidates]
        own = sum(load.in_flight for load in loads)
        bounded = sum(load.bounded for load in loads)
        share = min(MOST_UNBOUNDED, 1.0 - bounded / own) if own else 0.0
        return self._usual.unbounded_share + SHARE_LEARNING * (share - self._usual.unbounded_share)


OnEnd = Callable[[float], None]


class PoolSlot:
    """Hold one place at a target."""

    def __init__(
        self, pool: Pool, chosen: Chosen, demand: Demand, on_end: OnEnd, now: float
    ) -> None:
        self._pool = pool
        self._chosen = chosen
        self._announcement = chosen.candidate.announcement
        self._version = demand.version
        self._on_end = on_end
        self._since = now
        self._rate_number = pool.rates.known.known(chosen.candidate.start).number
        # Where requests don't tell of first tokens nothing is owed: a long answer would
        # else look like silence.
        self._owed = pool.hears_first_tokens
        self._heard = False
        self._open = True
        self._is_turned_away = False

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self._announcement.target

    @property
    def url(self) -> str:
        """Return the target's base URL."""
        return self._announcement.url

    @property
    def is_offered(self) -> bool:
        """Return whether the request may still be sent; see ``Slot``."""
        return self._pool.offers(self._chosen.candidate, self._pool.clock.now())

    @property
    def version(self) -> str:
        """Return the version to ask for: the demand's, or the target's first one."""
        if self._version or not self._announcement.versions:
            return self._version
        return self._announcement.versions[0]

    def record_first_token(self, now: float) -> None:
        """Note that the target began to answer; a second call does nothing."""
        if self._open and not self._heard:
            self._heard = True
            self._pool.hear(self._chosen, self._owed, self._since, now)
            self._owed = False

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Note the requests of all hosts that the target said it has now."""
        self._pool.note_load(self._chosen, running, waiting, now)

    def record_rate(self, notice: RateNotice, is_served: bool, request_id: str, now: float) -> None:
        """Note what an answer said of the requests a second that the target takes."""
        start = self._chosen.candidate.start
        known = self._pool.rates.known
        known.record_response(start, notice, self._rate_number, is_served, request_id, now)

    def record_backoff(self, field: DecimalField, request_id: str, now: float) -> None:
        """Note for how many seconds a 503 of the target asks for no further request."""
        start = self._chosen.candidate.start
        if self._pool.backoffs.record_requested(start, field, request_id, now):
            self._is_turned_away = True

    def announced_leaving(self, request_id: str, now: float) -> None:
        """Note that the target says in an answer that it takes no new work."""
        self._pool.on_leaving(self._announcement, request_id, now)

    def finish(self, outcome: Outcome, now: float) -> None:
        """Free the place; a second call does nothing."""
        if self._open:
            self._open = False
            turned_away = self._is_turned_away
            self._pool.finish(self._chosen, outcome, self._owed, turned_away, self._since, now)
            self._on_end(now)
