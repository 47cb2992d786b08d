"""Track the backoffs that targets request from this host by a 503 answer with a time to wait.

Times are monotonic seconds of this host. A backoff that a target requests from one host applies to
that host only.
"""

from collections.abc import Callable

from cranberrywall.observability import EventLimiter, Metrics, log_event
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets._decimal_field import DecimalField
from cranberrywall.targets.messages import TargetIncarnation

MAX_BACKOFF_S = 3600.0
"""Maximum backoff, in seconds. The answer to the next request renews a longer one."""

MAX_JITTER_SHARE = 0.1
"""Maximum random delay that a host adds to a backoff, as a share of the backoff."""

MAX_JITTER_S = 1.0

TRIAL_TIMEOUT_S = 0.25
"""Maximum time that the trial request blocks others, in seconds. After a backoff one request goes
first; others follow once it is answered, or after this time."""

TRIAL_RETENTION_S = 60.0
"""Retention of a backoff that is over and has had no trial request yet, in seconds."""

MAX_BACKOFFS = 4096
"""Maximum number of targets with a backoff."""

Listener = Callable[[TargetIncarnation], None]


class _Backoff:
    """State of one target's backoff and of the trial request that follows it."""

    __slots__ = (
        "requested_at",
        "is_end_logged",
        "request_id",
        "tried_at",
        "rejected_requests",
        "until",
    )

    def __init__(self, request_id: str, now: float) -> None:
        self.requested_at = now
        self.request_id = request_id
        self.until = now
        self.tried_at: float | None = None
        self.rejected_requests = 0
        self.is_end_logged = False

    def blocks_requests(self, now: float) -> bool:
        """Return whether no further request may be sent now."""
        if now < self.until:
            return True
        return self.tried_at is not None and now < self.tried_at + TRIAL_TIMEOUT_S


class Backoffs:
    """Backoffs that targets requested, by incarnation of the target.

    A backoff ends at the latest time that any answer requested; a later answer never shortens it.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self.started = 0
        self.unreadable = 0
        self.rerouted = 0
        self.refused = 0
        self._clock = clock
        self._random = random
        self._backoff_by_incarnation: dict[TargetIncarnation, _Backoff] = {}
        self._listeners: list[Listener] = []
        self._events = EventLimiter(clock.now)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each incarnation of a target that requests a backoff."""
        self._listeners.append(listener)

    def record_requested(
        self, incarnation: TargetIncarnation, field: DecimalField, request_id: str, now: float
    ) -> bool:
        """Record the backoff field of a target's 503 answer; return whether it is a backoff."""
        if field.unreadable:
            self.unreadable += 1
            self._events.log(
                "WARNING",
                "target_backoff_unreadable",
                "no_decimal_number",
                request=request_id,
                target=incarnation.target,
                value=field.unreadable,
            )
            return False
        if not field.number:
            return False
        backoff = self._backoff_by_incarnation.get(incarnation)
        if backoff is None and len(self._backoff_by_incarnation) >= MAX_BACKOFFS:
            self._events.log(
                "WARNING", "target_backoffs_full", "too_many", target=incarnation.target
            )
            return True
        if backoff is None or now >= backoff.until:
            backoff = self._start_backoff(incarnation, field.number, request_id, now)
        backoff.rejected_requests += 1
        seconds = min(field.number, MAX_BACKOFF_S)
        jitter_s = min(MAX_JITTER_S, seconds * MAX_JITTER_SHARE) * self._random.random()
        backoff.until = max(backoff.until, now + seconds + jitter_s)
        for listener in self._listeners:
            listener(incarnation)
        return True

    def blocks_requests(self, incarnation: TargetIncarnation, now: float) -> bool:
        """Return whether no further request may be sent to a target's incarnation now."""
        if not self._backoff_by_incarnation:
            return False
        backoff = self._backoff_by_incarnation.get(incarnation)
        return backoff is not None and backoff.blocks_requests(now)

    def until(self, incarnation: TargetIncarnation, now: float) -> float:
        """Return when a target's incarnation accepts requests again; ``now`` if it does already."""
        backoff = self._backoff_by_incarnation.get(incarnation)
        return now if backoff is None else max(now, backoff.until)

    def has_any(self) -> bool:
        """Return whether any backoff is recorded, including ended ones without a trial yet."""
        return bool(self._backoff_by_incarnation)

    def record_sent(self, incarnation: TargetIncarnation, now: float) -> None:
        """Record that a request is sent to a target: the first one after a backoff is the trial."""
        backoff = self._backoff_by_incarnation.get(incarnation)
        if backoff is None:
            return
        self._log_end(incarnation, backoff, now)
        if backoff.tried_at is None:
            backoff.tried_at = now
        else:
            del self._backoff_by_incarnation[incarnation]

    def record_served(self, incarnation: TargetIncarnation, sent_at: float) -> None:
        """Record that a target started to answer a request; this may end its trial."""
        backoff = self._backoff_by_incarnation.get(incarnation)
        if backoff is not None and backoff.tried_at is not None and sent_at >= backoff.tried_at:
            del self._backoff_by_incarnation[incarnation]

    def expire(self, now: float) -> None:
        """Log backoffs that have ended, and remove old ones. Call it once a second."""
        for incarnation, backoff in list(self._backoff_by_incarnation.items()):
            self._log_end(incarnation, backoff, now)
            if now >= backoff.until + TRIAL_RETENTION_S:
                del self._backoff_by_incarnation[incarnation]

    def describe(self, incarnation: TargetIncarnation, now: float) -> dict[str, object] | None:
        """Return a target's backoff for the state dump; ``None`` if the target has none now."""
        backoff = self._backoff_by_incarnation.get(incarnation)
        if backoff is None or now >= backoff.until:
            return None
        return {
            "left_s": round(backoff.until - now, 3),
            "age_s": round(now - backoff.requested_at, 3),
            "request": backoff.request_id,
            "turned_away": backoff.rejected_requests,
        }

    def export(self, metrics: Metrics) -> None:
        """Register metrics of the backoffs and of the requests that were affected by them."""
        metrics.gauge_of(
            "targets_backing_off",
            "Targets that have a requested backoff at this host now.",
            lambda: self._count_active(self._clock.now()),
        )
        metrics.counters_of(
            "target_backoffs",
            "Backoffs that targets requested from this host, and requests affected by one.",
            "event",
            lambda: {
                "began": self.started,
                "unreadable": self.unreadable,
                "request_went_elsewhere": self.rerouted,
                "request_refused": self.refused,
            },
        )

    def _start_backoff(
        self, incarnation: TargetIncarnation, seconds: float, request_id: str, now: float
    ) -> _Backoff:
        self.started += 1
        backoff = self._backoff_by_incarnation[incarnation] = _Backoff(request_id, now)
        log_event(
            "INFO",
            "target_backoff_began",
            request=request_id,
            target=incarnation.target,
            incarnation=incarnation.incarnation,
            seconds=seconds,
        )
        return backoff

    def _log_end(self, incarnation: TargetIncarnation, backoff: _Backoff, now: float) -> None:
        if backoff.is_end_logged or now < backoff.until:
            return
        backoff.is_end_logged = True
        log_event(
            "INFO",
            "target_backoff_ended",
            request=backoff.request_id,
            target=incarnation.target,
            incarnation=incarnation.incarnation,
            seconds=backoff.until - backoff.requested_at,
            turned_away=backoff.rejected_requests,
        )

    def _count_active(self, now: float) -> int:
        return sum(now < backoff.until for backoff in self._backoff_by_incarnation.values())
