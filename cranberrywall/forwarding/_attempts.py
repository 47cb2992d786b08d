"""Selection of a target for each attempt of a request, and the rules for further attempts."""

from typing import Protocol, TypedDict

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.forwarding._blocks import blocks_of
from cranberrywall.forwarding._client import (
    DID_NOT_RUN,
    AttemptFailedError,
    FailureKind,
)
from cranberrywall.forwarding._interfaces import Arrival, Attempt, TargetHead
from cranberrywall.forwarding._origins import TAKE_UP_S, StreamOrigins
from cranberrywall.forwarding._plan import Plan
from cranberrywall.forwarding._responses import BodyEnd, Framing
from cranberrywall.forwarding._shutdown import STOPPING, RequestLimit
from cranberrywall.observability import log_event
from cranberrywall.quarantine import Quarantine
from cranberrywall.routing import Demand, Outcome, OutcomeKind, Router, Slot
from cranberrywall.runtime import Clock
from cranberrywall.targets import ConnectionRequest

MIN_ATTEMPT_TIME_S = 0.03
"""Minimum time for an attempt, in seconds. No target answers within less, so none is started."""

MAX_UNSENT_ATTEMPTS = 3
"""Maximum number of targets that accept no connection, in addition to the route's attempts.

If more fail in a row, the network of this host is the more likely cause."""

DEADLINE_MARGIN_S = 0.005
"""Difference between the caller's deadline and the target's, in seconds.

The answer needs this time to travel back to the caller."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses after which callers repeat any request, as if it had not run."""


class AnswerBody(Protocol):
    """Body of a target's answer, as far as log events describe it."""

    @property
    def framing(self) -> Framing:
        """Return how the answer marks the end of its body."""
        ...

    @property
    def body_end(self) -> BodyEnd:
        """Return how the body ended."""
        ...


class AnswerFields(TypedDict):
    """Fields of log events that describe an answer; they are empty if there was none.

    ``is_direct`` is whether the connection led through no neighbour.
    """

    framing: str
    body_end: str
    is_direct: bool | str


