"""Forwarding of event streams, which resume at another target if they break off."""

import asyncio

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.forwarding._answer_ends import SLOT_TIMEOUT_S, VERIFICATION_TIMEOUT_S, AnswerEnds
from cranberrywall.forwarding._attempt_record import AttemptRecord, recorded_attempt
from cranberrywall.forwarding._attempts import DEADLINE_MARGIN_S, Attempts, record_head
from cranberrywall.forwarding._billing import RequestFunds
from cranberrywall.forwarding._calls import CompleteAnswer
from cranberrywall.forwarding._client import (
    AttemptFailedError,
    FailureKind,
    TargetAnswer,
    TargetClient,
)
from cranberrywall.forwarding._events import Event, EventSplitter, is_comment, is_event
from cranberrywall.forwarding._interfaces import Attempt, CallerReply
from cranberrywall.forwarding._responses import BodyEnd
from cranberrywall.observability import log_event
from cranberrywall.quarantine import RunTracker
from cranberrywall.routing import Outcome, OutcomeKind, Slot
from cranberrywall.runtime import Clock

MIN_STREAM_FAILURE_STATUS = 300
_FAILED = OutcomeKind.FAILED_AFTER


class StreamForwarder:
    """Forward events as they arrive, as one answer with the head of the first target."""

    def __init__(
        self, client: TargetClient, ends: AnswerEnds, tracker: RunTracker, clock: Clock
    ) -> None:
        self._client = client
        self._ends = ends
        self._tracker = tracker
        self._clock = clock

    async def run(
        self, attempts: Attempts, funds: RequestFunds, reply: CallerReply
    ) -> Result[CompleteAnswer | None, Refusal]:
        """Return ``None`` once all events were sent to the caller, without the end of the body.

        A target's answer that is not a stream is returned unchanged, unless its status would state
        wrongly that the request did not run. ``Err`` means that no target
        gave a complete answer. If part of an answer was already sent to the caller, the reply
        must be aborted then.
        """
        found = await attempts.find_origin()
        if isinstance(found, Err):
            return Err(found.err_value)
        last_event = attempts.arrival.last_event
        progress = _StreamProgress(last_event, funds, attempts.plan.tokens_per_event, reply)
        while True:
            slot = await self._acquire(attempts, funds, progress)
            if isinstance(slot, Err):
                if progress.closed_by:
                    return self._end_unverified(attempts, progress)
                return Err(attempts.refusal(slot.err_value))
            try:
                failed = await self._attempt(attempts, slot.ok_value, funds, progress)
            except AttemptFailedError as failure:
                attempts.record_failure(failure)
            else:
                if failed is None and not progress.closed_by:
                    return Ok(None)
                if failed is not None and not (
                    reply.has_started or attempts.can_try_another_target()
                ):
                    refusal = attempts.check_status(failed.status)
                    return Ok(failed) if refusal is None else Err(refusal)
            attempts.is_answered = self._is_answered(progress)
            if progress.closed_by and not self._begin_verification(attempts, progress):
                return self._end_unverified(attempts, progress)
            if not (attempts.can_try_another_target() and progress.can_go_on):
                return Err(attempts.refusal())
            if reply.has_started:
                log_event(
                    "INFO",
                    "stream_resumes",
                    request=attempts.arrival.request_id,
                    last_event=progress.last_event,
                    version=attempts.stream_version or "",
                    closed_by=progress.closed_by,
                )

    async def _acquire(
        self, attempts: Attempts, funds: RequestFunds, progress: "_StreamProgress"
    ) -> Result[Slot, Refusal]:
        charged = await funds.begin(attempts.remaining_s())
        if isinstance(charged, Err):
            return Err(charged.err_value)
        if not progress.closed_by:
            return await attempts.acquire()
        try:
            async with asyncio.timeout(SLOT_TIMEOUT_S):
                return await attempts.acquire(may_return_to=progress.closed_by)
        except TimeoutError:
            return Err(Refusal(ErrorKind.OVERLOADED, "no target has a slot to verify the end"))

    def _begin_verification(self, attempts: Attempts, progress: "_StreamProgress") -> bool:
        """Return whether another attempt may show if events are missing; spend it if so."""
        return (
            attempts.plan.repeat_rules.may_run_again
            and not progress.is_verifying
            and progress.can_go_on
            and attempts.can_try_another_target()
            and self._ends.spend_verification(progress.closed_by, self._clock.now())
        )

    def _is_answered(self, progress: "_StreamProgress") -> bool:
        """Return whether a stream counts as complete although nothing marks its end."""
        closed_by = progress.closed_by
        return bool(closed_by) and not self._ends.needs_verification(closed_by, self._clock.now())

    def _end_unverified(
        self, attempts: Attempts, progress: "_StreamProgress"
    ) -> Result[CompleteAnswer | None, Refusal]:
        """End a stream that its target, which still runs, ended by closing its connection."""
        if self._is_answered(progress):
            return Ok(None)
        message = f"nothing marks the end, and {progress.closed_by} has ended a stream early"
        attempts.record_failure(AttemptFailedError(FailureKind.BROKEN, message))
        return Err(attempts.refusal())

    async def _attempt(
        self, attempts: Attempts, slot: Slot, funds: RequestFunds, progress: "_StreamProgress"
    ) -> CompleteAnswer | None:
        """Return ``None`` at the stream's end, or the target's error answer."""
        attempt = attempts.begin(slot, progress.last_event)
        progress.begin_attempt()
        started_at = self._clock.now()
        may_run_again = attempts.plan.repeat_rules.may_run_again
        with recorded_attempt(
            slot, attempt, funds, self._tracker, self._clock, may_run_again
        ) as record:
            record.is_verification = progress.is_verifying
            async with (
                record.time_limit(_limit_s(attempt, progress)) as limit,
                self._client.open(slot, attempt, record.connection, may_run_again) as answer,
            ):
                record.record_answer_started(self._clock.now())
                attempts.record_answer(answer.response, record.connection)
                record_head(slot, answer.head, attempt.arrival.request_id, self._clock.now())
                if answer.status >= MIN_STREAM_FAILURE_STATUS:
                    attempts.may_have_run = True
                    body = await self._client.read_full_body(answer)
                    await self._ends.confirm(answer, slot, attempts.plan.health_path)
                    failed = CompleteAnswer(answer.status, answer.headers, body)
                    # A target may refuse a request for which no event is left.
                    kind = OutcomeKind.CANCELLED if record.is_verification else _FAILED
                    record.record_complete(Outcome(kind))
                    return failed
                await progress.begin(answer)
                attempts.limit.begin_answer()
                first_s = await self._forward_events(
                    answer, slot, attempts, progress, record, started_at, limit
                )
                await self._ends.confirm(answer, slot, attempts.plan.health_path)
                progress.end_attempt(answer.response.body_end, slot.target_id)
            record.record_complete(Outcome(OutcomeKind.ANSWERED, first_s, progress.events))
            return None

    async def _forward_events(
        self,
        answer: TargetAnswer,
        slot: Slot,
        attempts: Attempts,
        progress: "_StreamProgress",
        record: AttemptRecord,
        started_at: float,
        limit: asyncio.Timeout,
    ) -> float | None:
        """Forward all events, and return the time to the first one in seconds."""
        splitter = EventSplitter()
        first_s: float | None = None
        async for chunk in answer.response.chunks():
            try:
                events = splitter.feed(chunk)
            except ValueError as error:
                raise AttemptFailedError(FailureKind.BROKEN, str(error)) from error
            if progress.is_resuming and not all(is_event(event.data) for event in events):
                raise AttemptFailedError(FailureKind.BROKEN, "the answer is no event stream")
            now = self._clock.now()
            if chunk:
                record.record_progress(now)
            if events and first_s is None:
                first_s = now - started_at
                slot.record_first_token(now)
            if events:
                attempts.record_event(slot)
                closed_by = progress.closed_by
                await progress.forward_new(events)
                if closed_by and not progress.closed_by:
                    attempts.is_answered = False
                    self._ends.record_early_end(closed_by, now)
                    record.is_verification = False
                    if not record.run.is_stopped:
                        _extend(limit, attempts.remaining_s())
        if splitter.remainder:
            raise AttemptFailedError(FailureKind.BROKEN, "the stream ended within an event")
        return first_s


