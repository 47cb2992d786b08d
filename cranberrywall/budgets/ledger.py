"""The ledger of a control host.

It is apart from the package's other names: entry hosts do not run it, and start sooner without it.
"""

from cranberrywall.budgets._ledger_ids import IdLimits
from cranberrywall.budgets._ledger_machine import LedgerMachine, LedgerSummary, make_ledger_machine
from cranberrywall.budgets._messages_holders import DECLARED_RATES, TRACKED_STARTS
from cranberrywall.budgets._totals import CreditUpdater

LEDGER_FEATURES = (DECLARED_RATES, TRACKED_STARTS)
"""Features of this build's ledgers that older builds lack."""

__all__ = [
    "LEDGER_FEATURES",
    "CreditUpdater",
    "IdLimits",
    "LedgerMachine",
    "LedgerSummary",
    "make_ledger_machine",
]
