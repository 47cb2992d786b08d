"""Commands, queries and results of a ledger group.

Amounts are whole tokens or answered requests, depending on the budget's unit. Times are in seconds
since the Unix epoch and are set by the proposer. Every command is idempotent: if it is sent again,
it gets the first answer. The answer to a rejected command is ``Rejected``.

For each budget, a ledger group stores what was credited and charged, what each holder has
outstanding, and what is in doubt. The rest is free, and is never negative.
"""

from typing import NamedTuple

from cranberrywall.budgets._messages_closing import (
    ClosedPeriod,
    ClosePeriod,
    ClosePeriodResult,
    DaySpend,
    PeriodsQuery,
    PeriodsResult,
    PlannedPeriod,
    PlanPeriods,
    ReportQuery,
    ReportResult,
    ReportRow,
    SpendQuery,
    SpendResult,
    WorkspaceCharge,
)
from cranberrywall.budgets._messages_exceptions import (
    ExceptionKind,
    ExceptionRow,
    ExceptionsQuery,
    ExceptionsResult,
    ResolveDoubt,
)
from cranberrywall.budgets._messages_holders import (
    ConfirmDead,
    ConfirmDeadResult,
    Contact,
    Evidence,
    HeldAmount,
    Holder,
    HoldersQuery,
    HoldersResult,
    HolderSum,
    RegisterHolder,
    RegisterResult,
)
from cranberrywall.budgets._messages_intents import (
    MAX_ANSWER_BYTES,
    IntentQuery,
    IntentResult,
    IntentState,
    RecordIntent,
    RecordOutcome,
)
from cranberrywall.budgets._messages_money import (
    MAX_CHARGES_IN_BATCH,
    MAX_TRANSFERS_IN_BATCH,
    BudgetQuery,
    BudgetResult,
    BudgetTotal,
    Charge,
    ChargeBatch,
    ChargeBatchResult,
    ChargeOutcome,
    Correction,
    Corrections,
    Credit,
    CreditsQuery,
    CreditsResult,
    Draw,
    DrawResult,
    RaiseCredits,
    Recall,
    RecalledAmount,
    RecallResult,
    RecallsQuery,
    RecallsResult,
    Return,
    Transfer,
    TransferBatch,
    TransferBatchResult,
    TransferOutcome,
    TransferResult,
)
from cranberrywall.links import MessageCodec

__all__ = [
    "LEDGER_CODEC",
    "MAX_ANSWER_BYTES",
    "MAX_CHARGES_IN_BATCH",
    "Accepted",
    "BudgetQuery",
    "BudgetResult",
    "BudgetTotal",
    "Charge",
    "ChargeBatch",
    "ChargeBatchResult",
    "ChargeOutcome",
    "ClosePeriod",
    "ClosePeriodResult",
    "ClosedPeriod",
    "ConfirmDead",
    "ConfirmDeadResult",
    "Contact",
    "Correction",
    "Corrections",
    "Credit",
    "CreditsQuery",
    "CreditsResult",
    "DaySpend",
    "Draw",
    "DrawResult",
    "Evidence",
    "ExceptionKind",
    "ExceptionRow",
    "ExceptionsQuery",
    "ExceptionsResult",
    "HeldAmount",
    "Holder",
    "HolderSum",
    "HoldersQuery",
    "HoldersResult",
    "IntentQuery",
    "IntentResult",
    "IntentState",
    "PeriodsQuery",
    "PeriodsResult",
    "PlanPeriods",
    "PlannedPeriod",
    "RaiseCredits",
    "Recall",
    "RecallResult",
    "RecalledAmount",
    "RecallsQuery",
    "RecallsResult",
    "RecordIntent",
    "RecordOutcome",
    "RegisterHolder",
    "RegisterResult",
    "Rejected",
    "ReportQuery",
    "ReportResult",
    "ReportRow",
    "ResolveDoubt",
    "Return",
    "SpendQuery",
    "SpendResult",
    "MAX_TRANSFERS_IN_BATCH",
    "Transfer",
    "TransferBatch",
    "TransferBatchResult",
    "TransferOutcome",
    "TransferResult",
    "WorkspaceCharge",
]


class Accepted(NamedTuple):
    """Result of a command that was applied, now or at its first arrival."""


class Rejected(NamedTuple):
    """Result of a command that was rejected and changed nothing; ``kind`` is an ``ErrorKind``."""

    kind: str
    message: str
    field: str = ""
    remedy: str = ""


LEDGER_CODEC = MessageCodec(
    [
        Credit,
        RaiseCredits,
        Draw,
        DrawResult,
        Return,
        ChargeBatch,
        ChargeBatchResult,
        Corrections,
        RegisterHolder,
        RegisterResult,
        ConfirmDead,
        ConfirmDeadResult,
        Recall,
        RecallResult,
        RecallsQuery,
        RecallsResult,
        Transfer,
        TransferBatch,
        TransferBatchResult,
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
