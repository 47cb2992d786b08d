"""Track this host's runs at targets, and report those at a target that ended."""

from collections.abc import Callable, Sequence

from cranberrywall.observability import log_event
from cranberrywall.quarantine._endings import (
    Ending,
    EndingDetector,
    IsReachedElsewhere,
    never_reached,
)
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._runs import Run, RunEnd, Runs
from cranberrywall.quarantine._traits import NO_TRAITS, Traits
from cranberrywall.runtime import Clock, Network
from cranberrywall.targets import TargetIncarnation, Targets

OnEnded = Callable[[Ending, Sequence[Run], float], None]
"""Callback for the end of a target, with the runs that it may have been running."""


MAX_LOGGED_RUNS = 32
"""Maximum number of runs that are logged for the end of one target."""


class RunTracker:
    """Track this host's runs at targets, from the time they are sent until they end."""

    def __init__(
        self,
        targets: Targets,
        network: Network,
        clock: Clock,
        is_reached_elsewhere: IsReachedElsewhere = never_reached,
    ) -> None:
        self.runs = Runs()
        self.on_ended: OnEnded | None = None
        self.on_complete: Callable[[Run], None] | None = None
        self.on_begin: Callable[[Run], None] | None = None
        self.on_finish: Callable[[Run], None] | None = None
        self._targets = targets
        self._endings = EndingDetector(
            targets,
            network,
            clock,
            self.runs.has_open,
            self._handle_ending,
            is_reached_elsewhere,
        )

    def begin(
        self,
        request_id: str,
        target_id: str,
        fingerprint: Fingerprint,
        is_streamed: bool,
        traits: Traits = NO_TRAITS,
    ) -> Run:
        """Record that a request is sent to a target now."""
        target = self._targets.by_id.get(target_id)
        incarnation = target.announcement.incarnation if target else 0
        run = Run(
            request_id, TargetIncarnation(target_id, incarnation), fingerprint, is_streamed, traits
        )
        self.runs.add(run)
        if self.on_begin is not None:
            self.on_begin(run)
        return run

    def finish(self, run: Run, end: RunEnd, url: str, now: float) -> None:
        """Record how a run ended; if its connection was lost, check its target."""
        self.runs.expire(now)
        self.runs.finish(run, end, now)
        if self.on_finish is not None:
            self.on_finish(run)
        if end is RunEnd.BROKEN:
            self._endings.record_lost_connection(run.target_incarnation, url, now)
        elif end in (RunEnd.WHOLE, RunEnd.REFUSED) and self.on_complete is not None:
            self.on_complete(run)

    def discard_target(self, incarnation: TargetIncarnation, now: float) -> None:
        """Send no request to a target that ended, until it announces itself again."""
        target = self._targets.by_id.get(incarnation.target)
        if target is not None and target.announcement.incarnation == incarnation.incarnation:
            self._targets.discard(incarnation.target, now)

    def close(self) -> None:
        """Cancel the checks of targets."""
        self._endings.close()

    def _handle_ending(self, ending: Ending, now: float) -> None:
        runs = self.runs.running_at(ending.target_incarnation, ending.at)
        log_event(
            "WARNING",
            "target_ended",
            target=ending.target_incarnation.target,
            incarnation=ending.target_incarnation.incarnation,
            word=ending.signal,
            after_s=now - ending.at,
            under_way=len(runs),
            fingerprints=",".join(sorted({run.fingerprint.hex() for run in runs})),
        )
        for run in runs[:MAX_LOGGED_RUNS]:
            _log_run(run, ending.at)
        if self.on_ended is not None:
            self.on_ended(ending, runs, now)


def _log_run(run: Run, ended_at: float) -> None:
    answered_s = run.answered_s(ended_at)
    log_event(
        "INFO",
        "run_at_ended_target",
        request=run.request_id,
        target=run.target_incarnation.target,
        fingerprint=run.fingerprint.hex(),
        answered_s="" if answered_s is None else answered_s,
        parts=",".join(sorted(part.hex() for part in run.traits.parts)),
    )
