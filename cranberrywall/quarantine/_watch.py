"""Watch this host's runs at targets, and say which of them a target was at as it ended."""

from collections.abc import Callable, Sequence

from cranberrywall.observability import log_event
from cranberrywall.quarantine._endings import Ending, TargetEndings
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._runs import Run, RunEnd, Runs
from cranberrywall.runtime import Clock, Network
from cranberrywall.targets import TargetIncarnation, Targets

OnEnded = Callable[[Ending, Sequence[Run], float], None]
"""Take in a target's end, with the runs that it may have been at."""


class RunTracker:
    """Hold this host's runs at targets, from the sending to their end."""

    def __init__(self, targets: Targets, network: Network, clock: Clock) -> None:
        self.runs = Runs()
        self.on_ended: OnEnded | None = None
        self.on_whole: Callable[[Run], None] | None = None
        self._targets = targets
        self._endings = TargetEndings(targets, network, clock, self.runs.has_open, self._take)

    def begin(
        self, request_id: str, target_id: str, fingerprint: Fingerprint, is_streamed: bool
    ) -> Run:
        """Note that a request goes to a target now."""
        known = self._targets.by_id.get(target_id)
        incarnation = known.announcement.incarnation if known else 0
        run = Run(request_id, TargetIncarnation(target_id, incarnation), fingerprint, is_streamed)
        self.runs.add(run)
        return run

    def finish(self, run: Run, end: RunEnd, url: str, now: float) -> None:
        """Note how a run ended; where its connection was lost, look into its target."""
        self.runs.forget_old(now)
        self.runs.finish(run, end, now)
        if end is RunEnd.BROKEN:
            self._endings.lost_connection(run.start, url, now)
        elif end is RunEnd.WHOLE and self.on_whole is not None:
            self.on_whole(run)

    def forget_target(self, start: TargetIncarnation, now: float) -> None:
        """Let no request go to a target that ended, until it is heard again."""
        known = self._targets.by_id.get(start.target)
        if known is not None and known.announcement.incarnation == start.incarnation:
            self._targets.discard(start.target, now)

    def close(self) -> None:
        """Look into no target any more."""
        self._endings.close()

    def _take(self, ending: Ending, now: float) -> None:
        runs = self.runs.under_way(ending.start, ending.at)
        log_event(
            "WARNING",
            "target_ended",
            target=ending.start.target,
            incarnation=ending.start.incarnation,
            word=ending.word,
            after_s=now - ending.at,
            under_way=len(runs),
            fingerprints=",".join(sorted({run.fingerprint.hex() for run in runs})),
        )
        if self.on_ended is not None:
            self.on_ended(ending, runs, now)
