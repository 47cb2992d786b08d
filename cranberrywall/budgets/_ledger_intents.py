"""Let a request that may not be repeated be sent by one attempt only.

Intents are kept until a period closes that ends ``KEPT_S`` after their last change, so
that no clock that jumps can make the ledger forget one. While ``MAX_INTENTS`` are kept,
new ones are refused, and the caller is told truly that its request was not run.
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

KEPT_S = 7 * 86_400.0
"""How long before a closing's end an intent must have changed last to be forgotten."""

MAX_INTENTS = 100_000
"""The most intents that one group keeps."""

MAX_ANSWERS_BYTES = 64 * 1024 * 1024
"""The most bytes of stored answers; beyond it the oldest answers are dropped."""

_FINAL = (IntentState.DONE, IntentState.NOT_RUN)


class _Intent(NamedTuple):
    state: IntentState
    attempt_id: str
    holder: Holder
    answer: bytes
    at: float
    former_attempts: tuple[str, ...]


class Intents:
    """Hold what is known of each request that may not be repeated."""

    def __init__(self, is_current: Callable[[Holder], bool]) -> None:
        self._is_current = is_current
        self._intent_by_request: dict[tuple[str, str], _Intent] = {}
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Return the number of intents that are kept."""
        return len(self._intent_by_request)

    def record(self, command: RecordIntent) -> IntentResult | Rejected:
        """Let the first attempt start; tell any other what is known."""
        request = (command.workspace, command.request_id)
        known = self._intent_by_request.get(request)
        if known is not None and not self._may_start(known, command):
            return self._result(known)
        former = () if known is None else (*known.former_attempts, known.attempt_id)
        if known is None and len(self._intent_by_request) >= MAX_INTENTS:
            remedy = "close a period, so that old ids are forgotten"
            return Rejected(ErrorKind.OVERLOADED, "too many ids are kept", "request_id", remedy)
        if not self._is_current(command.holder):
            return Rejected(ErrorKind.CONFLICT, "a later incarnation of the host is known")
        if known is None or known.attempt_id != command.attempt_id:
            intent = _Intent(
                IntentState.RUNNING, command.attempt_id, command.holder, b"", command.at, former
            )
            self._intent_by_request[request] = intent
        return IntentResult(IntentState.STARTED, command.attempt_id, command.holder, b"")

    def _may_start(self, known: _Intent, command: RecordIntent) -> bool:
        if known.attempt_id == command.attempt_id:
            return known.state is IntentState.RUNNING
        # A late copy of an attempt that had ended as not run must not start again: its
        # host has told its caller so.
        is_late = command.attempt_id in known.former_attempts
        return known.state is IntentState.NOT_RUN and not is_late

    def resend_pending(self, command: RecordOutcome) -> IntentResult | Rejected:
        """Record an outcome; a final one does not change."""
        request = (command.workspace, command.request_id)
        known = self._intent_by_request.get(request)
        refusal = _refusal(known, command)
        if refusal is not None or known is None:
            return refusal or Rejected(ErrorKind.NOT_FOUND, "no intent was recorded")
        if known.state not in _FINAL:
            self._intent_by_request[request] = known._replace(
                state=command.state, answer=command.answer, at=command.at
            )
            self._answer_bytes += len(command.answer) - len(known.answer)
            self._drop_old_answers()
        return self._result(self._intent_by_request[request])

    def _drop_old_answers(self) -> None:
        if self._answer_bytes <= MAX_ANSWERS_BYTES:
            return
        for request, intent in self._intent_by_request.items():
            if self._answer_bytes <= MAX_ANSWERS_BYTES // 2:
                return
            self._answer_bytes -= len(intent.answer)
            self._intent_by_request[request] = intent._replace(answer=b"")

    def find(self, query: IntentQuery) -> IntentResult:
        """Return what is known of a request."""
        known = self._intent_by_request.get((query.workspace, query.request_id))
        if known is None:
            return IntentResult(IntentState.NONE, "", Holder("", 0), b"")
        return self._result(known)

    def _result(self, known: _Intent) -> IntentResult:
        state = known.state
        # An incarnation that was succeeded cannot be running any more; nobody knows how
        # far it came, until its late outcome arrives.
        if state is IntentState.RUNNING and not self._is_current(known.holder):
            state = IntentState.UNKNOWN
        return IntentResult(state, known.attempt_id, known.holder, known.answer)

    def close(self, through: float) -> None:
        """Forget intents that last changed long before ``through``."""
        oldest = through - KEPT_S
        self._intent_by_request = {
            request: intent
            for request, intent in self._intent_by_request.items()
            if intent.at >= oldest
        }
        self._answer_bytes = sum(len(one.answer) for one in self._intent_by_request.values())

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [[*request, *intent] for request, intent in self._intent_by_request.items()]

    def load(self, plain: list[Any]) -> None:
        """Replace the state by one that ``dump`` gave."""
        self._intent_by_request = {
            (workspace, request_id): _Intent(
                IntentState(state), attempt_id, Holder(*holder), answer, at, tuple(former)
            )
            for workspace, request_id, state, attempt_id, holder, answer, at, former in plain
        }
        self._answer_bytes = sum(len(one.answer) for one in self._intent_by_request.values())


def _refusal(known: _Intent | None, command: RecordOutcome) -> Rejected | None:
    if command.state not in (*_FINAL, IntentState.UNKNOWN):
        remedy = "give done, unknown or not_run"
        return Rejected(ErrorKind.BAD_REQUEST, f"{command.state} is no outcome", "state", remedy)
    if len(command.answer) > MAX_ANSWER_BYTES:
        remedy = f"store at most {MAX_ANSWER_BYTES} bytes"
        return Rejected(ErrorKind.TOO_LARGE, "the answer is too large", "answer", remedy)
    if known is not None and known.attempt_id != command.attempt_id:
        return Rejected(ErrorKind.CONFLICT, "another attempt holds the intent", "attempt_id")
    return None
