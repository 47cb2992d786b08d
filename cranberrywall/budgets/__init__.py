"""Prepaid budgets: the ledger on control hosts and allotments on entry hosts."""

from cranberrywall.budgets._allotments import make_allotments
from cranberrywall.budgets._bounds import (
    BoundFigures,
    InputBounds,
    InputSize,
    make_input_bounds,
)
from cranberrywall.budgets._client import LedgerClient, make_ledger_client
from cranberrywall.budgets._interfaces import (
    Allotments,
    BudgetAssignment,
    EntryHost,
    HostAllotments,
    PeerHost,
    Peers,
    Policies,
    Reservation,
    ReserveRequest,
    SpendPolicy,
)
from cranberrywall.budgets._ledger_ids import IdLimits
from cranberrywall.budgets._ledger_machine import LedgerMachine, LedgerSummary, make_ledger_machine
from cranberrywall.budgets._totals import CreditUpdater
from cranberrywall.budgets.messages import LEDGER_CODEC, BudgetTotal

__all__ = [
    "LEDGER_CODEC",
    "Allotments",
    "BoundFigures",
    "BudgetTotal",
    "CreditUpdater",
    "EntryHost",
    "HostAllotments",
    "BudgetAssignment",
    "IdLimits",
    "InputBounds",
    "InputSize",
    "LedgerClient",
    "LedgerMachine",
    "LedgerSummary",
    "PeerHost",
    "Peers",
    "Policies",
    "Reservation",
    "ReserveRequest",
    "SpendPolicy",
    "make_allotments",
    "make_input_bounds",
    "make_ledger_client",
    "make_ledger_machine",
]
