"""Call ledger groups with typed messages, selected by budget."""

from typing import Any, TypeVar

from result import Err, Ok, Result

from cranberrywall.budgets import messages
from cranberrywall.budgets._messages_holders import DECLARED_RATES, TRACKED_STARTS
from cranberrywall.budgets.messages import LEDGER_CODEC
from cranberrywall.control import ControlClient, ledger_group, ledger_groups
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import MalformedMessageError

ResultT = TypeVar("ResultT")


class LedgerClient:
    """Send commands and queries to the group that stores a budget.

    ``timeout`` is in seconds. ``Err`` is the ledger's own refusal, or ``UNREACHABLE``,
    ``NOT_CURRENT`` or ``TIMEOUT`` if the call failed. After ``TIMEOUT`` the command may have been
    applied; it is idempotent and can be sent again unchanged.
    """

    def __init__(self, control: ControlClient, groups: int) -> None:
        self._control = control
        self._groups = groups

    def group(self, budget: str) -> str:
        """Return the name of the group that stores ``budget``."""
        return ledger_group(budget, self._groups)

    def groups(self) -> tuple[str, ...]:
        """Return the names of all ledger groups."""
        return ledger_groups(self._groups)

    async def credit(
        self, command: messages.Credit, timeout: float
    ) -> Result[messages.Accepted, Refusal]:
        """Add prepaid money to a budget."""
        return await self._propose(command.budget, command, messages.Accepted, timeout)

    async def raise_credits(
        self, group: str, command: messages.RaiseCredits, timeout: float
    ) -> Result[messages.Accepted, Refusal]:
        """Credit budgets of one group up to their totals."""
        return await self._propose_to(group, command, messages.Accepted, timeout)

    async def draw(
        self, command: messages.Draw, timeout: float
    ) -> Result[messages.DrawResult, Refusal]:
        """Draw from what is free."""
        return await self._propose(command.budget, command, messages.DrawResult, timeout)

    async def give_back(
        self, command: messages.Return, timeout: float
    ) -> Result[messages.Accepted, Refusal]:
        """Return a part of an allotment."""
        return await self._propose(command.budget, command, messages.Accepted, timeout)

    async def charge(
        self, command: messages.ChargeBatch, timeout: float
    ) -> Result[messages.ChargeBatchResult, Refusal]:
        """Charge a batch whose budgets all belong to one group."""
        budget = command.charges[0].budget
        return await self._propose(budget, command, messages.ChargeBatchResult, timeout)

    async def correct(
        self, group: str, command: messages.Corrections, timeout: float
    ) -> Result[messages.Accepted, Refusal]:
        """Correct open charges whose budgets all belong to one group."""
        return await self._propose_to(group, command, messages.Accepted, timeout)

    async def transfer(
        self, command: messages.Transfer, timeout: float
    ) -> Result[messages.TransferResult, Refusal]:
        """Report a transfer between two holders."""
        return await self._propose(command.budget, command, messages.TransferResult, timeout)

    async def transfer_batch(
        self, group: str, command: messages.TransferBatch, timeout: float
    ) -> Result[messages.TransferBatchResult, Refusal]:
        """Report transfers whose budgets all belong to one group."""
        return await self._propose_to(group, command, messages.TransferBatchResult, timeout)

    async def recall(
        self, command: messages.Recall, timeout: float
    ) -> Result[messages.RecallResult, Refusal]:
        """Ask other holders to return what they do not need."""
        return await self._propose(command.budget, command, messages.RecallResult, timeout)

    async def record_intent(
        self, command: messages.RecordIntent, timeout: float
    ) -> Result[messages.IntentResult, Refusal]:
        """Record the intent to send a request that may not be repeated."""
        return await self._propose(command.budget, command, messages.IntentResult, timeout)

    async def record_outcome(
        self, command: messages.RecordOutcome, timeout: float
    ) -> Result[messages.IntentResult, Refusal]:
        """Record the outcome of such a request; return what is recorded after that."""
        return await self._propose(command.budget, command, messages.IntentResult, timeout)

    async def intent(
        self, query: messages.IntentQuery, timeout: float
    ) -> Result[messages.IntentResult, Refusal]:
        """Return what is recorded of such a request."""
        return await self._query(self.group(query.budget), query, messages.IntentResult, timeout)

    async def budget(
        self, query: messages.BudgetQuery, timeout: float
    ) -> Result[messages.BudgetResult, Refusal]:
        """Read one budget's sums and holders."""
        return await self._query(self.group(query.budget), query, messages.BudgetResult, timeout)

    async def register(
        self, group: str, command: messages.RegisterHolder, timeout: float
    ) -> Result[messages.RegisterResult, Refusal]:
        """Register a holder at one group; send it to each of ``groups()``."""
        return await self._propose_to(group, command, messages.RegisterResult, timeout)

    async def declare_rates(
        self, group: str, command: messages.DeclareSpendRates, timeout: float
    ) -> Result[messages.Accepted, Refusal]:
        """Declare a holder's maximum rates of unreported spend to one group."""
        return await self._propose_to(group, command, messages.Accepted, timeout)

    async def supports_declared_rates(self, group: str, timeout: float) -> bool:
        """Return whether all members of one group store declared rates."""
        supported = await self._control.supports(group, DECLARED_RATES, timeout)
        return isinstance(supported, Ok) and supported.ok_value

    async def track_starts(
        self, group: str, command: messages.TrackStarts, timeout: float
    ) -> Result[messages.Accepted, Refusal]:
        """Let one group record which incarnations of a host it has heard of."""
        return await self._propose_to(group, command, messages.Accepted, timeout)

    async def supports_tracked_starts(self, group: str, timeout: float) -> Result[bool, Refusal]:
        """Return whether all members of one group apply ``TrackStarts``."""
        return await self._control.supports(group, TRACKED_STARTS, timeout)

    async def replica_holders(
        self, group: str, query: messages.ReplicaHoldersQuery, timeout: float
    ) -> Result[messages.ReplicaHoldersResult, Refusal]:
        """Return which peers a host's older incarnations named as replica holders."""
        return await self._query(group, query, messages.ReplicaHoldersResult, timeout)

    async def confirm_dead(
        self, group: str, command: messages.ConfirmDead, timeout: float
    ) -> Result[messages.ConfirmDeadResult, Refusal]:
        """Confirm to one group that an incarnation can no longer spend."""
        return await self._propose_to(group, command, messages.ConfirmDeadResult, timeout)

    async def close_period(
        self, group: str, command: messages.ClosePeriod, timeout: float
    ) -> Result[messages.ClosePeriodResult, Refusal]:
        """Close a period in one group; send it to each of ``groups()``."""
        return await self._propose_to(group, command, messages.ClosePeriodResult, timeout)

    async def check_closing(
        self, group: str, command: messages.ClosePeriod, timeout: float
    ) -> Result[messages.ClosePeriodResult, Refusal]:
        """Return whether one group can close a period; ask all groups before closing in any."""
        return await self._query(group, command, messages.ClosePeriodResult, timeout)

    async def resolve(
        self, group: str, command: messages.ResolveDoubt, timeout: float
    ) -> Result[messages.Accepted, Refusal]:
        """Decide an amount in doubt."""
        return await self._propose_to(group, command, messages.Accepted, timeout)

    async def recalls(
        self, group: str, query: messages.RecallsQuery, timeout: float
    ) -> Result[messages.RecallsResult, Refusal]:
        """Return which of a holder's allotments one group has recalled."""
        return await self._query(group, query, messages.RecallsResult, timeout)

    async def report(
        self, group: str, query: messages.ReportQuery, timeout: float
    ) -> Result[messages.ReportResult, Refusal]:
        """Read a page of one group's report."""
        return await self._query(group, query, messages.ReportResult, timeout)

    async def plan_periods(
        self, group: str, command: messages.PlanPeriods, timeout: float
    ) -> Result[messages.Accepted, Refusal]:
        """Plan future periods in one group; send it to each of ``groups()``."""
        return await self._propose_to(group, command, messages.Accepted, timeout)

    async def credits(
        self, query: messages.CreditsQuery, timeout: float
    ) -> Result[messages.CreditsResult, Refusal]:
        """List a budget's top-ups."""
        return await self._query(self.group(query.budget), query, messages.CreditsResult, timeout)

    async def holders(self, group: str, timeout: float) -> Result[messages.HoldersResult, Refusal]:
        """Read each holder's sums in one group."""
        return await self._query(group, messages.HoldersQuery(), messages.HoldersResult, timeout)

    async def periods(
        self, group: str, query: messages.PeriodsQuery, timeout: float
    ) -> Result[messages.PeriodsResult, Refusal]:
        """List one group's closed periods and the open one."""
        return await self._query(group, query, messages.PeriodsResult, timeout)

    async def exceptions(
        self, group: str, query: messages.ExceptionsQuery, timeout: float
    ) -> Result[messages.ExceptionsResult, Refusal]:
        """Read a page of one group's duplicates, late charges and amounts in doubt."""
        return await self._query(group, query, messages.ExceptionsResult, timeout)

    async def spend(
        self, group: str, query: messages.SpendQuery, timeout: float
    ) -> Result[messages.SpendResult, Refusal]:
        """Read one group's spend by day."""
        return await self._query(group, query, messages.SpendResult, timeout)

    async def _propose(
        self, budget: str, command: Any, result_type: type[ResultT], timeout: float
    ) -> Result[ResultT, Refusal]:
        return await self._propose_to(self.group(budget), command, result_type, timeout)

    async def _propose_to(
        self, group: str, command: Any, result_type: type[ResultT], timeout: float
    ) -> Result[ResultT, Refusal]:
        reply = await self._control.propose(group, LEDGER_CODEC.encode(command), timeout)
        return reply.and_then(lambda data: _decoded(data, result_type))

    async def _query(
        self, group: str, query: Any, result_type: type[ResultT], timeout: float
    ) -> Result[ResultT, Refusal]:
        reply = await self._control.query(group, LEDGER_CODEC.encode(query), timeout)
        return reply.and_then(lambda data: _decoded(data, result_type))


def make_ledger_client(control: ControlClient, groups: int) -> LedgerClient:
    """Return a client for ledgers that are spread over ``groups`` groups."""
    return LedgerClient(control, groups)


def _decoded(data: bytes, result_type: type[ResultT]) -> Result[ResultT, Refusal]:
    try:
        message = LEDGER_CODEC.decode(data)
    except MalformedMessageError as error:
        return Err(Refusal(ErrorKind.MALFORMED, f"cannot decode the ledger's answer: {error}"))
    if isinstance(message, messages.Rejected):
        kind = ErrorKind(message.kind)
        return Err(Refusal(kind, message.message, message.field, message.remedy))
    if not isinstance(message, result_type):
        name = type(message).__name__
        return Err(Refusal(ErrorKind.MALFORMED, f"unexpected answer of the ledger: {name}"))
    return Ok(message)
