"""Define the commands, queries and results of a ledger group.

Amounts are whole tokens or answered requests, as the budget's unit says. Times are
seconds since the Unix epoch, given by the proposer. Every command is idempotent: sent
again, it gets the first answer. A command that is refused gives ``Rejected``.

A ledger group keeps per budget what was credited and charged, what each holder has
outstanding and what is in doubt; the rest is free, and never negative.
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
