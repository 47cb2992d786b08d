"""Record at the ledger that a call which may not be repeated is about to be sent.

The intent is committed by a majority before the first byte goes to a target, so a second
arrival of the id, at any host, learns of it. Where no majority can be reached nothing is
sent.
"""

from typing import NamedTuple, Protocol

import msgspec
from result import Err, Ok, Result

from cranberrywall.budgets.messages import (
    MAX_ANSWER_BYTES,
    Holder,
    IntentResult,
    IntentState,
    RecordIntent,
    RecordOutcome,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import HostState, Membership
from cranberrywall.observability import log_event
from cranberrywall.requests._background import BackgroundTasks
from cranberrywall.requests._identity import RequestName
from cranberrywall.requests._service_client import ServiceAnswer
from cranberrywall.runtime import Clock

RECORD_TIMEOUT_S = 2.0
_OUTCOME_TRIES = 30
_OUTCOME_PAUSE_S = 1.0


class IntentLedger(Protocol):
    """Commit intents and outcomes; the ledger's client does."""

    async def record_intent(
        self, command: RecordIntent, timeout: float
    ) -> Result[IntentResult, Refusal]:
        """Record that an attempt is about to send."""
        ...

    async def record_outcome(
        self, command: RecordOutcome, timeout: float
    ) -> Result[IntentResult, Refusal]:
        """Record what became of it."""
        ...


class Intent(NamedTuple):
    """Name a recorded intent."""

    name: RequestName
    budget: str
    attempt_id: str


class StoredAnswer(NamedTuple):
    """Keep an answer at the ledger for later arrivals of its id.

    ``whole`` is false where the body was too large to keep.
    """

    fingerprint: str
    whole: bool
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Intents:
    """Win the right to send a call, and record what became of it."""

    def __init__(
        self,
        ledger: IntentLedger,
        holder: Holder,
        membership: Membership,
        clock: Clock,
        background: BackgroundTasks,
    ) -> None:
        self._ledger = ledger
        self._holder = holder
        self._membership = membership
        self._clock = clock
        self._background = background

    async def win(self, intent: Intent, fingerprint: str) -> Result[ServiceAnswer | None, Refusal]:
        """Return ``None`` where this attempt may send, or an earlier attempt's answer."""
        command = RecordIntent(
            intent.budget,
            intent.name.workspace,
            intent.name.request_id,
            intent.attempt_id,
            self._holder,
            self._clock.wall(),
        )
        recorded = await self._ledger.record_intent(command, RECORD_TIMEOUT_S)
        if isinstance(recorded, Err):
            # The record may still be committed later. Unless it is withdrawn, a retry
            # would be told for ever that the outcome is unknown.
            self.withdraw(intent)
            return Err(_no_quorum(recorded.err_value))
        result = recorded.ok_value
        if result.state is IntentState.STARTED:
            return Ok(None)
        if result.state is IntentState.DONE:
            return _stored(result.answer, fingerprint)
        if result.state is IntentState.RUNNING and self._may_run(result.holder):
            return Err(Refusal(ErrorKind.RUNNING, "an earlier arrival of this id is running"))
        return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, "an earlier arrival of this id was sent"))

    def withdraw(self, intent: Intent) -> None:
        """Record in the background that nothing was sent."""
        self._background.spawn(self._record(intent, IntentState.NOT_RUN, b""))

    def lose(self, intent: Intent) -> None:
        """Record in the background that the outcome is not known."""
        self._background.spawn(self._record(intent, IntentState.UNKNOWN, b""))

    def keep(self, intent: Intent, fingerprint: str, answer: ServiceAnswer) -> None:
        """Record the answer in the background."""
        stored = _to_store(fingerprint, answer)
        self._background.spawn(self._record(intent, IntentState.DONE, stored))

    async def _record(self, intent: Intent, state: IntentState, answer: bytes) -> None:
        command = RecordOutcome(
            intent.budget,
            intent.name.workspace,
            intent.name.request_id,
            intent.attempt_id,
            state,
            answer,
            self._clock.wall(),
        )
        for _ in range(_OUTCOME_TRIES):
            recorded = await self._ledger.record_outcome(command, RECORD_TIMEOUT_S)
            if isinstance(recorded, Ok):
                return
            await self._clock.sleep(_OUTCOME_PAUSE_S)
        log_event("ERROR", "outcome_not_recorded", request=intent.name.request_id, state=state)

    def _may_run(self, holder: Holder) -> bool:
        view = self._membership.by_host(holder.host)
        if view is None or view.state is HostState.DEAD:
            return False
        return view.incarnation <= holder.incarnation


def _to_store(fingerprint: str, answer: ServiceAnswer) -> bytes:
    data = msgspec.msgpack.encode(StoredAnswer(fingerprint, True, *answer))
    if len(data) <= MAX_ANSWER_BYTES:
        return data
    return msgspec.msgpack.encode(StoredAnswer(fingerprint, False, answer.status, (), b""))


def _stored(data: bytes, fingerprint: str) -> Result[ServiceAnswer, Refusal]:
    stored = msgspec.msgpack.decode(data, type=StoredAnswer)
    if stored.fingerprint != fingerprint:
        return Err(other_request())
    if not stored.whole:
        message = "the call ran and was answered; its answer is too large to keep"
        return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))
    return Ok(ServiceAnswer(stored.status, stored.headers, stored.body))


def other_request() -> Refusal:
    """Refuse an id that was used for a request that differs."""
    return Refusal(
        ErrorKind.CONFLICT,
        "names another request",
        field="Idempotency-Key",
        remedy="use a new key for a request that differs",
    )


def _no_quorum(cause: Refusal) -> Refusal:
    return Refusal(
        ErrorKind.NOT_RUN,
        f"the intent could not be recorded ({cause.kind}), so nothing was sent",
        remedy="send the call again with the same Idempotency-Key",
    )
