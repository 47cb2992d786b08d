"""Bundle the parts of a ledger group's state."""

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

_VERSION = 3
_VERSIONS_WITHOUT_SILENCES = (1, 2)


class LedgerState:
    """Hold every part; each dumps and loads itself for the snapshot."""

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
        # Every holder asks again and again what was recalled, so that must not cost a
        # walk over all budgets. It follows from the accounts and is in no snapshot.
        self._recalled_by_holder: dict[Holder, set[str]] = {}

    def note_recall(self, budget: str, holder: Holder) -> None:
        """Note that a holder was asked to return a part of its allotment."""
        self._recalled_by_holder.setdefault(holder, set()).add(budget)

    def recalled_budgets(self, holder: Holder) -> list[str]:
        """Return the budgets of which a holder was asked to return a part, in order."""
        return sorted(self._recalled_by_holder.get(holder, ()))

    def end_recall(self, budget: str, holder: Holder) -> None:
        """Note that a holder has returned what it was asked for."""
        budgets = self._recalled_by_holder.get(holder, set())
        budgets.discard(budget)
        if not budgets:
            self._recalled_by_holder.pop(holder, None)

    def forget_holder(self, holder: Holder) -> None:
        """Note that a holder was released."""
        self._recalled_by_holder.pop(holder, None)

    def sorted_budgets(self) -> list[str]:
        """Return the budgets' names in order; the list is kept until one is added."""
        if len(self._sorted_budgets) != len(self.account_by_budget):
            self._sorted_budgets = sorted(self.account_by_budget)
        return self._sorted_budgets

    def rebook(self, moved: MovedEnd | None) -> None:
        """Change the end of an open period in every account, where it moved."""
        if moved is None:
            return
        for account in self.account_by_budget.values():
            account.rebook(moved.old, moved.new)

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
        """Return the whole state as bytes."""
        with _without_collection():
            parts = [part.dump() for part in self._parts()]
            accounts = [[name, account.dump()] for name, account in self.account_by_budget.items()]
            return msgspec.msgpack.encode([_VERSION, parts, accounts])

    def load(self, data: bytes) -> None:
        """Replace the whole state by one that ``dump`` gave; raise ``ValueError`` on another."""
        with _without_collection():
            version, parts, accounts = msgspec.msgpack.decode(data)
            if version in _VERSIONS_WITHOUT_SILENCES:
                # What older versions noted of contacts bounds no silence: nothing is freed by it.
                records = parts[0][0] if version > 1 else parts[0]
                parts[0] = [records, [], [[], []]]
            elif version != _VERSION:
                raise ValueError(f"a ledger snapshot of version {version} is not readable")
            for part, plain in zip(self._parts(), parts, strict=True):
                part.load(plain)
            self.account_by_budget = {
                sys.intern(name): load_account(plain, self.holders.one) for name, plain in accounts
            }
            for budget, account in self.account_by_budget.items():
                for holder, allotment in account.allotment_by_holder.items():
                    if allotment.recalled:
                        self.note_recall(budget, holder)


@contextmanager
def _without_collection() -> Iterator[None]:
    """Put off the garbage collector, which would walk the whole state many times.

    A snapshot makes millions of small objects and no cycles. With the collector at work
    it takes five times as long, and the group stands still meanwhile.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
