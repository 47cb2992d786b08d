"""State of a ledger group and its snapshot format."""

import gc
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from cranberrywall.budgets._closing_calendar import Calendar, MovedEnd
from cranberrywall.budgets._closing_records import Closings
from cranberrywall.budgets._closing_spend import SpendByDay
from cranberrywall.budgets._ledger_accounts import Account, load_account
from cranberrywall.budgets._ledger_credits import Credits
from cranberrywall.budgets._ledger_exceptions import Exceptions
from cranberrywall.budgets._ledger_holders import Holders
from cranberrywall.budgets._ledger_ids import ChargeIds, IdLimits
from cranberrywall.budgets._ledger_intents import Intents
from cranberrywall.budgets.messages import Holder

_VERSION = 5
"""Version number of the format of ledger snapshots."""

_VERSION_WITHOUT_STARTS = 4
"""Version of the format as long as no host's starts are tracked; older builds can load it."""

_VERSION_WITHOUT_RATES = 3
"""Version of the format as long as no holder has declared rates; older builds can load it."""

_VERSIONS_WITHOUT_CLOCKS = (1, 2)
"""Versions of the format in which contacts lack clocks; they can still be loaded."""


class LedgerState:
    """All parts of the state; each part dumps and loads itself for the snapshot."""

    def __init__(self, limits: IdLimits) -> None:
        self.account_by_budget: dict[str, Account] = {}
        self.holders = Holders()
        self.ids = ChargeIds(limits)
        self.credits = Credits()
        self.exceptions = Exceptions()
        self.intents = Intents(self.holders.is_current)
        self.calendar = Calendar()
        self.closings = Closings()
        self.spend = SpendByDay()
        self._sorted_budgets: list[str] = []
        # Index of the recalled allotments: every holder polls for its recalls, so a query must not
        # scan all budgets. The index is derived from the accounts and is not part of the snapshot.
        self._recalled_by_holder: dict[Holder, set[str]] = {}

    def record_recall(self, budget: str, holder: Holder) -> None:
        """Record that a holder was asked to return a part of its allotment."""
        self._recalled_by_holder.setdefault(holder, set()).add(budget)

    def recalled_budgets(self, holder: Holder) -> list[str]:
        """Return the sorted budgets of which the holder was asked to return a part."""
        return sorted(self._recalled_by_holder.get(holder, ()))

    def end_recall(self, budget: str, holder: Holder) -> None:
        """Record that a holder has returned the recalled amount."""
        budgets = self._recalled_by_holder.get(holder, set())
        budgets.discard(budget)
        if not budgets:
            self._recalled_by_holder.pop(holder, None)

    def remove_recalls(self, holder: Holder) -> None:
        """Remove the recalls of a released holder."""
        self._recalled_by_holder.pop(holder, None)

    def sorted_budgets(self) -> list[str]:
        """Return the sorted names of the budgets; the list is cached until one is added."""
        if len(self._sorted_budgets) != len(self.account_by_budget):
            self._sorted_budgets = sorted(self.account_by_budget)
        return self._sorted_budgets

    def apply_moved_end(self, moved: MovedEnd | None) -> None:
        """Change the end of an open period in every account, if it moved."""
        if moved is None:
            return
        for account in self.account_by_budget.values():
            account.move_period_end(moved.old, moved.new)

    def _parts(self) -> list[Any]:
        return [
            self.holders,
            self.ids,
            self.credits,
            self.exceptions,
            self.intents,
            self.calendar,
            self.closings,
            self.spend,
        ]

    def dump(self) -> bytes:
        """Return the full state as bytes."""
        with _garbage_collection_suspended():
            parts = [part.dump() for part in self._parts()]
            accounts = [[name, account.dump()] for name, account in self.account_by_budget.items()]
            return msgspec.msgpack.encode([self._version(), parts, accounts])

    def _version(self) -> int:
        """Return the lowest version of the format that has all that is recorded."""
        if self.holders.has_tracked_starts:
            return _VERSION
        return (
            _VERSION_WITHOUT_STARTS if self.holders.has_declared_rates else _VERSION_WITHOUT_RATES
        )

    def load(self, data: bytes) -> None:
        """Replace the state with one that ``dump`` returned; raise ``ValueError`` on others."""
        with _garbage_collection_suspended():
            version, parts, accounts = msgspec.msgpack.decode(data)
            if version in _VERSIONS_WITHOUT_CLOCKS:
                # Contacts in older versions lack the clocks that are needed to bound the time
                # without contact, so they are discarded; nothing is freed because of them.
                records = parts[0][0] if version > 1 else parts[0]
                parts[0] = [records, [], [[], []]]
            elif version not in (_VERSION, _VERSION_WITHOUT_STARTS, _VERSION_WITHOUT_RATES):
                raise ValueError(f"unsupported version {version} of a ledger snapshot")
            for part, plain in zip(self._parts(), parts, strict=True):
                part.load(plain)
            self.account_by_budget = {
                sys.intern(name): load_account(plain, self.holders.intern_holder)
                for name, plain in accounts
            }
            for budget, account in self.account_by_budget.items():
                for holder, allotment in account.allotment_by_holder.items():
                    if allotment.recalled:
                        self.record_recall(budget, holder)


@contextmanager
def _garbage_collection_suspended() -> Iterator[None]:
    """Suspend the garbage collector, which would scan the full state many times.

    A snapshot creates millions of small objects and no cycles. With the collector enabled it takes
    five times as long, and the group is blocked during that time.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