def _limit_s(attempt: Attempt, progress: "_StreamProgress") -> float:
    if progress.is_verifying:
        return min(VERIFICATION_TIMEOUT_S, attempt.remaining_s)
    return attempt.remaining_s


def _extend(limit: asyncio.Timeout, remaining_s: float) -> None:
    """Let a time limit expire in ``remaining_s`` seconds, unless it has expired."""
    if not limit.expired():
        limit.reschedule(asyncio.get_running_loop().time() + remaining_s - DEADLINE_MARGIN_S)


class _StreamProgress:
    """Track which events of the stream were sent to the caller, over all attempts.

    ``closed_by`` is the target that ended the stream by closing its connection, which marks no end;
    it is empty if there is none. The next attempt then verifies the end: events that it brings were
    missing. ``is_verifying`` is true from the beginning of that attempt until it brings one.
    ``is_resuming`` is true in an attempt that goes on behind an event.
    """

    def __init__(
        self, last_event: int | None, funds: RequestFunds, tokens_per_event: int, reply: CallerReply
    ) -> None:
        self.last_event = last_event
        self.events = 0
        self.closed_by = ""
        self.is_verifying = False
        self.is_resuming = False
        self._ends_without_id = False
        self._funds = funds
        self._tokens_per_event = tokens_per_event
        self._reply = reply

    @property
    def can_go_on(self) -> bool:
        """Return whether another attempt can leave out the events that were sent."""
        return not self._ends_without_id

    def begin_attempt(self) -> None:
        """Begin an attempt, which verifies the end if the last one had no mark of it."""
        self.is_verifying = bool(self.closed_by)
        self.is_resuming = self.last_event is not None

    def end_attempt(self, body_end: BodyEnd, target: str) -> None:
        """Record how the answer of an attempt ended.

        If an attempt that verifies an end brings no event, the end counts as marked.
        """
        is_marked = body_end is not BodyEnd.CLOSED or self.is_verifying
        self.closed_by = "" if is_marked else target

    async def begin(self, answer: TargetAnswer) -> None:
        """Send the head, unless the head of an earlier target was sent."""
        if not self._reply.has_started:
            await self._reply.begin(answer.status, answer.headers)

    async def forward_new(self, events: list[Event]) -> None:
        """Send complete events that were not sent to the caller yet."""
        new_events = [event for event in events if self._is_new(event)]
        if not new_events:
            return
        counted = [event for event in new_events if not is_comment(event.data)]
        for event in counted:
            self._ends_without_id = event.number is None
            if event.number is not None:
                self.last_event = event.number
        self.events += len(new_events)
        if counted:
            self.closed_by = ""
            self.is_verifying = False
        # Output is charged before it is sent: if this task is cancelled during the write, the
        # events may have reached the caller.
        self._funds.record_output(len(new_events) * self._tokens_per_event)
        await self._reply.write(b"".join(event.data for event in new_events))

    def _is_new(self, event: Event) -> bool:
        if event.number is None or self.last_event is None:
            return True
        return event.number > self.last_event
