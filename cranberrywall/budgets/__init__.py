"""Prepaid budgets: ``allotments`` on entry hosts, and the ``ledger`` on control hosts."""

from cranberrywall.budgets._bounds import (
    BoundFigures,
    InputBounds,
    InputSize,
    make_input_bounds,
)
from cranberrywall.budgets._charge_replication import out_of_reach
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
from cranberrywall.budgets.messages import LEDGER_CODEC, BudgetTotal

__all__ = [
    "LEDGER_CODEC",
    "Allotments",
    "BoundFigures",
    "BudgetTotal",
    "EntryHost",
    "HostAllotments",
    "BudgetAssignment",
    "InputBounds",
    "InputSize",
    "LedgerClient",
    "PeerHost",
    "Peers",
    "Policies",
    "Reservation",
    "ReserveRequest",
    "SpendPolicy",
    "make_input_bounds",
    "make_ledger_client",
    "out_of_reach",
]
