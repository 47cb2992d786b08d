"""Top-ups that were applied, so that each is credited once.

Top-ups are stored by change id until the second closing after them. An older one that arrives again
is rejected because of its time, and so is not credited twice.
"""

import sys
from typing import Any

from cranberrywall.budgets.messages import Credit


class Credits:
    """Top-ups dated at or after the closing before the last one."""

    def __init__(self) -> None:
        self._credit_by_change: dict[str, Credit] = {}
        self._last_closing = 0.0
        self.floor = 0.0

    def find(self, change_id: str) -> Credit | None:
        """Return the top-up with this change id, or ``None``."""
        return self._credit_by_change.get(change_id)

    def add(self, credit: Credit) -> None:
        """Store a top-up that was applied."""
        self._credit_by_change[credit.change_id] = _intern_names(credit)

    def of_budget(self, budget: str) -> tuple[Credit, ...]:
        """Return a budget's stored top-ups in the order of arrival."""
        return tuple(
            credit for credit in self._credit_by_change.values() if credit.budget == budget
        )

    def close(self, through: float) -> None:
        """Remove the top-ups from before the previous closing."""
        self.floor = self._last_closing
        self._last_closing = through
        self._credit_by_change = {
            change_id: credit
            for change_id, credit in self._credit_by_change.items()
            if credit.at >= self.floor
        }

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [self.floor, self._last_closing, list(self._credit_by_change.values())]

    def load(self, plain: list[Any]) -> None:
        """Replace the state with one that ``dump`` returned."""
        self.floor, self._last_closing, credits = plain
        interned = (_intern_names(Credit(*credit)) for credit in credits)
        self._credit_by_change = {credit.change_id: credit for credit in interned}


def _intern_names(credit: Credit) -> Credit:
    """Return an equal credit with interned names, because each name occurs in many credits."""
    return credit._replace(
        budget=sys.intern(credit.budget),
        workspace=sys.intern(credit.workspace),
        unit=sys.intern(credit.unit),
        operator=sys.intern(credit.operator),
    )
