"""The ledger of a control host.

It is apart from the package's other names: entry hosts do not run it, and start sooner without it.
"""

from cranberrywall.budgets._ledger_ids import IdLimits
from cranberrywall.budgets._ledger_machine import LedgerMachine, LedgerSummary, make_ledger_machine
from cranberrywall.budgets._totals import CreditUpdater

__all__ = [
    "CreditUpdater",
    "IdLimits",
    "LedgerMachine",
    "LedgerSummary",
    "make_ledger_machine",
]
