"""Define the commands, queries and results of a ledger group.

Amounts are whole tokens or answered requests, as the budget's unit says. Times are
seconds since the Unix epoch, given by the proposer. Every command is idempotent: sent
again, it gets the first answer. A command that is refused gives ``Rejected``.

A ledger group keeps per budget ``credited``, ``charged`` and what each holder has
outstanding; ``free`` is ``credited - charged - outstanding`` and never negative.
"""

from enum import StrEnum
from typing import NamedTuple

from cranberrywall.links import MessageCodec


class Holder(NamedTuple):
    """Identify one run of one entry host; ``incarnation`` rises with each start."""

    host: str
    incarnation: int


class Credit(NamedTuple):
    """Add ``amount`` to a budget, once per ``change_id``; a new budget is made by it."""

    budget: str
    workspace: str
    unit: str
    amount: int
    change_id: str
    operator: str
    at: float


class Draw(NamedTuple):
    """Move up to ``amount`` (at least ``minimum``) from what is free to a holder.

    ``number`` starts at 1 and rises with each draw of this holder and budget. A holder
    has one draw on its way for a budget and sends it again until it is answered: the
    last number gets its first answer, a lower one is rejected as ``CONFLICT``.
    """

    budget: str
    holder: Holder
    number: int
    amount: int
    minimum: int
    at: float


class DrawResult(NamedTuple):
    """Give what was granted, with the ledger's sums after it.

    ``granted`` is 0 where less than ``minimum`` was free. ``outstanding`` is held by all
    holders, this one's grant included. ``holders`` counts those with an amount
    outstanding.
    """

    granted: int
    free: int
    outstanding: int
    credited: int
    charged: int
    holders: int = 0


class Return(NamedTuple):
    """Give ``amount`` of a holder's allotment back, once per ``number``.

    ``number`` starts at 1 and rises with each return of this holder and budget, one on
    its way at a time.
    """

    budget: str
    holder: Holder
    number: int
    amount: int
    at: float


class Charge(NamedTuple):
    """Charge one request's cost against a holder's allotment.

    ``number`` starts at 1 and rises by one with each charge of this holder and budget;
    charges may arrive out of order and may be sent by another host that keeps a copy.
    ``reserved_at`` decides the period. The ledger bills each ``request_id`` of a
    workspace once; a second one is recorded as a duplicate and its amount goes back to
    the holder that charged it.
    """

    budget: str
    workspace: str
    request_id: str
    number: int
    amount: int
    reserved_at: float


class ChargeBatch(NamedTuple):
    """Charge several requests of one holder in one command."""

    holder: Holder
    charges: tuple[Charge, ...]
    at: float


class ChargeOutcome(StrEnum):
    """Say what became of one charge.

    ``billed``: now or at its first arrival; the amount has left the holder's allotment.
    ``duplicate``: another charge of the request id was billed; the amount stays in the
    holder's allotment, to be spent again. ``in_doubt``: set aside for an operator; the
    amount has left the allotment. ``refused``: never to be billed (no such budget, or an
    impossible amount); resending does not help.
    """

    BILLED = "billed"
    DUPLICATE = "duplicate"
    IN_DOUBT = "in_doubt"
    REFUSED = "refused"


class ChargeBatchResult(NamedTuple):
    """List the outcomes in the order of the batch's charges."""

    outcomes: tuple[ChargeOutcome, ...]


class RegisterHolder(NamedTuple):
    """Announce a holder; each older incarnation of the host can no longer spend.

    The successor holds the host's bound addresses, so the older process has ended. It
    may neither draw nor take a transfer any more, but its late charges are still billed.
    ``delivered`` says that every charge and transfer that the older incarnations left (in
    the host's journal, or at its mirrors) has been sent: only then does their remainder
    come back. Send it again with ``delivered`` set once that is so.
    """

    holder: Holder
    delivered: bool
    at: float


class RegisterResult(NamedTuple):
    """Give the sum that came back, and what older incarnations still hold in this group."""

    released: int
    held: int


class ConfirmDead(NamedTuple):
    """Confirm that a host's incarnation can no longer spend; its remainder comes back.

    ``approver`` is another person than ``operator``.
    """

    holder: Holder
    operator: str
    approver: str
    at: float


