"""Runs of this host's requests at each target, including recent runs without an answer.

Times are monotonic seconds.
"""

from collections.abc import Callable, Iterator, Sequence
from enum import StrEnum

from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._traits import NO_TRAITS, Pattern, Traits
from cranberrywall.targets import TargetIncarnation

UNANSWERED_RETENTION_S = 12.0
"""Retention of a run without a complete answer, in seconds. The end of its target may be detected
only when the target is back and announces itself again."""

MAX_UNANSWERED = 4096
"""Maximum number of retained runs without a complete answer, over all targets."""

ENDING_TOLERANCE_S = 1.0
"""Tolerance between the end of a run and the end of its target, in seconds. A run that broke, or
that this host abandoned, may still have been running at a target that ended this much later. The
connections of a process close within milliseconds, but this host may detect some of them late, and
a target continues to run a request for a while after its caller left."""


class RunEnd(StrEnum):
    """How a run at a target ended, as far as this is evidence about the target.

    ``WHOLE``: the target sent a complete answer. ``REFUSED``: the complete answer states an error
    of the caller, so the target may not have begun to answer the prompt. ``NOT_SERVED``: the target
    still works, but it did not run the request or failed it, which is no evidence about the
    request. ``BROKEN``: the connection was lost. ``GIVEN_UP``: this host stopped the run, or it
    timed out.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    NOT_SERVED = "not_served"
    BROKEN = "broken"
    GIVEN_UP = "given_up"


class Run:
    """One attempt at a target.

    ``is_streamed`` is true if the target sends the head of its answer as it starts to run the
    request, and not only after it has run it. ``progress_at`` is when the latest piece of its
    answer arrived. ``on_stop`` ends the run early; it may be called at any time until the end of
    the run.
    """

    __slots__ = (
        "answered_at",
        "end",
        "ended_at",
        "fingerprint",
        "is_stopped",
        "is_streamed",
        "on_stop",
        "progress_at",
        "request_id",
        "target_incarnation",
        "traits",
    )

    def __init__(
        self,
        request_id: str,
        incarnation: TargetIncarnation,
        fingerprint: Fingerprint,
        is_streamed: bool,
        traits: Traits = NO_TRAITS,
    ) -> None:
        self.request_id = request_id
        self.target_incarnation = incarnation
        self.fingerprint = fingerprint
        self.is_streamed = is_streamed
        self.traits = traits
        self.on_stop: Callable[[], None] = _do_nothing
        self.is_stopped = False
        self.answered_at: float | None = None
        self.progress_at: float | None = None
        self.end: RunEnd | None = None
        self.ended_at = 0.0

    def answered_s(self, at: float) -> float | None:
        """Return for how long the target had been answering at a time, in seconds."""
        return None if self.answered_at is None else max(0.0, at - self.answered_at)


class Runs:
    """Open runs at each incarnation of a target, and recent runs without a complete answer."""

    def __init__(self) -> None:
        self._by_incarnation: dict[TargetIncarnation, set[Run]] = {}
        self._unanswered: dict[Run, None] = {}

    def add(self, run: Run) -> None:
        """Add a run that is sent now."""
        self._by_incarnation.setdefault(run.target_incarnation, set()).add(run)

    def finish(self, run: Run, end: RunEnd, now: float) -> None:
        """Record how a run ended; a second call does nothing."""
        if run.end is not None:
            return
        run.end, run.ended_at = end, now
        if end in (RunEnd.WHOLE, RunEnd.REFUSED, RunEnd.NOT_SERVED):
            self._drop(run)
            return
        self._unanswered[run] = None
        if len(self._unanswered) > MAX_UNANSWERED:
            self._remove_unanswered(next(iter(self._unanswered)))

    def running_at(self, incarnation: TargetIncarnation, ended_at: float) -> Sequence[Run]:
        """Return the runs that a target may have been running as it ended."""
        return [
            run for run in self._by_incarnation.get(incarnation, ()) if _was_running(run, ended_at)
        ]

    def has_open(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a run of this host is open at a target."""
        return any(run.end is None for run in self._by_incarnation.get(incarnation, ()))

    def last_broken_at(self, incarnation: TargetIncarnation) -> float | None:
        """Return when this host last lost a connection to a target; ``None`` if it lost none."""
        runs = self._by_incarnation.get(incarnation, ())
        return max((run.ended_at for run in runs if run.end is RunEnd.BROKEN), default=None)

    def count_open(self, fingerprint: Fingerprint) -> int:
        """Return the number of open runs of a request from this host."""
        return sum(run.end is None and run.fingerprint == fingerprint for run in self.all())

    def has_sent(self, fingerprint: Fingerprint) -> bool:
        """Return whether this host has sent a request recently, without a complete answer."""
        return any(run.fingerprint == fingerprint for run in self.all())

    def request_id_of(self, fingerprint: Fingerprint) -> str:
        """Return the id of a recent arrival of a request at this host; empty if there is none."""
        return next((run.request_id for run in self.all() if run.fingerprint == fingerprint), "")

    def request_id_with(self, pattern: Pattern) -> str:
        """Return the id of a recent request with a pattern at this host; empty if none."""
        return next((run.request_id for run in self.all() if pattern <= run.traits.all), "")

    def all(self) -> Iterator[Run]:
        """Return the open runs, and recent ones without a complete answer."""
        return (run for runs in self._by_incarnation.values() for run in runs)

    def stop(self, fingerprint: Fingerprint) -> int:
        """Stop all runs of a request from this host; return the number of runs."""
        return _stop([run for run in self.all() if run.fingerprint == fingerprint])

    def stop_with(self, pattern: Pattern) -> int:
        """Stop all runs of requests with a pattern from this host; return the number of runs."""
        return _stop([run for run in self.all() if pattern <= run.traits.all])

    def expire(self, now: float) -> None:
        """Remove the runs that are too old to be evidence."""
        while self._unanswered:
            oldest = next(iter(self._unanswered))
            if now - oldest.ended_at < UNANSWERED_RETENTION_S:
                return
            self._remove_unanswered(oldest)

    def _remove_unanswered(self, run: Run) -> None:
        del self._unanswered[run]
        self._drop(run)

    def _drop(self, run: Run) -> None:
        runs = self._by_incarnation.get(run.target_incarnation)
        if runs is None:
            return
        runs.discard(run)
        if not runs:
            del self._by_incarnation[run.target_incarnation]


def _stop(runs: Sequence[Run]) -> int:
    is_open = [run for run in runs if run.end is None]
    for run in is_open:
        run.is_stopped = True
        run.on_stop()
    return len(is_open)


def _do_nothing() -> None:
    pass


def _was_running(run: Run, ended_at: float) -> bool:
    return run.end is None or run.ended_at >= ended_at - ENDING_TOLERANCE_S
