"""Slot at a target of a pool: what a request reports about the target while it occupies it."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from cranberrywall.rates import RateNotice
from cranberrywall.routing._choice import Chosen
from cranberrywall.routing._interfaces import Demand, Outcome
from cranberrywall.targets import DecimalField, TargetIncarnation

if TYPE_CHECKING:
    from cranberrywall.routing._pool import Pool

OnEnd = Callable[[float], None]
"""Handle the release of a slot at a time, in monotonic seconds."""


class PoolSlot:
    """Slot at a target of a pool."""

    def __init__(
        self, pool: "Pool", chosen: Chosen, demand: Demand, on_end: OnEnd, now: float
    ) -> None:
        self._pool = pool
        self._chosen = chosen
        self._announcement = chosen.candidate.announcement
        self._version = demand.version
        self._on_end = on_end
        self._granted_at = now
        self._rate_number = pool.rates.table.record_of(chosen.candidate.target_incarnation).number
        # If the requests of this group do not report first tokens, none is awaited: otherwise a
        # long answer would look like an unresponsive target.
        self._is_token_due = pool.reports_first_tokens
        self._has_first_token = False
        self._is_open = True
        self._is_rejected = False

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self._announcement.target

    @property
    def target_incarnation(self) -> TargetIncarnation:
        """Return the target's id and the incarnation that the slot is at."""
        return self._chosen.candidate.target_incarnation

    @property
    def url(self) -> str:
        """Return the target's base URL."""
        return self._announcement.url

    @property
    def is_offered(self) -> bool:
        """Return whether the request may still be sent; see ``Slot``."""
        return self._pool.is_offered(self._chosen.candidate, self._pool.clock.now())

    @property
    def version(self) -> str:
        """Return the version to request: the demand's, or the target's first one."""
        if self._version or not self._announcement.versions:
            return self._version
        return self._announcement.versions[0]

    def record_first_token(self, now: float) -> None:
        """Record that the target began to answer; a second call does nothing."""
        if self._is_open and not self._has_first_token:
            self._has_first_token = True
            self._pool.record_first_token(self._chosen, self._is_token_due, self._granted_at, now)
            self._is_token_due = False

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Record the requests of all hosts that the target reported as running and waiting."""
        self._pool.record_load(self._chosen, running, waiting, now)

    def record_rate(self, notice: RateNotice, is_served: bool, request_id: str, now: float) -> None:
        """Record the rate limit, in requests per second, that an answer of the target stated."""
        incarnation = self._chosen.candidate.target_incarnation
        table = self._pool.rates.table
        table.apply_notice(incarnation, notice, self._rate_number, is_served, request_id, now)

    def record_backoff(self, field: DecimalField, request_id: str, now: float) -> None:
        """Record the backoff, in seconds, that a 503 of the target asked for."""
        incarnation = self._chosen.candidate.target_incarnation
        if self._pool.backoffs.record_requested(incarnation, field, request_id, now):
            self._is_rejected = True

    def record_rejections(
        self, field: DecimalField, is_rejected: bool, request_id: str, now: float
    ) -> None:
        """Record the rejections a second that an answer said the target can take."""
        if self._pool.record_rejections(self._chosen, field, is_rejected, request_id, now):
            self._is_rejected = True

    def announced_leaving(self, request_id: str, now: float) -> None:
        """Record that the target announced in an answer that it accepts no new work."""
        self._pool.on_leaving(self._announcement, request_id, now)

    def finish(self, outcome: Outcome, now: float) -> None:
        """Release the slot; a second call does nothing."""
        if self._is_open:
            self._is_open = False
            is_rejected = self._is_rejected
            self._pool.finish(
                self._chosen, outcome, self._is_token_due, is_rejected, self._granted_at, now
            )
            self._on_end(now)
