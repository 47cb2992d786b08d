"""Conclude an attempt the same way for calls and streams, however it ends."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from cranberrywall.forwarding._attempts import note_head, outcome_of
from cranberrywall.forwarding._client import DID_NOT_RUN, AttemptFailedError, FailureKind
from cranberrywall.forwarding._interfaces import Attempt
from cranberrywall.forwarding._money import RequestFunds
from cranberrywall.quarantine import Run, RunEnd, RunTracker, stoppable
from cranberrywall.routing import Outcome, OutcomeKind, Slot
from cranberrywall.runtime import Clock


class Conclusion:
    """Hold what is learned from an attempt: cancelled, and given up, until it is said."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.outcome = Outcome(OutcomeKind.CANCELLED)
        self.end = RunEnd.GIVEN_UP

    def limit(self, seconds: float) -> asyncio.Timeout:
        """Return the limit of the attempt's time, which is over once the request is held back."""
        return stoppable(self.run, seconds)

    def answered(self, now: float) -> None:
        """Note that the target began to answer."""
        self.run.answered_at = now

    def is_whole(self, outcome: Outcome) -> None:
        """Note that the target's answer came to its end."""
        self.outcome = outcome
        is_served = outcome.kind is OutcomeKind.ANSWERED
        self.end = RunEnd.WHOLE if is_served else RunEnd.NOT_SERVED

    def fails(self, failure: AttemptFailedError, now: float) -> None:
        """Note how the attempt failed, and in the failure for how long it was answered."""
        failure.answered_s = self.run.answered_s(now)
        self.outcome = outcome_of(failure)
        if failure.kind in DID_NOT_RUN:
            self.end = RunEnd.NOT_SERVED
        elif failure.kind is FailureKind.BROKEN:
            self.end = RunEnd.BROKEN


@contextmanager
def concluding(
    slot: Slot, attempt: Attempt, purse: RequestFunds, tracker: RunTracker, clock: Clock
) -> Iterator[Conclusion]:
    """Free the slot at the end, with the outcome; count the request's input from now on.

    A timeout in the block becomes an ``AttemptFailedError``. Where the target did not run the
    request, its input does not count after all.
    """
    arrival = attempt.arrival
    run = tracker.begin(
        arrival.request_id, slot.target_id, attempt.fingerprint, attempt.is_streamed
    )
    conclusion = Conclusion(run)
    purse.note_sent()
    try:
        yield conclusion
    except TimeoutError as error:
        failure = _timed_out(run, attempt)
        conclusion.fails(failure, clock.now())
        raise failure from error
    except AttemptFailedError as failure:
        if failure.kind in DID_NOT_RUN:
            purse.note_not_run()
        if failure.head is not None:
            note_head(slot, failure.head, arrival.request_id, clock.now())
        conclusion.fails(failure, clock.now())
        raise
    finally:
        now = clock.now()
        tracker.finish(run, conclusion.end, slot.url, now)
        slot.finish(conclusion.outcome, now)


def _timed_out(run: Run, attempt: Attempt) -> AttemptFailedError:
    if run.is_stopped:
        return AttemptFailedError(FailureKind.STOPPED, "the request is held back from now on")
    return AttemptFailedError(FailureKind.LATE, f"no end in {attempt.remaining_s:.3f} s")