class ConfirmDeadResult(NamedTuple):
    """Give the sum that came back, over the budgets of this group."""

    released: int


class Recall(NamedTuple):
    """Ask holders other than ``asker`` to return what they do not need, ``amount`` in all.

    Idle holders are asked first. It changes no sums: holders learn of it by
    ``RecallsQuery`` or from ``asker``, and answer by ``Return``.
    """

    budget: str
    asker: Holder
    amount: int
    at: float


class HeldAmount(NamedTuple):
    """Describe one holder's allotment; ``active_at`` is its last draw, return or charge."""

    holder: Holder
    outstanding: int
    active_at: float


class RecallResult(NamedTuple):
    """List the holders that were asked, each with the amount asked of it."""

    asked: tuple[HeldAmount, ...]


class Transfer(NamedTuple):
    """Move ``amount`` from one holder's allotment to another's, reported by either.

    The giver deducts and syncs first, under its ``giver_number`` (from 1, rising by one
    for each budget). The taker adds the amount under its own ``taker_number`` and reports
    before it charges against it; the giver reports with ``taker_number`` 0. Once either
    number is known, a second report changes nothing. A report that comes before the one
    of the transfer that funded it is refused as ``NOT_READY``: send it again later.
    """

    budget: str
    giver: Holder
    giver_number: int
    taker: Holder
    taker_number: int
    amount: int
    at: float


class TransferResult(NamedTuple):
    """Give the part of the amount that the ledger could move.

    It is less than the amount only where the giver's remainder had come back before, and
    the money is no longer free; the taker must drop the difference.
    """

    moved: int


class IntentState(StrEnum):
    """Say what is known of a request that may not be repeated.

    ``started`` is given to the one attempt that may send; ``none`` to a query for an id
    that was never recorded.
    """

    NONE = "none"
    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class RecordIntent(NamedTuple):
    """Record that ``attempt_id`` is about to send a request; the first one wins.

    ``budget`` only chooses the group. The winner's own resend gets ``STARTED`` again.
    After an outcome of ``NOT_RUN`` a new attempt may win.
    """

    budget: str
    workspace: str
    request_id: str
    attempt_id: str
    holder: Holder
    at: float


class RecordOutcome(NamedTuple):
    """Record what became of the winning attempt.

    ``state`` is ``DONE``, ``UNKNOWN`` or ``NOT_RUN``. ``answer`` is kept for later
    arrivals of the id; it is at most ``MAX_ANSWER_BYTES``. ``UNKNOWN`` may later become
    ``DONE`` or ``NOT_RUN``; the other two are final for the attempt.
    """

    budget: str
    workspace: str
    request_id: str
    attempt_id: str
    state: IntentState
    answer: bytes
    at: float


class IntentQuery(NamedTuple):
    """Ask what is known of a request id."""

    budget: str
    workspace: str
    request_id: str


class IntentResult(NamedTuple):
    """Say what is known of a request id; ``holder`` and ``attempt_id`` are the winner's."""

    state: IntentState
    attempt_id: str
    holder: Holder
    answer: bytes


class PlannedPeriod(NamedTuple):
    """Name a period that ends before ``through``."""

    period: str
    through: float


class PlanPeriods(NamedTuple):
    """Replace the plan of the periods to come, oldest first; each group gets the same.

    Without a plan, and after its last period, periods are calendar months in UTC, named
    ``2026-11``. An end that a charge was already booked by cannot change.
    """

    periods: tuple[PlannedPeriod, ...]
    operator: str
    at: float


class ClosePeriod(NamedTuple):
    """Close the period that ends before ``through``; each group gets the same command.

    A charge belongs to the period in which its reservation was made. ``through`` is the
    period's planned end, or any time after the last reservation that was charged. Closing
    the same period again with the same ``through`` gives the first answer.

    Asked as a query it changes nothing: the answer's digest is empty where the period
    could be closed. All groups are asked so before the first one is told to close, or one
    could close with an end that another must refuse.
    """

    period: str
    through: float
    operator: str
    at: float


