"""Intents of calls that must run at most once, recorded at the ledger before they are sent.

A majority commits the intent before the first byte goes to a target. A second request with
the same id, at any host, finds the intent. If no majority can be reached, nothing is sent.
"""

from typing import NamedTuple, Protocol

import msgspec
from result import Err, Ok, Result

from cranberrywall.budgets import out_of_reach
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
_MAX_OUTCOME_ATTEMPTS = 30
_OUTCOME_RETRY_INTERVAL_S = 1.0


class IntentLedger(Protocol):
    """Commits intents and outcomes; implemented by the client of the ledger."""

    async def record_intent(
        self, command: RecordIntent, timeout: float
    ) -> Result[IntentResult, Refusal]:
        """Record that an attempt is about to send the call."""
        ...

    async def record_outcome(
        self, command: RecordOutcome, timeout: float
    ) -> Result[IntentResult, Refusal]:
        """Record the outcome of the attempt."""
        ...


class Intent(NamedTuple):
    """Intent of one attempt to send a call."""

    name: RequestName
    budget: str
    attempt_id: str


class StoredAnswer(NamedTuple):
    """Answer that the ledger stores for later requests with the same id.

    ``is_complete`` is false if the body was too large to store.
    """

    fingerprint: str
    is_complete: bool
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Intents:
    """Acquire the right to send a call, and record its outcome."""

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

    async def acquire(
        self, intent: Intent, fingerprint: str
    ) -> Result[ServiceAnswer | None, Refusal]:
        """Return ``None`` if this attempt may send the call, or an earlier attempt's answer."""
        recorded = await self._record_intent(intent)
        if isinstance(recorded, Err):
            # The intent may still be committed later. Unless it is withdrawn, every retry
            # would be refused because the outcome is unknown.
            self.withdraw(intent)
            return Err(_no_quorum_refusal(recorded.err_value))
        result = recorded.ok_value
        if result.state is IntentState.STARTED:
            return Ok(None)
        if result.state is IntentState.DONE:
            return _decode_answer(result.answer, fingerprint)
        if result.state is IntentState.RUNNING and self._may_be_running(result.holder):
            return Err(Refusal(ErrorKind.RUNNING, "an earlier request with this id is running"))
        return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, "an earlier request with this id was sent"))

    async def _record_intent(self, intent: Intent) -> Result[IntentResult, Refusal]:
        command = RecordIntent(
            intent.budget,
            intent.name.workspace,
            intent.name.request_id,
            intent.attempt_id,
            self._holder,
            self._clock.wall(),
        )
        return await self._ledger.record_intent(command, RECORD_TIMEOUT_S)

    def withdraw(self, intent: Intent) -> None:
        """Record in the background that the call was not sent."""
        self._background.spawn(self._record_outcome(intent, IntentState.NOT_RUN, b""))

    def record_unknown(self, intent: Intent) -> None:
        """Record in the background that the outcome of the call is unknown."""
        self._background.spawn(self._record_outcome(intent, IntentState.UNKNOWN, b""))

    def record_answer(self, intent: Intent, fingerprint: str, answer: ServiceAnswer) -> None:
        """Record the answer in the background."""
        stored = _encode_answer(fingerprint, answer)
        self._background.spawn(self._record_outcome(intent, IntentState.DONE, stored))

    async def _record_outcome(self, intent: Intent, state: IntentState, answer: bytes) -> None:
        command = RecordOutcome(
            intent.budget,
            intent.name.workspace,
            intent.name.request_id,
            intent.attempt_id,
            state,
            answer,
            self._clock.wall(),
        )
        for _ in range(_MAX_OUTCOME_ATTEMPTS):
            recorded = await self._ledger.record_outcome(command, RECORD_TIMEOUT_S)
            if isinstance(recorded, Ok):
                return
            refusal = recorded.err_value
            if refusal.kind is ErrorKind.NOT_FOUND and state is IntentState.NOT_RUN:
                # The command that records the intent was lost, or will be applied late. Once the
                # intent is recorded and withdrawn, a late copy of that command has no effect.
                recorded = await self._record_intent(intent)
                if isinstance(recorded, Ok):
                    continue
                refusal = recorded.err_value
            if not out_of_reach(refusal):
                self._log_rejected_outcome(intent, state, refusal)
                return
            await self._clock.sleep(_OUTCOME_RETRY_INTERVAL_S)
        log_event("ERROR", "outcome_not_recorded", request=intent.name.request_id, state=state)

    @staticmethod
    def _log_rejected_outcome(intent: Intent, state: IntentState, refusal: Refusal) -> None:
        # A call that was not sent needs no record if the ledger has one of another attempt.
        level = "INFO" if state is IntentState.NOT_RUN else "ERROR"
        log_event(
            level,
            "outcome_rejected",
            request=intent.name.request_id,
            state=state,
            kind=refusal.kind,
            reason=refusal.message,
        )

    def _may_be_running(self, holder: Holder) -> bool:
        view = self._membership.by_host(holder.host)
        if view is None or view.state is HostState.DEAD:
            return False
        return view.incarnation <= holder.incarnation


def _encode_answer(fingerprint: str, answer: ServiceAnswer) -> bytes:
    data = msgspec.msgpack.encode(StoredAnswer(fingerprint, True, *answer))
    if len(data) <= MAX_ANSWER_BYTES:
        return data
    return msgspec.msgpack.encode(StoredAnswer(fingerprint, False, answer.status, (), b""))


def _decode_answer(data: bytes, fingerprint: str) -> Result[ServiceAnswer, Refusal]:
    stored = msgspec.msgpack.decode(data, type=StoredAnswer)
    if stored.fingerprint != fingerprint:
        return Err(reused_key_refusal())
    if not stored.is_complete:
        message = "the call ran and was answered, but the answer is too large to store"
        return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))
    return Ok(ServiceAnswer(stored.status, stored.headers, stored.body))


def reused_key_refusal() -> Refusal:
    """Return the refusal of an id that was already used for a different request."""
    return Refusal(
        ErrorKind.CONFLICT,
        "was used for a different request",
        field="Idempotency-Key",
        remedy="use a new key for a different request",
    )


def _no_quorum_refusal(cause: Refusal) -> Refusal:
    return Refusal(
        ErrorKind.NOT_RUN,
        f"the intent could not be recorded ({cause.kind}), so nothing was sent",
        remedy="send the call again with the same Idempotency-Key",
    )
