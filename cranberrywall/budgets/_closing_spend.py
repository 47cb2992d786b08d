"""Spend of each workspace by day, for the report's plot."""

from typing import Any

from cranberrywall.budgets.messages import DaySpend

_DAY_S = 86_400

RETENTION_DAYS = 400
"""Number of days before a closing's end that are stored."""


class SpendByDay:
    """Amounts and requests by workspace, unit and day (UTC) of the reservation."""

    def __init__(self) -> None:
        self._sums_by_key: dict[tuple[str, str, int], tuple[int, int]] = {}

    def add(self, workspace: str, unit: str, amount: int, reserved_at: float) -> None:
        """Add one billed request."""
        key = (workspace, unit, int(reserved_at // _DAY_S))
        spent, requests = self._sums_by_key.get(key, (0, 0))
        self._sums_by_key[key] = (spent + amount, requests + 1)

    def refund(self, workspace: str, unit: str, amount: int, reserved_at: float) -> None:
        """Subtract a refunded part of a billed request."""
        key = (workspace, unit, int(reserved_at // _DAY_S))
        spent, requests = self._sums_by_key.get(key, (0, 0))
        self._sums_by_key[key] = (max(0, spent - amount), requests)

    def days(self, workspace: str) -> tuple[DaySpend, ...]:
        """Return the sums of one workspace, or of all if ``workspace`` is empty."""
        rows = [DaySpend(*key, *sums) for key, sums in sorted(self._sums_by_key.items())]
        return tuple(row for row in rows if workspace in ("", row.workspace))

    def close(self, through: float) -> None:
        """Remove the days that are more than ``RETENTION_DAYS`` before ``through``."""
        oldest = int(through // _DAY_S) - RETENTION_DAYS
        self._sums_by_key = {
            key: sums for key, sums in self._sums_by_key.items() if key[2] >= oldest
        }

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [[*key, *sums] for key, sums in self._sums_by_key.items()]

    def load(self, plain: list[Any]) -> None:
        """Replace the state with one that ``dump`` returned."""
        self._sums_by_key = {
            (workspace, unit, day): (amount, requests)
            for workspace, unit, day, amount, requests in plain
        }