class ClosePeriodResult(NamedTuple):
    """Give the closing's digest (XXH64, hex), which covers the earlier closing's digest."""

    digest: str


class ResolveDoubt(NamedTuple):
    """Decide an amount in doubt: bill it, or let it come back.

    ``approver`` is another person than ``operator``.
    """

    number: int
    bill: bool
    operator: str
    approver: str
    at: float


class BudgetQuery(NamedTuple):
    """Ask for one budget's sums and holders."""

    budget: str


class BudgetResult(NamedTuple):
    """Give one budget's sums; ``credited = charged + outstanding + in_doubt + free``."""

    budget: str
    unit: str
    credited: int
    charged: int
    outstanding: int
    in_doubt: int
    free: int
    held: tuple[HeldAmount, ...]


class RecallsQuery(NamedTuple):
    """Ask which of a holder's allotments were recalled."""

    holder: Holder


class RecalledAmount(NamedTuple):
    """Name an amount that a holder was asked to return."""

    budget: str
    amount: int


class RecallsResult(NamedTuple):
    """List what a holder was asked to return."""

    recalled: tuple[RecalledAmount, ...]


class ReportQuery(NamedTuple):
    """Ask for a page of the report: the open period, or the closed one named.

    ``workspace`` chooses one workspace; empty gives all. ``after`` is the last page's
    ``next_after``, empty at first. ``limit`` bounds the budgets on a page.
    """

    period: str
    workspace: str
    after: str
    limit: int


class ReportRow(NamedTuple):
    """Give one budget's sums, with what each of its workspaces was charged.

    ``credited = charged_before + charged + charged_after + outstanding + in_doubt + free``,
    where ``charged`` is the period's own, ``charged_before`` that of all earlier periods
    and ``charged_after`` what was already charged for reservations after its end.
    ``credits`` and ``credits_after`` are the parts of ``credited`` that came in this
    period, and after it.
    """

    budget: str
    unit: str
    credited: int
    credits: int
    charged_before: int
    charged: int
    charged_after: int
    outstanding: int
    in_doubt: int
    free: int
    by_workspace: tuple["WorkspaceCharge", ...]
    credits_after: int = 0


class WorkspaceCharge(NamedTuple):
    """Give what one workspace was charged on a budget in the period."""

    workspace: str
    amount: int
    requests: int


class ReportResult(NamedTuple):
    """Give a page of the report; ``next_after`` is empty on the last page.

    ``closed_at`` is 0 for the open period. ``digest`` is the closing's, else empty.
    """

    period: str
    through: float
    closed_at: float
    operator: str
    digest: str
    rows: tuple[ReportRow, ...]
    next_after: str


class PeriodsQuery(NamedTuple):
    """Ask for the closed periods that the group keeps, and for those that are open.

    The open ones are those that charges were booked to, and the one of ``now`` (seconds
    since the epoch).
    """

    now: float


class ClosedPeriod(NamedTuple):
    """Describe one closed period."""

    period: str
    through: float
    closed_at: float
    operator: str
    digest: str


class PeriodsResult(NamedTuple):
    """List the closed periods and the open ones, each oldest first."""

    periods: tuple[ClosedPeriod, ...]
    open_periods: tuple[PlannedPeriod, ...]


class ExceptionKind(StrEnum):
    """Name what is odd about an entry in the list of exceptions.

    ``duplicate``: a second charge of a request id, not billed. ``late_period``: billed
    after the period of its reservation was closed, and booked to the open one.
    ``forgotten_id``: so late that the ledger cannot tell whether its id was billed; set
    aside. ``unfunded``: it came after its holder's remainder came back and was spent
    elsewhere; billing it would overspend; set aside. ``number_reused``: its holder gave
    its number to another request before; set aside. ``dead_holder``: an older
    incarnation's allotment that waits for evidence. ``silent_holder``: an amount held by
    an incarnation that has not been heard for long.
    """

    DUPLICATE = "duplicate"
    LATE_PERIOD = "late_period"
    FORGOTTEN_ID = "forgotten_id"
    UNFUNDED = "unfunded"
    NUMBER_REUSED = "number_reused"
    DEAD_HOLDER = "dead_holder"
    SILENT_HOLDER = "silent_holder"


