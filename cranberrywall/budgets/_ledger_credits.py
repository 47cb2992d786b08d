"""Credit each top-up once.

Top-ups are kept by their change id over two closings. An older one that arrives again is
refused by its time instead of being credited twice.
"""

import sys
from typing import Any

from cranberrywall.budgets.messages import Credit


class Credits:
    """Hold the top-ups since the closing before the last."""

    def __init__(self) -> None:
        self._credit_by_change: dict[str, Credit] = {}
        self._last_closing = 0.0
        self.floor = 0.0

    def find(self, change_id: str) -> Credit | None:
        """Return the top-up with this change id."""
        return self._credit_by_change.get(change_id)

    def add(self, credit: Credit) -> None:
        """Keep a top-up that was applied."""
        self._credit_by_change[credit.change_id] = _sharing_names(credit)

    def of_budget(self, budget: str) -> tuple[Credit, ...]:
        """Return a budget's top-ups that are still kept, in the order of arrival."""
        return tuple(one for one in self._credit_by_change.values() if one.budget == budget)

    def close(self, through: float) -> None:
        """Forget the top-ups from before the last closing."""
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
        """Replace the state by one that ``dump`` gave."""
        self.floor, self._last_closing, credits = plain
        kept = (_sharing_names(Credit(*credit)) for credit in credits)
        self._credit_by_change = {credit.change_id: credit for credit in kept}


def _sharing_names(credit: Credit) -> Credit:
    """Return an equal credit whose names are shared, since each stands in many of them."""
    return credit._replace(
        budget=sys.intern(credit.budget),
        workspace=sys.intern(credit.workspace),
        unit=sys.intern(credit.unit),
        operator=sys.intern(credit.operator),
    )
