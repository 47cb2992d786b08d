"""Remember which requests this host has at each target, and for a while those it had.

Times are monotonic seconds.
"""

from collections.abc import Callable, Sequence
from enum import StrEnum

from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.targets import TargetIncarnation

REMEMBERED_S = 12.0
"""A run that came to no answer is remembered this long, in seconds: that its target ended may
be known only once the target is back, and announces itself again."""

MOST_REMEMBERED = 4096
"""Runs that came to no answer and are remembered at most, over all targets."""

JUST_ENDED_S = 1.0
"""A run that broke, or that this host gave up, may have been under way at a target that ended so
long after, in seconds: connections of one process close within milliseconds, but this host may be
late to see them all, and a target works on for a while after its caller left."""


class RunEnd(StrEnum):
    """Say how a run at a target ended, as far as it tells of the target's end.

    ``WHOLE``: the target answered to the end. ``NOT_SERVED``: it lives on, and did not run the
    request or failed it, which says nothing of the request.
    ``BROKEN``: the connection was lost. ``GIVEN_UP``: this host ended it, or lost patience.
    """

    WHOLE = "whole"
    NOT_SERVED = "not_served"
    BROKEN = "broken"
    GIVEN_UP = "given_up"


class Run:
    """Hold one attempt at a target.

    ``is_streamed`` says that a target answers with the head as it begins to run the request,
    and not only once it has run it. ``on_stop`` ends it early; it may be called at any time until
    the run's end.
    """

    __slots__ = (
        "answered_at",
        "end",
        "ended_at",
        "fingerprint",
        "is_stopped",
        "is_streamed",
        "on_stop",
        "request_id",
        "start",
    )

    def __init__(
        self, request_id: str, start: TargetIncarnation, fingerprint: Fingerprint, is_streamed: bool
    ) -> None:
        self.request_id = request_id
        self.start = start
        self.fingerprint = fingerprint
        self.is_streamed = is_streamed
        self.on_stop: Callable[[], None] = _do_nothing
        self.is_stopped = False
        self.answered_at: float | None = None
        self.end: RunEnd | None = None
        self.ended_at = 0.0

    def answered_s(self, at: float) -> float | None:
        """Return for how long the target had answered by then, in seconds."""
        return None if self.answered_at is None else max(0.0, at - self.answered_at)


class Runs:
    """Hold the runs under way at each start of a target, and those that came to no answer."""

    def __init__(self) -> None:
        self._by_incarnation: dict[TargetIncarnation, set[Run]] = {}
        self._unanswered: dict[Run, None] = {}

    def add(self, run: Run) -> None:
        """Take in a run that is sent now."""
        self._by_incarnation.setdefault(run.start, set()).add(run)

    def finish(self, run: Run, end: RunEnd, now: float) -> None:
        """Note how a run ended; a second call does nothing."""
        if run.end is not None:
            return
        run.end, run.ended_at = end, now
        if end in (RunEnd.WHOLE, RunEnd.NOT_SERVED):
            self._drop(run)
            return
        self._unanswered[run] = None
        if len(self._unanswered) > MOST_REMEMBERED:
            self._forget(next(iter(self._unanswered)))

    def under_way(self, start: TargetIncarnation, ended_at: float) -> Sequence[Run]:
        """Return the runs that a target may have been at as it ended."""
        return [run for run in self._by_incarnation.get(start, ()) if _was_under_way(run, ended_at)]

    def has_open(self, start: TargetIncarnation) -> bool:
        """Say whether a run goes on at a target, as far as this host knows."""
        return any(run.end is None for run in self._by_incarnation.get(start, ()))

    def broke_at(self, start: TargetIncarnation) -> float | None:
        """Return when this host last lost a connection to a target; ``None`` where it did not."""
        runs = self._by_incarnation.get(start, ())
        return max((run.ended_at for run in runs if run.end is RunEnd.BROKEN), default=None)

    def under_way_of(self, fingerprint: Fingerprint) -> int:
        """Return how often this host has a request at targets now."""
        runs = (run for runs in self._by_incarnation.values() for run in runs)
        return sum(run.end is None and run.fingerprint == fingerprint for run in runs)

    def name_of(self, fingerprint: Fingerprint) -> str:
        """Return an id under which a request came to this host lately; empty if it did not."""
        runs = (run for runs in self._by_incarnation.values() for run in runs)
        return next((run.request_id for run in runs if run.fingerprint == fingerprint), "")

    def stop(self, fingerprint: Fingerprint) -> int:
        """End what this host has of a request at targets; return how many runs."""
        stopped = 0
        for run in [run for runs in self._by_incarnation.values() for run in runs]:
            if run.end is None and run.fingerprint == fingerprint:
                run.is_stopped = True
                run.on_stop()
                stopped += 1
        return stopped

    def forget_old(self, now: float) -> None:
        """Forget the runs of which nothing more can be learned."""
        while self._unanswered:
            oldest = next(iter(self._unanswered))
            if now - oldest.ended_at < REMEMBERED_S:
                return
            self._forget(oldest)

    def _forget(self, run: Run) -> None:
        del self._unanswered[run]
        self._drop(run)

    def _drop(self, run: Run) -> None:
        runs = self._by_incarnation.get(run.start)
        if runs is None:
            return
        runs.discard(run)
        if not runs:
            del self._by_incarnation[run.start]


def _do_nothing() -> None:
    pass


def _was_under_way(run: Run, ended_at: float) -> bool:
    return run.end is None or run.ended_at >= ended_at - JUST_ENDED_S
