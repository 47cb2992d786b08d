"""Forwarding of calls whose answer is read completely before it is sent to the caller."""

from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.forwarding._answer_ends import AnswerEnds
from cranberrywall.forwarding._attempt_record import recorded_attempt
from cranberrywall.forwarding._attempts import Attempts, record_head
from cranberrywall.forwarding._billing import RequestFunds
from cranberrywall.forwarding._client import (
    AttemptFailedError,
    TargetClient,
)
from cranberrywall.forwarding._interfaces import Headers
from cranberrywall.quarantine import RunTracker
from cranberrywall.routing import Outcome, OutcomeKind, Slot
from cranberrywall.runtime import Clock

MIN_REFUSAL_STATUS = 400
MIN_FAILURE_STATUS = 500


class CompleteAnswer(NamedTuple):
    """Answer of a target in the form that is sent to the caller."""

    status: int
    headers: Headers
    body: bytes


class CallForwarder:
    """Send a call to one target after another until one answers."""

    def __init__(
        self, client: TargetClient, ends: AnswerEnds, tracker: RunTracker, clock: Clock
    ) -> None:
        self._client = client
        self._ends = ends
        self._tracker = tracker
        self._clock = clock

    async def run(self, attempts: Attempts, funds: RequestFunds) -> Result[CompleteAnswer, Refusal]:
        """Return a target's answer, or a refusal that states whether the call may have run.

        If a target answers with an error status and the call may be repeated, another target is
        tried. If no other target gives a better answer, the caller receives the error answer
        unchanged, unless its status would state wrongly that the call did not run.
        """
        failed: CompleteAnswer | None = None
        while True:
            charged = await funds.begin(attempts.remaining_s())
            if isinstance(charged, Err):
                return Err(attempts.refusal(charged.err_value))
            acquired = await attempts.acquire()
            if isinstance(acquired, Err):
                return Ok(failed) if failed else Err(attempts.refusal(acquired.err_value))
            try:
                answer = await self._attempt(attempts, acquired.ok_value, funds)
            except AttemptFailedError as failure:
                attempts.record_failure(failure)
            else:
                refusal = attempts.check_status(answer.status)
                if refusal is not None:
                    return Err(refusal)
                if answer.status < MIN_FAILURE_STATUS:
                    return Ok(answer)
                failed = answer
                attempts.may_have_run = True
            if not attempts.can_try_another_target():
                return Ok(failed) if failed else Err(attempts.refusal())

    async def _attempt(self, attempts: Attempts, slot: Slot, funds: RequestFunds) -> CompleteAnswer:
        started_at = self._clock.now()
        attempt = attempts.begin(slot, None)
        may_run_again = attempts.plan.repeat_rules.may_run_again
        with recorded_attempt(
            slot, attempt, funds, self._tracker, self._clock, may_run_again
        ) as record:
            async with (
                record.time_limit(attempt.remaining_s),
                self._client.open(slot, attempt, record.connection, may_run_again) as answer,
            ):
                record.record_answer_started(self._clock.now())
                attempts.record_answer(answer.response, record.connection)
                record_head(slot, answer.head, attempt.arrival.request_id, self._clock.now())
                body = await self._client.read_full_body(answer)
                await self._ends.confirm(answer, slot, attempts.plan.health_path)
            is_failure = answer.status >= MIN_FAILURE_STATUS
            if not is_failure:
                funds.record_complete_answer()
            kind = OutcomeKind.FAILED_AFTER if is_failure else OutcomeKind.ANSWERED
            record.record_complete(
                Outcome(kind, self._clock.now() - started_at), answer.status >= MIN_REFUSAL_STATUS
            )
            return CompleteAnswer(answer.status, answer.headers, body)