class Attempts:
    """Track the attempts of one request at all targets.

    ``may_have_run`` is true if any target may have run the request. A refusal must then not
    promise that the request did not run. ``sent_count`` is the number of targets that may have
    received a byte of the request; ``targets`` lists all targets that were tried. ``reserved_at``,
    ``started_at`` and ``first_event_at`` are when the budget was reserved, when the first attempt
    began, and when the first event of a stream was sent to the caller, in monotonic seconds.
    ``limit`` applies if this host stops. ``is_answered`` is true while an attempt only verifies the
    end of a stream.
    ``stream_version`` is the version of the target that began the stream, once an event was sent:
    what two versions write does not fit together. It is empty if that target announced none.
    """

    def __init__(
        self,
        arrival: Arrival,
        plan: Plan,
        router: Router,
        quarantine: Quarantine,
        clock: Clock,
        limit: RequestLimit,
        origins: StreamOrigins,
    ) -> None:
        self.arrival = arrival
        self.plan = plan
        self.may_have_run = False
        self.sent_count = 0
        self.targets: list[str] = []
        self.last_failure: AttemptFailedError | None = None
        self.reserved_at = clock.now()
        self.started_at: float | None = None
        self.first_event_at: float | None = None
        self.limit = limit
        self.stream_version: str | None = None
        self.is_answered = False
        self._body: AnswerBody | None = None
        self._connection: ConnectionRequest | None = None
        self._router = router
        self._quarantine = quarantine
        self._clock = clock
        self._origins = origins
        self._blocks = blocks_of(arrival.generation.parts) if arrival.generation else ()

    def can_try_another_target(self) -> bool:
        """Return whether another target may be tried after a failure."""
        if (
            self.sent_count >= self.plan.route["attempts"]
            or self.remaining_s() < MIN_ATTEMPT_TIME_S
        ):
            return False
        if len(self.targets) >= self.plan.route["attempts"] + MAX_UNSENT_ATTEMPTS:
            return False
        if self.stream_version == "":
            return False
        return self.plan.repeat_rules.may_run_again or not self.may_have_run

    def remaining_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.plan.deadline - self._clock.now()

    async def acquire(self, may_return_to: str = "") -> Result[Slot, Refusal]:
        """Wait for a slot at a target that was not tried yet; refuse a quarantined request.

        The slot may also be at the target ``may_return_to``, which has the prompt in its cache.
        Such an attempt is optional.
        """
        stop_refusal = self.limit.begin_wait(self._clock.now())
        if stop_refusal is not None:
            return Err(stop_refusal)
        plan, generation = self.plan, self.arrival.generation
        demand = Demand(
            workspace="",
            kind=plan.kind,
            name=plan.service,
            version=self.stream_version or "",
            adapter="",
            rank=plan.rank,
            deadline=plan.deadline,
            bound_tokens=generation.bound if generation else 1,
            prefix_hashes=self._blocks,
            affinity_hash=self._blocks[-1] if self._blocks else b"",
            exclude=frozenset(self.targets) - {may_return_to},
            caller=plan.workspace,
            retry=self.sent_count > 0,
            is_resend=self.sent_count == 0 and bool(self.targets),
            is_optional=bool(may_return_to),
        )
        acquired = await self._router.acquire(demand, self._clock.now())
        # The request may have been quarantined while it waited, or because of its last attempt.
        now = self._clock.now()
        quarantine_refusal = self._quarantine.check(plan.fingerprint, now, plan.traits)
        if quarantine_refusal is None:
            return acquired
        if isinstance(acquired, Ok):
            acquired.ok_value.finish(Outcome(OutcomeKind.CANCELLED), now)
        return Err(quarantine_refusal)

    def begin(self, slot: Slot, last_event: int | None) -> Attempt:
        """Record that the request is now sent to the slot's target, and return the attempt."""
        self.sent_count += 1
        self.targets.append(slot.target_id)
        self.limit.begin_attempt()
        self._body = self._connection = None
        if self.started_at is None:
            self.started_at = self._clock.now()
        remaining_s = max(0.0, self.remaining_s() - DEADLINE_MARGIN_S)
        plan = self.plan
        return Attempt(
            self.arrival,
            slot.target_id,
            plan.workspace,
            remaining_s,
            plan.rank,
            last_event,
            plan.fingerprint,
            plan.repeat_rules.is_stream,
            plan.traits,
        )

    def record_answer(self, body: AnswerBody, connection: ConnectionRequest) -> None:
        """Record that the target of the current attempt has begun to answer."""
        self._body = body
        self._connection = connection

    def answer_fields(self) -> AnswerFields:
        """Return the log fields of the current attempt's answer."""
        body, connection = self._body, self._connection
        return {
            "framing": "" if body is None else body.framing,
            "body_end": "" if body is None else body.body_end,
            "is_direct": "" if connection is None else connection.only_target_ends,
        }

    async def find_origin(self) -> Result[None, Refusal]:
        """Find the version that began the stream that the caller takes up, or refuse."""
        resumes = self.arrival.resumes
        if not resumes or not self.plan.repeat_rules.is_stream:
            return Ok(None)
        found = await self._origins.find(resumes)
        if isinstance(found, Err):
            return found
        self.stream_version = found.ok_value
        self._record_origin(resumes, found.ok_value)
        return Ok(None)

    def record_event(self, slot: Slot) -> None:
        """Record that an event of the slot's target is sent to the caller."""
        if self.first_event_at is None:
            self.first_event_at = self._clock.now()
        if self.stream_version is not None:
            return
        self.stream_version = slot.version
        if slot.version and self.plan.repeat_rules.may_run_again:
            self._record_origin(self.arrival.request_id, slot.version)

    def _record_origin(self, request_id: str, version: str) -> None:
        self._origins.record(request_id, version, max(0.0, self.remaining_s()) + TAKE_UP_S)

    def record_failure(self, failure: AttemptFailedError) -> None:
        """Record and log how an attempt failed."""
        self.last_failure = failure
        if failure.kind not in DID_NOT_RUN:
            self.may_have_run = True
        if failure.kind is FailureKind.UNSENT:
            # The target accepted no connection and received nothing, so the attempt does not count
            # against the route's limit. A route with one attempt can still use it.
            self.sent_count -= 1
        log_event(
            "WARNING",
            "attempt_failed",
            request=self.arrival.request_id,
            target=self.targets[-1],
            attempt=len(self.targets),
            fingerprint=self.plan.fingerprint.hex(),
            fault=failure.kind,
            answered_s="" if failure.answered_s is None else failure.answered_s,
            backoff="" if failure.head is None else failure.head.backoff,
            leaving="" if failure.head is None else failure.head.is_leaving,
            **self.answer_fields(),
            reason=failure.message,
        )

    def check_status(self, status: int) -> Refusal | None:
        """Return the refusal that replaces a target's answer, ``None`` if the caller may have it.

        The caller of a request that must not run twice would repeat it after some statuses. An
        answer that reports that the request did not run is a failed attempt and never gets here.
        """
        if self.plan.repeat_rules.may_run_again or status not in NOT_RUN_STATUSES:
            return None
        message = f"answered {status} and did not report that the request did not run"
        self.record_failure(AttemptFailedError(FailureKind.AMBIGUOUS, message))
        return self.refusal()

    def end_by_stop(self) -> Refusal:
        """Record that the stop of this host ends the request, and return the refusal."""
        if self.limit.is_sent:
            message = "this host stopped before the answer was complete"
            self.record_failure(AttemptFailedError(FailureKind.HOST_STOPPED, message))
        return self.refusal(STOPPING)

    def refusal(self, refused: Refusal | None = None) -> Refusal:
        """Return the refusal for a request that no attempt answered.

        The refusal states whether the request may have run.
        """
        message = str(self.last_failure or "")
        if self.may_have_run and not self.plan.repeat_rules.may_run_again:
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, message)
        if self.last_failure is not None and self.last_failure.kind is FailureKind.HOST_STOPPED:
            return Refusal(ErrorKind.ANSWER_CUT, message, retry_after=0.0)
        if self.may_have_run:
            late = self.last_failure is not None and self.last_failure.kind is FailureKind.LATE
            return Refusal(ErrorKind.TIMEOUT if late else ErrorKind.TARGET_FAILED, message)
        if refused is not None:
            return refused
        return Refusal(ErrorKind.NOT_RUN, message)


def record_head(slot: Slot, head: TargetHead, request_id: str, now: float) -> None:
    """Report to the router the load, rate, backoff and leaving state from an answer's head."""
    load = head.load
    if load is not None:
        slot.record_load(load.running, load.waiting, now)
    slot.record_rate(head.rate, not head.not_run, request_id, now)
    slot.record_backoff(head.backoff, request_id, now)
    slot.record_rejections(head.rejections, head.not_run, request_id, now)
    if head.is_leaving:
        slot.announced_leaving(request_id, now)


def outcome_of(failure: AttemptFailedError) -> Outcome:
    """Return the outcome of a failed attempt to report to the router."""
    if failure.kind is FailureKind.UNSENT:
        return Outcome(OutcomeKind.FAILED_BEFORE)
    return Outcome(OutcomeKind.FAILED_AFTER)
