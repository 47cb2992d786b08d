"""Record of an attempt's end, shared by calls and streams."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from cranberrywall.forwarding._attempts import outcome_of, record_head
from cranberrywall.forwarding._billing import RequestFunds
from cranberrywall.forwarding._client import DID_NOT_RUN, AttemptFailedError, FailureKind
from cranberrywall.forwarding._interfaces import Attempt
from cranberrywall.quarantine import Run, RunEnd, RunTracker, stoppable
from cranberrywall.routing import Outcome, OutcomeKind, Slot
from cranberrywall.runtime import Clock
from cranberrywall.targets import ConnectionRequest


class AttemptRecord:
    """Record how an attempt ends.

    Until an end is recorded, the attempt counts as cancelled and abandoned. ``is_verification`` is
    true for an attempt that only verifies an end.
    """

    def __init__(self, run: Run, connection: ConnectionRequest) -> None:
        self.run = run
        self.connection = connection
        self.is_verification = False
        self.outcome = Outcome(OutcomeKind.CANCELLED)
        self.end = RunEnd.GIVEN_UP

    def time_limit(self, seconds: float) -> asyncio.Timeout:
        """Return the timeout of the attempt; it also expires once the request is quarantined."""
        return stoppable(self.run, seconds)

    def record_answer_started(self, now: float) -> None:
        """Record that the target started to answer."""
        self.run.answered_at = now

    def record_progress(self, now: float) -> None:
        """Record that a piece of the answer arrived."""
        self.run.progress_at = now

    def record_complete(self, outcome: Outcome, is_refused: bool = False) -> None:
        """Record that the target's answer is complete; it may state an error of the caller."""
        self.outcome = outcome
        if outcome.kind is not OutcomeKind.ANSWERED:
            self.end = RunEnd.NOT_SERVED
        else:
            self.end = RunEnd.REFUSED if is_refused else RunEnd.WHOLE

    def record_failure(self, failure: AttemptFailedError, now: float) -> None:
        """Record how the attempt failed, and set ``answered_s`` of the failure."""
        failure.answered_s = self.run.answered_s(now)
        if self.is_verification and failure.kind is FailureKind.LATE:
            # Its time limit is short, and says nothing about the target.
            return
        self.outcome = outcome_of(failure)
        if failure.kind in DID_NOT_RUN:
            self.end = RunEnd.NOT_SERVED
        elif failure.kind is FailureKind.BROKEN:
            self.end = RunEnd.BROKEN


@contextmanager
def recorded_attempt(
    slot: Slot,
    attempt: Attempt,
    funds: RequestFunds,
    tracker: RunTracker,
    clock: Clock,
    may_repeat: bool,
) -> Iterator[AttemptRecord]:
    """Charge the request's input from now on; free the slot with the outcome at the end.

    A timeout in the block is converted to an ``AttemptFailedError``. If the target did not run
    the request, or made no token of it, its input is not charged.
    """
    arrival = attempt.arrival
    run = tracker.begin(
        arrival.request_id,
        slot.target_id,
        attempt.fingerprint,
        attempt.is_streamed,
        attempt.traits,
    )
    connection = ConnectionRequest(
        slot.target_incarnation, arrival.request_id, lambda: slot.is_offered, may_repeat
    )
    record = AttemptRecord(run, connection)
    funds.record_sent()
    try:
        yield record
    except TimeoutError as error:
        failure = _timed_out(record, attempt)
        if failure.kind in DID_NOT_RUN:
            funds.record_no_output()
        record.record_failure(failure, clock.now())
        raise failure from error
    except AttemptFailedError as failure:
        if failure.kind in DID_NOT_RUN or _broke_before_output(failure, attempt, record):
            funds.record_no_output()
        if failure.head is not None:
            record_head(slot, failure.head, arrival.request_id, clock.now())
        record.record_failure(failure, clock.now())
        raise
    finally:
        now = clock.now()
        tracker.finish(run, record.end, slot.url, now)
        slot.finish(record.outcome, now)


def _broke_before_output(
    failure: AttemptFailedError, attempt: Attempt, record: AttemptRecord
) -> bool:
    """Return whether the target ended the connection of a stream before any byte of its events.

    A target sends an event as soon as it has the token. A call may have run to its end, and
    events may be lost on a path that broke.
    """
    is_ended_by_target = failure.is_connection_lost and record.connection.only_target_ends
    return is_ended_by_target and attempt.is_streamed and record.run.progress_at is None


def _timed_out(record: AttemptRecord, attempt: Attempt) -> AttemptFailedError:
    if not record.connection.may_be_sent:
        return AttemptFailedError(FailureKind.UNSENT, "no connection before the deadline")
    if record.run.is_stopped:
        return AttemptFailedError(FailureKind.STOPPED, "the request is quarantined")
    return AttemptFailedError(
        FailureKind.LATE, f"no complete answer within {attempt.remaining_s:.3f} s"
    )
