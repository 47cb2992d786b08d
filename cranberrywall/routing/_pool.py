"""Serve the demands for one model or service from its targets."""

import asyncio

from result import Err, Ok

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.routing._candidates import Candidate
from cranberrywall.routing._interfaces import Demand, Outcome
from cranberrywall.routing._queue import Answer, Waiter, WaitingQueue
from cranberrywall.runtime import Random
from cranberrywall.targets import Announcement

MAX_WAITING = 1024
"""Demands that wait for one model or service on one host at most."""

MAX_SCANNED = 32
"""Waiters that are tried at most when a place becomes free."""


class Pool:
    """Hold the targets of one group as this host uses them, and the demands that wait."""

    def __init__(self, random: Random) -> None:
        self.candidate_by_id: dict[str, Candidate] = {}
        self.queue = WaitingQueue(MAX_WAITING)
        self._random = random

    def put(self, announcement: Announcement) -> None:
        """Add a target or take in its renewal."""
        candidate = self.candidate_by_id.get(announcement.target)
        if candidate is None:
            self.candidate_by_id[announcement.target] = Candidate(announcement)
        else:
            candidate.announcement = announcement

    def remove(self, target_id: str) -> None:
        """Choose the target no more; its requests in progress go on."""
        self.candidate_by_id.pop(target_id, None)

    def try_grant(self, demand: Demand, now: float) -> "PoolSlot | None":
        """Return a place for ``demand`` at a target that has one free."""
        candidate = self._choose(demand)
        if candidate is None:
            return None
        candidate.in_flight += 1
        return PoolSlot(self, candidate, demand)

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

    def finish(self, candidate: Candidate, now: float) -> None:
        """Free a place and serve who waits for it."""
        candidate.in_flight -= 1
        self.dispatch(now)

    def serves(self, demand: Demand) -> bool:
        """Say whether a target of the pool has what ``demand`` asks for."""
        return any(
            candidate.serves(demand.version, demand.adapter)
            for candidate in self.candidate_by_id.values()
        )

    def _choose(self, demand: Demand) -> Candidate | None:
        best = None
        best_share = (1.0, 1.0)
        for candidate in self.candidate_by_id.values():
            if not candidate.has_room or candidate.target_id in demand.exclude:
                continue
            if not candidate.serves(demand.version, demand.adapter):
                continue
            share = candidate.in_flight / candidate.announcement.capacity
            key = (share, self._random.random())
            if best is None or key < best_share:
                best, best_share = candidate, key
        return best


class PoolSlot:
    """Hold one place at a target."""

    def __init__(self, pool: Pool, candidate: Candidate, demand: Demand) -> None:
        self._pool = pool
        self._candidate = candidate
        self._announcement = candidate.announcement
        self._version = demand.version
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

    def finish(self, outcome: Outcome, now: float) -> None:
        """Free the place; a second call does nothing."""
        if self._open:
            self._open = False
            self._pool.finish(self._candidate, now)


_DEADLINE_PASSED = Refusal(
    ErrorKind.DEADLINE_PASSED, "no target had a place before the request's deadline"
)
