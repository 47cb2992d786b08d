"""Pass on what attempts at engines and services show of requests and of targets."""

from collections.abc import Iterator
from contextlib import contextmanager

from cranberrywall.quarantine import Fingerprint, Quarantine, Run, RunEnd, fingerprint_of
from cranberrywall.requests._engine import Fault, FaultKind, TargetNotice
from cranberrywall.requests._identity import RequestName
from cranberrywall.routing import Slot
from cranberrywall.runtime import Clock

_NOT_SERVED = frozenset({FaultKind.UNSENT, FaultKind.UNRUN, FaultKind.BUSY, FaultKind.REFUSED})


class WatchedAttempt:
    """Hold one attempt; it was given up until ``ended`` says otherwise."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.end = RunEnd.GIVEN_UP

    def ended(self, fault: Fault | None) -> None:
        """Note how the attempt ended; without a fault the answer is whole."""
        if fault is None:
            self.end = RunEnd.WHOLE
        elif fault.kind is FaultKind.CUT:
            self.end = RunEnd.BROKEN
        elif fault.kind in _NOT_SERVED:
            self.end = RunEnd.NOT_SERVED


@contextmanager
def watching(
    quarantine: Quarantine,
    name: RequestName,
    slot: Slot,
    fingerprint: Fingerprint,
    is_streamed: bool,
    clock: Clock,
) -> Iterator[WatchedAttempt]:
    """Watch an attempt in the block, however it ends."""
    tracker = quarantine.tracker
    run = tracker.begin(name.request_id, slot.target_id, fingerprint, is_streamed)
    watched = WatchedAttempt(run)
    try:
        yield watched
    finally:
        tracker.finish(run, watched.end, slot.url, clock.now())


def note_answer(
    slot: Slot, request_id: str, clock: Clock, notice: TargetNotice, is_served: bool
) -> None:
    """Pass on what an answer's head says of the slot's target."""
    now = clock.now()
    slot.record_rate(notice.rate, is_served, request_id, now)
    slot.record_backoff(notice.backoff, request_id, now)
    if notice.is_leaving:
        slot.announced_leaving(request_id, now)


def fingerprint_of_request(name: RequestName, content: str) -> Fingerprint:
    """Return what is the same for a request of a workspace under any id.

    ``content`` is a hash of what is asked, with the service or model.
    """
    return fingerprint_of(name.workspace, "", content.encode())


STOPPED = Fault(FaultKind.STOPPED, "the request is held back from now on")
