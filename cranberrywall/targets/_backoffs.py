"""Keep until when targets asked this host for no request, by 503 with a time to wait.

Times are monotonic seconds of this host. What a target asks of one host holds for that host alone.
"""

from collections.abc import Callable

from cranberrywall.observability import EventLimiter, Metrics, log_event
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets._decimal_field import DecimalField
from cranberrywall.targets.messages import TargetIncarnation

LONGEST_BACKOFF_S = 3600.0
"""A longer backoff counts as this, in seconds; the answer to the next request renews it."""

JITTER_SHARE = 0.1
"""A host comes back up to this share of the backoff later than asked, drawn by chance."""

LONGEST_JITTER_S = 1.0

TRIAL_S = 0.25
"""After a backoff one request goes first; others follow once it is answered, or after this."""

KEPT_S = 60.0
"""A backoff after which nothing was sent is kept for so long, in seconds, for its trial."""

MOST_KNOWN = 4096
"""Targets with a backoff at most."""

Listener = Callable[[TargetIncarnation], None]


class _Backoff:
    """Hold one target's backoff, and the trial request that follows it."""

    __slots__ = ("asked_at", "has_ended", "request_id", "tried_at", "turned_away", "until")

    def __init__(self, request_id: str, now: float) -> None:
        self.asked_at = now
        self.request_id = request_id
        self.until = now
        self.tried_at: float | None = None
        self.turned_away = 0
        self.has_ended = False

    def blocks_requests(self, now: float) -> bool:
        """Return whether no further request may be sent now."""
        if now < self.until:
            return True
        return self.tried_at is not None and now < self.tried_at + TRIAL_S


class Backoffs:
    """Know the backoffs that targets asked for, each by one start of a target.

    The end is the latest one asked for: no later answer shortens it.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self.began = 0
        self.unreadable = 0
        self.rerouted = 0
        self.refused = 0
        self._clock = clock
        self._random = random
        self._backoff_by_incarnation: dict[TargetIncarnation, _Backoff] = {}
        self._listeners: list[Listener] = []
        self._events = EventLimiter(clock.now)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each start of a target that asks for a backoff."""
        self._listeners.append(listener)

    def record_requested(
        self, start: TargetIncarnation, field: DecimalField, request_id: str, now: float
    ) -> bool:
        """Take in what a target's 503 asks for; return whether it asks for a backoff."""
        if field.unreadable:
            self.unreadable += 1
            self._events.log(
                "WARNING",
                "target_backoff_unreadable",
                "no_decimal_number",
                request=request_id,
                target=start.target,
                value=field.unreadable,
            )
            return False
        if not field.number:
            return False
        backoff = self._backoff_by_incarnation.get(start)
        if backoff is None and len(self._backoff_by_incarnation) >= MOST_KNOWN:
            self._events.log("WARNING", "target_backoffs_full", "too_many", target=start.target)
            return True
        if backoff is None or now >= backoff.until:
            backoff = self._begin(start, field.number, request_id, now)
        backoff.turned_away += 1
        seconds = min(field.number, LONGEST_BACKOFF_S)
        late_s = min(LONGEST_JITTER_S, seconds * JITTER_SHARE) * self._random.random()
        backoff.until = max(backoff.until, now + seconds + late_s)
        for listener in self._listeners:
            listener(start)
        return True

    def blocks_requests(self, start: TargetIncarnation, now: float) -> bool:
        """Return whether no further request may be sent to a start of a target now."""
        if not self._backoff_by_incarnation:
            return False
        backoff = self._backoff_by_incarnation.get(start)
        return backoff is not None and backoff.blocks_requests(now)

    def until(self, start: TargetIncarnation, now: float) -> float:
        """Return when a start of a target takes requests again; ``now`` where it does."""
        backoff = self._backoff_by_incarnation.get(start)
        return now if backoff is None else max(now, backoff.until)

    def has_any(self) -> bool:
        """Return whether a backoff is known, also one that is over but not tried yet."""
        return bool(self._backoff_by_incarnation)

    def record_sent(self, start: TargetIncarnation, now: float) -> None:
        """Note a request to a target: the first one after a backoff is the trial."""
        backoff = self._backoff_by_incarnation.get(start)
        if backoff is None:
            return
        self._note_end(start, backoff, now)
        if backoff.tried_at is None:
            backoff.tried_at = now
        else:
            del self._backoff_by_incarnation[start]

    def record_served(self, start: TargetIncarnation, sent_at: float) -> None:
        """Note that a target began to answer a request of ``sent_at``: a trial ends by that."""
        backoff = self._backoff_by_incarnation.get(start)
        if backoff is not None and backoff.tried_at is not None and sent_at >= backoff.tried_at:
            del self._backoff_by_incarnation[start]

    def expire(self, now: float) -> None:
        """Note backoffs that are over, and forget old ones; call it once a second."""
        for start, backoff in list(self._backoff_by_incarnation.items()):
            self._note_end(start, backoff, now)
            if now >= backoff.until + KEPT_S:
                del self._backoff_by_incarnation[start]

    def describe(self, start: TargetIncarnation, now: float) -> dict[str, object] | None:
        """Return what operators see of a target's backoff; ``None`` where it asks for none."""
        backoff = self._backoff_by_incarnation.get(start)
        if backoff is None or now >= backoff.until:
            return None
        return {
            "left_s": round(backoff.until - now, 3),
            "age_s": round(now - backoff.asked_at, 3),
            "request": backoff.request_id,
            "turned_away": backoff.turned_away,
        }

    def export(self, metrics: Metrics) -> None:
        """Let ``metrics`` show the backoffs, and what became of requests for them."""
        metrics.gauge_of(
            "targets_backing_off",
            "Targets to which this host sends nothing, as they asked for.",
            lambda: self._count(self._clock.now()),
        )
        metrics.counters_of(
            "target_backoffs",
            "Backoffs that targets asked this host for, and requests that met one.",
            "event",
            lambda: {
                "began": self.began,
                "unreadable": self.unreadable,
                "request_went_elsewhere": self.rerouted,
                "request_refused": self.refused,
            },
        )

    def _begin(
        self, start: TargetIncarnation, seconds: float, request_id: str, now: float
    ) -> _Backoff:
        self.began += 1
        backoff = self._backoff_by_incarnation[start] = _Backoff(request_id, now)
        log_event(
            "INFO",
            "target_backoff_began",
            request=request_id,
            target=start.target,
            incarnation=start.incarnation,
            seconds=seconds,
        )
        return backoff

    def _note_end(self, start: TargetIncarnation, backoff: _Backoff, now: float) -> None:
        if backoff.has_ended or now < backoff.until:
            return
        backoff.has_ended = True
        log_event(
            "INFO",
            "target_backoff_ended",
            request=backoff.request_id,
            target=start.target,
            incarnation=start.incarnation,
            seconds=backoff.until - backoff.asked_at,
            turned_away=backoff.turned_away,
        )

    def _count(self, now: float) -> int:
        return sum(now < backoff.until for backoff in self._backoff_by_incarnation.values())
