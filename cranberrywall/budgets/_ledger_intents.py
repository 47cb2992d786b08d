"""Intents: records that let only one attempt send a request that must not be repeated.

An intent is removed when a period closes that ends more than ``RETENTION_S`` after the intent's
last change. The period's end decides, not a clock, so a clock that jumps cannot remove an intent
too early. While ``MAX_INTENTS`` are stored, new ones are rejected, and the caller is correctly
notified that its request was not run.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from cranberrywall.budgets.messages import (
    MAX_ANSWER_BYTES,
    Holder,
    IntentQuery,
    IntentResult,
    IntentState,
    RecordIntent,
    RecordOutcome,
    Rejected,
)
from cranberrywall.errors import ErrorKind

RETENTION_S = 7 * 86_400.0
"""Minimum time in seconds between an intent's last change and the end of the closing that removes
it.
"""

MAX_INTENTS = 100_000
"""Maximum number of intents that one group stores."""

MAX_STORED_ANSWER_BYTES = 64 * 1024 * 1024
"""Maximum total size of stored answers in bytes; above it the oldest answers are dropped."""

_FINAL = (IntentState.DONE, IntentState.NOT_RUN)


class _Intent(NamedTuple):
    state: IntentState
    attempt_id: str
    holder: Holder
    answer: bytes
    at: float
    former_attempts: tuple[str, ...]


class Intents:
    """State of each request that must not be repeated."""

    def __init__(self, is_current: Callable[[Holder], bool]) -> None:
        self._is_current = is_current
        self._intent_by_request: dict[tuple[str, str], _Intent] = {}
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Return the number of stored intents."""
        return len(self._intent_by_request)

    def record_intent(self, command: RecordIntent) -> IntentResult | Rejected:
        """Let the first attempt start; return the recorded state to any other attempt."""
        request = (command.workspace, command.request_id)
        existing = self._intent_by_request.get(request)
        if existing is not None and not self._may_start(existing, command):
            return self._result(existing)
        former = () if existing is None else (*existing.former_attempts, existing.attempt_id)
        if existing is None and len(self._intent_by_request) >= MAX_INTENTS:
            remedy = "close a period, which removes old ids"
            return Rejected(ErrorKind.OVERLOADED, "too many ids are stored", "request_id", remedy)
        if not self._is_current(command.holder):
            return Rejected(ErrorKind.CONFLICT, "a later incarnation of the host is registered")
        if existing is None or existing.attempt_id != command.attempt_id:
            intent = _Intent(
                IntentState.RUNNING, command.attempt_id, command.holder, b"", command.at, former
            )
            self._intent_by_request[request] = intent
        return IntentResult(IntentState.STARTED, command.attempt_id, command.holder, b"")

    def _may_start(self, existing: _Intent, command: RecordIntent) -> bool:
        if existing.attempt_id == command.attempt_id:
            return existing.state is IntentState.RUNNING
        # A delayed copy of an attempt that ended as not run must not start again, because its host
        # has already notified the caller that nothing ran.
        is_late = command.attempt_id in existing.former_attempts
        return existing.state is IntentState.NOT_RUN and not is_late

    def record_outcome(self, command: RecordOutcome) -> IntentResult | Rejected:
        """Record an attempt's outcome; a final outcome does not change."""
        request = (command.workspace, command.request_id)
        existing = self._intent_by_request.get(request)
        refusal = _check_outcome(existing, command)
        if refusal is not None or existing is None:
            return refusal or Rejected(
                ErrorKind.NOT_FOUND, "no intent is recorded for this request"
            )
        if existing.state not in _FINAL:
            self._intent_by_request[request] = existing._replace(
                state=command.state, answer=command.answer, at=command.at
            )
            self._answer_bytes += len(command.answer) - len(existing.answer)
            self._drop_oldest_answers()
        return self._result(self._intent_by_request[request])

    def _drop_oldest_answers(self) -> None:
        if self._answer_bytes <= MAX_STORED_ANSWER_BYTES:
            return
        for request, intent in self._intent_by_request.items():
            if self._answer_bytes <= MAX_STORED_ANSWER_BYTES // 2:
                return
            self._answer_bytes -= len(intent.answer)
            self._intent_by_request[request] = intent._replace(answer=b"")

    def find(self, query: IntentQuery) -> IntentResult:
        """Return the recorded state of a request."""
        intent = self._intent_by_request.get((query.workspace, query.request_id))
        if intent is None:
            return IntentResult(IntentState.NONE, "", Holder("", 0), b"")
        return self._result(intent)

    def _result(self, intent: _Intent) -> IntentResult:
        state = intent.state
        # A superseded incarnation no longer runs. How far its attempt got is unknown until its
        # delayed outcome arrives.
        if state is IntentState.RUNNING and not self._is_current(intent.holder):
            state = IntentState.UNKNOWN
        return IntentResult(state, intent.attempt_id, intent.holder, intent.answer)

    def close(self, through: float) -> None:
        """Remove the intents that last changed long before ``through``."""
        oldest = through - RETENTION_S
        self._intent_by_request = {
            request: intent
            for request, intent in self._intent_by_request.items()
            if intent.at >= oldest
        }
        self._answer_bytes = sum(len(kept.answer) for kept in self._intent_by_request.values())

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [[*request, *intent] for request, intent in self._intent_by_request.items()]

    def load(self, plain: list[Any]) -> None:
        """Replace the state with one that ``dump`` returned."""
        self._intent_by_request = {
            (workspace, request_id): _Intent(
                IntentState(state), attempt_id, Holder(*holder), answer, at, tuple(former)
            )
            for workspace, request_id, state, attempt_id, holder, answer, at, former in plain
        }
        self._answer_bytes = sum(len(kept.answer) for kept in self._intent_by_request.values())


def _check_outcome(existing: _Intent | None, command: RecordOutcome) -> Rejected | None:
    if command.state not in (*_FINAL, IntentState.UNKNOWN):
        remedy = "use done, unknown or not_run"
        return Rejected(
            ErrorKind.BAD_REQUEST, f"{command.state} is not an outcome", "state", remedy
        )
    if len(command.answer) > MAX_ANSWER_BYTES:
        remedy = f"store at most {MAX_ANSWER_BYTES} bytes"
        return Rejected(ErrorKind.TOO_LARGE, "the answer is too large", "answer", remedy)
    if existing is not None and existing.attempt_id != command.attempt_id:
        return Rejected(ErrorKind.CONFLICT, "another attempt holds the intent", "attempt_id")
    return None
