"""Serve the demands for one model or service from its targets."""

import asyncio
from collections.abc import Sequence
from statistics import fmean

from result import Err, Ok

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.routing._candidates import Candidate
from cranberrywall.routing._choice import Choice, Chosen
from cranberrywall.routing._distances import Distances
from cranberrywall.routing._interfaces import Demand, Outcome, OutcomeKind
from cranberrywall.routing._queue import Answer, Waiter, WaitingQueue
from cranberrywall.routing._waits import WaitModel
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import Announcement, PrefixIndex, Usual

USUAL_EVERY_S = 0.5
"""The mean of what other hosts have at targets is computed this often, in seconds."""

MAX_WAITING = 1024
"""Demands that wait for one model or service on one host at most."""

MAX_SCANNED = 32
"""Waiters that are tried at most when a place becomes free."""


class Pool:
    """Hold the targets of one group as this host uses them, and the demands that wait."""

    def __init__(self, clock: Clock, random: Random, distances: Distances) -> None:
        self.candidate_by_id: dict[str, Candidate] = {}
        self.queue = WaitingQueue(MAX_WAITING)
        self.prefixes = PrefixIndex()
        self.waits = WaitModel()
        self._clock = clock
        self._distances = distances
        self._choice = Choice(random, self.waits, self.prefixes)
        self._candidates: list[Candidate] = []
        self._usual = Usual(0.0, 0.0, self.waits.hold_s)
        self._usual_until = 0.0

    def put(self, announcement: Announcement, now: float) -> None:
        """Take in the renewal of a target; one outside this host's subset is left out."""
        candidate = self.candidate_by_id.get(announcement.target)
        if candidate is None:
            return
        candidate.announcement = announcement._replace(cache_events=())
        if announcement.load is not None:
            candidate.load.report(announcement.load, self._clock.wall(), now)
        self.prefixes.put(announcement.target, announcement.incarnation)
        self.prefixes.apply(announcement.target, announcement.cache_events, now)

    def remove(self, target_id: str) -> None:
        """Choose the target no more; its requests in progress go on."""
        if self.candidate_by_id.pop(target_id, None) is not None:
            self._candidates = list(self.candidate_by_id.values())
            self.prefixes.remove(target_id)

    def choose_from(self, announcements: Sequence[Announcement], now: float) -> None:
        """Use these targets, and keep what is known of those that were in use before."""
        subset = {announcement.target for announcement in announcements}
        for target_id in self.candidate_by_id.keys() - subset:
            self.remove(target_id)
        for announcement in announcements:
            if announcement.target not in self.candidate_by_id:
                distance_s = self._distances.seconds_to(announcement.place)
                self.candidate_by_id[announcement.target] = Candidate(announcement, distance_s)
                self.put(announcement, now)
        self._candidates = list(self.candidate_by_id.values())

    def try_grant(self, demand: Demand, now: float) -> "PoolSlot | None":
        """Return a place for ``demand`` at a target that has one free."""
        chosen = self._choice.choose(
            demand, self._candidates, self.candidate_by_id, self._usual_now(now), now
        )
        if chosen is None:
            return None
        chosen.candidate.load.start(now)
        chosen.candidate.pending_blocks += chosen.missed_blocks
        self.prefixes.use(chosen.candidate.target_id, demand.prefix_hashes, now)
        return PoolSlot(self, chosen, demand, now)

    def enqueue(self, demand: Demand, now: float) -> Waiter:
        """Let ``demand`` wait for a place."""
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        waiter = Waiter(demand, future, now)
        self.queue.add(waiter)
        return waiter

    def dispatch(self, now: float) -> None:
        """Give free places to waiters, the first in order first."""
        scanned = 0
        for waiter in self.queue.in_order():
            slot = self.try_grant(waiter.demand, now)
            scanned += slot is None
            if slot is not None:
                self.queue.discard(waiter)
                waiter.answer(Ok(slot))
            if scanned >= MAX_SCANNED:
                return

    def expire(self, now: float) -> None:
        """Refuse the waiters whose deadline has passed."""
        for waiter in self.queue.in_order():
            if waiter.demand.deadline <= now:
                self.queue.discard(waiter)
                waiter.answer(Err(_DEADLINE_PASSED))

    def begin(self, chosen: Chosen) -> None:
        """Note that a target began to answer."""
        chosen.candidate.pending_blocks -= chosen.missed_blocks

    def finish(self, chosen: Chosen, outcome: Outcome, since: float, now: float) -> None:
        """Free a place, learn from the outcome, and serve who waits for the place."""
        candidate = chosen.candidate
        candidate.load.end(now)
        if outcome.kind is OutcomeKind.ANSWERED:
            self.waits.learn_hold(now - since)
            if outcome.first_token_s is not None:
                self._learn(chosen, outcome.first_token_s, now)
        self.dispatch(now)

    def serves(self, demand: Demand) -> bool:
        """Say whether a target of the pool has what ``demand`` asks for."""
        return any(
            candidate.serves(demand.version, demand.adapter)
            for candidate in self.candidate_by_id.values()
        )

    def _learn(self, chosen: Chosen, seconds: float, now: float) -> None:
        candidate = chosen.candidate
        # Slow targets must not make the model predict that all are slow.
        self.waits.learn(chosen.work, seconds / candidate.slowness(now))
        candidate.observe(chosen.predicted_s, seconds, now)

    def _usual_now(self, now: float) -> Usual:
        if now >= self._usual_until:
            self._usual_until = now + USUAL_EVERY_S
            loads = [candidate.load for candidate in self._candidates]
            reported = [load.last_others for load in loads if load.last_others is not None]
            self._usual = Usual(
                own=fmean([load.own_mean(now) for load in loads] or [0.0]),
                others=fmean(reported or [0.0]),
                hold_s=self.waits.hold_s,
            )
        return self._usual


class PoolSlot:
    """Hold one place at a target."""

    def __init__(self, pool: Pool, chosen: Chosen, demand: Demand, now: float) -> None:
        self._pool = pool
        self._chosen = chosen
        self._announcement = chosen.candidate.announcement
        self._version = demand.version
        self._since = now
        self._silent = True
        self._open = True

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self._announcement.target

    @property
    def url(self) -> str:
        """Return the target's base URL."""
        return self._announcement.url

    @property
    def version(self) -> str:
        """Return the version to ask for: the demand's, or the target's first one."""
        if self._version or not self._announcement.versions:
            return self._version
        return self._announcement.versions[0]

    def first_token(self, now: float) -> None:
        """Note that the target began to answer; a second call does nothing."""
        if self._silent:
            self._silent = False
            self._pool.begin(self._chosen)

    def finish(self, outcome: Outcome, now: float) -> None:
        """Free the place; a second call does nothing."""
        if self._open:
            self._open = False
            self.first_token(now)
            self._pool.finish(self._chosen, outcome, self._since, now)


_DEADLINE_PASSED = Refusal(
    ErrorKind.DEADLINE_PASSED, "no target had a place before the request's deadline"
)
