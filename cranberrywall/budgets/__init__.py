"""Keep prepaid budgets: the ledger on control hosts, allotments on entry hosts."""

from cranberrywall.budgets._client import LedgerClient, make_ledger_client
from cranberrywall.budgets._interfaces import Allotments, Reservation, ReserveRequest
from cranberrywall.budgets.messages import LEDGER_CODEC

__all__ = [
    "LEDGER_CODEC",
    "Allotments",
    "LedgerClient",
    "Reservation",
    "ReserveRequest",
    "make_ledger_client",
]
