"""Keep intents in memory as a ledger group would, with faults to cause."""

from result import Err, Ok, Result

from cranberrywall.budgets.messages import (
    IntentResult,
    IntentState,
    RecordIntent,
    RecordOutcome,
)
from cranberrywall.errors import ErrorKind, Refusal


class MemoryIntents:
    """Let the first attempt of an id win; ``reachable`` false refuses, as without quorum."""

    def __init__(self) -> None:
        self.by_key: dict[tuple[str, str], IntentResult] = {}
        self.reachable = True
        self.loses_reply = False
        self.loses_intents = False

    async def record_intent(
        self, command: RecordIntent, timeout: float
    ) -> Result[IntentResult, Refusal]:
        if not self.reachable:
            return Err(Refusal(ErrorKind.TIMEOUT, "no quorum"))
        if self.loses_intents:
            return Err(Refusal(ErrorKind.TIMEOUT, "the command was lost"))
        key = (command.workspace, command.request_id)
        known = self.by_key.get(key)
        if known is None or known.state is IntentState.NOT_RUN:
            known = IntentResult(IntentState.RUNNING, command.attempt_id, command.holder, b"")
            self.by_key[key] = known
        if self.loses_reply:
            return Err(Refusal(ErrorKind.TIMEOUT, "the reply was lost"))
        own = known.attempt_id == command.attempt_id and known.state is IntentState.RUNNING
        return Ok(known._replace(state=IntentState.STARTED) if own else known)

    async def record_outcome(
        self, command: RecordOutcome, timeout: float
    ) -> Result[IntentResult, Refusal]:
        if not self.reachable:
            return Err(Refusal(ErrorKind.TIMEOUT, "no quorum"))
        key = (command.workspace, command.request_id)
        known = self.by_key.get(key)
        if known is None:
            return Err(Refusal(ErrorKind.NOT_FOUND, "no intent is recorded for this request"))
        if known.attempt_id != command.attempt_id:
            return Err(Refusal(ErrorKind.CONFLICT, "another attempt holds the intent"))
        known = known._replace(state=command.state, answer=command.answer)
        self.by_key[key] = known
        return Ok(known)


class HostIntents:
    """Reach the intents from one host until it dies."""

    def __init__(self, shared: MemoryIntents) -> None:
        self._shared = shared
        self.dead = False
        self.loses_intents = False

    async def record_intent(
        self, command: RecordIntent, timeout: float
    ) -> Result[IntentResult, Refusal]:
        if self.dead:
            return Err(Refusal(ErrorKind.TIMEOUT, "this host is dead"))
        if self.loses_intents:
            return Err(Refusal(ErrorKind.TIMEOUT, "the command was lost"))
        return await self._shared.record_intent(command, timeout)

    async def record_outcome(
        self, command: RecordOutcome, timeout: float
    ) -> Result[IntentResult, Refusal]:
        if self.dead:
            return Err(Refusal(ErrorKind.TIMEOUT, "this host is dead"))
        return await self._shared.record_outcome(command, timeout)