class ExceptionRow(NamedTuple):
    """Name one duplicate, late charge or amount in doubt, with its reason and way out.

    ``number`` is given to ``ResolveDoubt``; it is 0 where there is nothing to resolve.
    ``held`` is the part of ``amount`` that is set aside in the budget's sums. ``state`` is
    ``recorded``, ``open``, ``billed`` or ``released``.
    """

    number: int
    kind: ExceptionKind
    budget: str
    workspace: str
    request_id: str
    holder: Holder
    amount: int
    held: int
    at: float
    state: str
    reason: str
    remedy: str


class ExceptionsQuery(NamedTuple):
    """Ask for duplicates, late charges and amounts in doubt, oldest first.

    ``open_only`` leaves out what needs no decision. ``now`` (seconds since the epoch)
    decides which holders count as silent. ``after`` and ``limit`` page as in a report;
    holders are on the first page. ``period`` names a closed period, whose list is as it
    was at the closing; empty gives the present list.
    """

    budget: str
    open_only: bool
    now: float
    after: int
    limit: int
    period: str = ""


class ExceptionsResult(NamedTuple):
    """Give a page of exceptions; ``next_after`` is 0 on the last page.

    ``unnamed`` counts the duplicates beyond the bound on those that are kept by name.
    """

    rows: tuple[ExceptionRow, ...]
    next_after: int
    unnamed: int


class CreditsQuery(NamedTuple):
    """Ask for the top-ups of a budget that the ledger still keeps by name."""

    budget: str


class CreditsResult(NamedTuple):
    """List a budget's top-ups, oldest first."""

    credits: tuple[Credit, ...]


class HoldersQuery(NamedTuple):
    """Ask for each holder's sums over the group's budgets."""


class HolderSum(NamedTuple):
    """Give what one incarnation has outstanding over all budgets of the group.

    ``current`` is false for an incarnation that was succeeded. ``active_at`` is the last
    time that it was heard.
    """

    holder: Holder
    current: bool
    outstanding: int
    budgets: int
    active_at: float


class HoldersResult(NamedTuple):
    """List the holders."""

    holders: tuple[HolderSum, ...]


class SpendQuery(NamedTuple):
    """Ask for the spend by day of one workspace, or of all where it is empty."""

    workspace: str


class DaySpend(NamedTuple):
    """Give a workspace's charges on one day; ``day`` counts days (UTC) since the epoch."""

    workspace: str
    unit: str
    day: int
    amount: int
    requests: int


class SpendResult(NamedTuple):
    """List the spend by day and workspace, by the time of the reservation."""

    days: tuple[DaySpend, ...]


class Accepted(NamedTuple):
    """Say that a command was applied, now or at its first arrival."""


class Rejected(NamedTuple):
    """Say that a command was refused and changed nothing; ``kind`` is an ``ErrorKind``."""

    kind: str
    message: str
    field: str = ""
    remedy: str = ""


LEDGER_CODEC = MessageCodec(
    [
        Credit,
        Draw,
        DrawResult,
        Return,
        ChargeBatch,
        ChargeBatchResult,
        RegisterHolder,
        RegisterResult,
        ConfirmDead,
        ConfirmDeadResult,
        Recall,
        RecallResult,
        RecallsQuery,
        RecallsResult,
        Transfer,
        TransferResult,
        RecordIntent,
        RecordOutcome,
        IntentQuery,
        IntentResult,
        PlanPeriods,
        ClosePeriod,
        ClosePeriodResult,
        ResolveDoubt,
        BudgetQuery,
        BudgetResult,
        ReportQuery,
        ReportResult,
        PeriodsQuery,
        PeriodsResult,
        ExceptionsQuery,
        ExceptionsResult,
        CreditsQuery,
        CreditsResult,
        HoldersQuery,
        HoldersResult,
        SpendQuery,
        SpendResult,
        Accepted,
        Rejected,
    ]
)

MAX_ANSWER_BYTES = 65_536
"""The largest stored answer of a request that may not be repeated, in bytes."""

MAX_CHARGES_IN_BATCH = 1_000
"""The most charges that one ``ChargeBatch`` may carry."""
