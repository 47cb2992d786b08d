"""Forward an event stream, event by event, and go on elsewhere where it breaks off."""

from result import Err, Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.forwarding._attempts import Attempts, note_head
from cranberrywall.forwarding._calls import CompleteAnswer
from cranberrywall.forwarding._client import (
    AttemptFailedError,
    FailureKind,
    TargetAnswer,
    TargetClient,
    read_whole,
)
from cranberrywall.forwarding._conclusion import concluding
from cranberrywall.forwarding._events import Event, EventSplitter
from cranberrywall.forwarding._interfaces import CallerReply
from cranberrywall.forwarding._money import RequestFunds
from cranberrywall.observability import log_event
from cranberrywall.quarantine import RunTracker
from cranberrywall.routing import Outcome, OutcomeKind, Slot
from cranberrywall.runtime import Clock

FIRST_FAILURE_STATUS = 300


class StreamForwarder:
    """Pass events on as they come; the caller sees one answer with the head of the first target."""

    def __init__(self, client: TargetClient, tracker: RunTracker, clock: Clock) -> None:
        self._client = client
        self._tracker = tracker
        self._clock = clock

    async def run(
        self, attempts: Attempts, purse: RequestFunds, reply: CallerReply
    ) -> Result[CompleteAnswer | None, Refusal]:
        """Return ``None`` once the caller has the whole stream but its end.

        A target's answer that is no stream is returned as it is. ``Err`` where there is no
        answer, also where the caller has begun to get one: it must be cut then.
        """
        last_event = attempts.arrival.last_event
        progress = _Progress(last_event, purse, attempts.plan.tokens_per_event, reply)
        while True:
            begun = await purse.begin(attempts.remaining_s())
            if isinstance(begun, Err):
                return Err(attempts.refusal(begun.err_value))
            acquired = await attempts.acquire()
            if isinstance(acquired, Err):
                return Err(attempts.refusal(acquired.err_value))
            try:
                failed = await self._attempt(attempts, acquired.ok_value, purse, progress)
            except AttemptFailedError as failure:
                attempts.note_failure(failure)
            else:
                if failed is None or not (reply.has_started or attempts.may_go_on()):
                    return Ok(failed)
            if not attempts.may_go_on():
                return Err(attempts.refusal())
            if reply.has_started:
                log_event(
                    "INFO",
                    "stream_resumes",
                    request=attempts.arrival.request_id,
                    last_event=progress.last_event,
                )

    async def _attempt(
        self, attempts: Attempts, slot: Slot, purse: RequestFunds, progress: "_Progress"
    ) -> CompleteAnswer | None:
        """Return ``None`` at the stream's end, or the target's own failure."""
        attempt = attempts.begin(slot, progress.last_event)
        started_at = self._clock.now()
        may_run_again = attempts.plan.repeats.may_run_again
        with concluding(slot, attempt, purse, self._tracker, self._clock) as conclusion:
            async with (
                conclusion.limit(attempt.remaining_s),
                self._client.open(slot, attempt, may_run_again) as answer,
            ):
                conclusion.answered(self._clock.now())
                note_head(slot, answer.head, attempt.arrival.request_id, self._clock.now())
                if answer.status >= FIRST_FAILURE_STATUS:
                    attempts.may_have_run = True
                    failed = CompleteAnswer(answer.status, answer.headers, await read_whole(answer))
                    conclusion.is_whole(Outcome(OutcomeKind.FAILED_AFTER))
                    return failed
                await progress.begin(answer)
                first_s = await self._pump(answer, slot, progress, started_at)
            conclusion.is_whole(Outcome(OutcomeKind.ANSWERED, first_s, progress.events))
            return None

    async def _pump(
        self, answer: TargetAnswer, slot: Slot, progress: "_Progress", started_at: float
    ) -> float | None:
        """Pass on all events, and return the seconds to the first one."""
        splitter = EventSplitter()
        first_s: float | None = None
        async for chunk in answer.response.chunks():
            try:
                events = splitter.feed(chunk)
            except ValueError as error:
                raise AttemptFailedError(FailureKind.BROKEN, str(error)) from error
            if events and first_s is None:
                now = self._clock.now()
                first_s = now - started_at
                slot.record_first_token(now)
            if events:
                await progress.pass_on(events)
        if splitter.rest:
            raise AttemptFailedError(FailureKind.BROKEN, "the stream ended within an event")
        return first_s


class _Progress:
    """Know what the caller has of the stream, over all attempts."""

    def __init__(
        self, last_event: int | None, purse: RequestFunds, tokens_per_event: int, reply: CallerReply
    ) -> None:
        self.last_event = last_event
        self.events = 0
        self._purse = purse
        self._tokens_per_event = tokens_per_event
        self._reply = reply

    async def begin(self, answer: TargetAnswer) -> None:
        """Send the head, unless an earlier target's was sent."""
        if not self._reply.has_started:
            await self._reply.begin(answer.status, answer.headers)

    async def pass_on(self, events: list[Event]) -> None:
        """Send whole events that the caller does not have yet."""
        news = [event for event in events if self._is_news(event)]
        for event in news:
            if event.number is not None:
                self.last_event = event.number
        if not news:
            return
        self.events += len(news)
        # Counted before they go out: what is on its way when this task is cancelled may have
        # reached the caller.
        self._purse.note_output(len(news) * self._tokens_per_event)
        await self._reply.write(b"".join(event.data for event in news))

    def _is_news(self, event: Event) -> bool:
        if event.number is None or self.last_event is None:
            return True
        return event.number > self.last_event
