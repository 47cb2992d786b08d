"""Report attempts to the quarantine, and notices in answers to the router."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from cranberrywall.quarantine import (
    NO_TRAITS,
    Fingerprint,
    Quarantine,
    Run,
    RunEnd,
    Traits,
    fingerprint_of,
    traits_of,
)
from cranberrywall.requests._engine import Fault, FaultKind, TargetNotice
from cranberrywall.requests._identity import RequestName
from cranberrywall.routing import Slot
from cranberrywall.runtime import Clock

_NOT_SERVED = frozenset({FaultKind.UNSENT, FaultKind.UNRUN, FaultKind.BUSY, FaultKind.REFUSED})


class AttemptWatch:
    """Watched attempt; it ends as abandoned unless ``record_end`` records another end."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.end = RunEnd.GIVEN_UP

    def record_end(self, fault: Fault | None) -> None:
        """Record how the attempt ended; without a fault the answer is complete."""
        if fault is None:
            self.end = RunEnd.WHOLE
        elif fault.kind is FaultKind.CUT:
            self.end = RunEnd.BROKEN
        elif fault.kind in _NOT_SERVED:
            self.end = RunEnd.NOT_SERVED


@contextmanager
def watch_attempt(
    quarantine: Quarantine,
    name: RequestName,
    slot: Slot,
    fingerprint: Fingerprint,
    is_streamed: bool,
    clock: Clock,
    traits: Traits = NO_TRAITS,
) -> Iterator[AttemptWatch]:
    """Report the start and the end of the attempt in this block to the quarantine."""
    tracker = quarantine.tracker
    run = tracker.begin(name.request_id, slot.target_id, fingerprint, is_streamed, traits)
    watched = AttemptWatch(run)
    try:
        yield watched
    finally:
        tracker.finish(run, watched.end, slot.url, clock.now())


def record_notice(
    slot: Slot, request_id: str, clock: Clock, notice: TargetNotice, is_served: bool
) -> None:
    """Record what the headers of an answer announce about the slot's target."""
    now = clock.now()
    slot.record_rate(notice.rate, is_served, request_id, now)
    slot.record_backoff(notice.backoff, request_id, now)
    slot.record_rejections(notice.rejections, not is_served, request_id, now)
    if notice.is_leaving:
        slot.announced_leaving(request_id, now)


def fingerprint_of_request(name: RequestName, content: str) -> Fingerprint:
    """Return the fingerprint of a request, which does not depend on its id.

    ``content`` is a hash of the content of the request and of its service or model.
    """
    return fingerprint_of(name.workspace, "", content.encode())


def traits_of_chat(texts: Sequence[str], workspace: str, model: str) -> Traits:
    """Return the traits of a chat: the texts of its messages, but for the last one.

    The last message belongs to the request itself.
    """
    return traits_of((text for text in texts[:-1] if text), workspace, model)


STOPPED = Fault(FaultKind.STOPPED, "the request was quarantined during the attempt")
