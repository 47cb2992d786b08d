"""Forward a call whose answer is read whole before it goes to the caller."""

from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.forwarding._attempts import Attempts, note_head
from cranberrywall.forwarding._client import (
    AttemptFailedError,
    TargetClient,
    read_whole,
)
from cranberrywall.forwarding._conclusion import concluding
from cranberrywall.forwarding._interfaces import Headers
from cranberrywall.forwarding._money import RequestFunds
from cranberrywall.quarantine import RunTracker
from cranberrywall.routing import Outcome, OutcomeKind, Slot
from cranberrywall.runtime import Clock

FAILED_FROM_STATUS = 500


class CompleteAnswer(NamedTuple):
    """Hold a target's answer as it goes to the caller."""

    status: int
    headers: Headers
    body: bytes


class CallForwarder:
    """Try targets until one answers."""

    def __init__(self, client: TargetClient, tracker: RunTracker, clock: Clock) -> None:
        self._client = client
        self._tracker = tracker
        self._clock = clock

    async def run(self, attempts: Attempts, purse: RequestFunds) -> Result[CompleteAnswer, Refusal]:
        """Return a target's own answer, or a refusal that is true of whether the call ran.

        A target's own failure is an answer: it is tried again elsewhere where the call may be
        repeated, and goes to the caller as it is where no other target has a better one.
        """
        failed: CompleteAnswer | None = None
        while True:
            begun = await purse.begin(attempts.remaining_s())
            if isinstance(begun, Err):
                return Err(attempts.refusal(begun.err_value))
            acquired = await attempts.acquire()
            if isinstance(acquired, Err):
                return Ok(failed) if failed else Err(attempts.refusal(acquired.err_value))
            try:
                answer = await self._attempt(attempts, acquired.ok_value, purse)
            except AttemptFailedError as failure:
                attempts.note_failure(failure)
            else:
                if answer.status < FAILED_FROM_STATUS:
                    return Ok(answer)
                failed = answer
                attempts.may_have_run = True
            if not attempts.may_go_on():
                return Ok(failed) if failed else Err(attempts.refusal())

    async def _attempt(self, attempts: Attempts, slot: Slot, purse: RequestFunds) -> CompleteAnswer:
        started_at = self._clock.now()
        attempt = attempts.begin(slot, None)
        may_run_again = attempts.plan.repeats.may_run_again
        with concluding(slot, attempt, purse, self._tracker, self._clock) as conclusion:
            async with (
                conclusion.limit(attempt.remaining_s),
                self._client.open(slot, attempt, may_run_again) as answer,
            ):
                conclusion.answered(self._clock.now())
                note_head(slot, answer.head, attempt.arrival.request_id, self._clock.now())
                body = await read_whole(answer)
            is_failure = answer.status >= FAILED_FROM_STATUS
            if not is_failure:
                purse.note_whole_answer()
            kind = OutcomeKind.FAILED_AFTER if is_failure else OutcomeKind.ANSWERED
            conclusion.is_whole(Outcome(kind, self._clock.now() - started_at))
            return CompleteAnswer(answer.status, answer.headers, body)
