"""Hold the parts of the capacity table: a measured slope, times a size, against a limit."""

import json
from collections.abc import Iterable, Sequence
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

DAY_S = 86_400.0


class Sizes(NamedTuple):
    """Hold the sizes that the users expect in two years; ``_s`` are a second, at the peak."""

    nodes: int = 1_700
    targets: int = 12_000
    requests_per_s: int = 50_000
    tokens_per_s: int = 15_000_000
    budgets: int = 680_000
    places: int = 13
    changes_per_day: int = 14_000
    failures_per_day: int = 260
    restarts_per_day: int = 1_100
    control_hosts: int = 31

    @property
    def changes_per_s(self) -> float:
        """Return the changes of configuration a second, on average."""
        return self.changes_per_day / DAY_S


class Unit(StrEnum):
    """Name what a part is counted in."""

    CORE = "% of a core"
    MEMORY = "MB"
    TRAFFIC = "KB/s"
    SECONDS = "s"
    HOSTS = "hosts"


class Limit(NamedTuple):
    """Bound a value, from above or, where ``is_least``, from below."""

    value: float
    is_least: bool = False

    def holds(self, value: float) -> bool:
        """Say whether ``value`` is within the limit."""
        return value >= self.value if self.is_least else value <= self.value


class Part(NamedTuple):
    """Describe one cost: ``slope`` of measurement ``source``, ``times`` a size.

    ``counts`` is false for what stands beside the role's total and is not in it.
    """

    what: str
    source: str
    slope: float
    times: float
    unit: Unit
    mechanism: str
    limit: Limit | None = None
    counts: bool = True

    @property
    def value(self) -> float:
        """Return the cost at the users' size, in ``unit``."""
        return self.slope * self.times


class Role(NamedTuple):
    """Hold one role's parts; the sum of those that count is bounded by ``limit_by_unit``."""

    name: str
    parts: Sequence[Part]
    limit_by_unit: dict[Unit, Limit]

    def total(self, unit: Unit) -> float:
        """Return the sum of the parts in ``unit`` that count and have no limit of their own."""
        return sum(part.value for part in self.parts if part.unit is unit and _is_summed(part))

    def verdicts(self) -> list[tuple[str, float, Unit, Limit]]:
        """Return each limited value of the role: totals first, then single parts."""
        totals = [
            (f"all of it, in {unit}", self.total(unit), unit, limit)
            for unit, limit in self.limit_by_unit.items()
        ]
        singles = [
            (part.what, part.value, part.unit, part.limit)
            for part in self.parts
            if part.limit is not None
        ]
        return totals + singles


def _is_summed(part: Part) -> bool:
    return part.counts and part.limit is None


class MissingFigureError(LookupError):
    """Say which measurement must run before the table can be made."""


class Figures:
    """Read what measurements have written; nothing stands in for a figure that is missing."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._by_measurement: dict[str, dict[str, float]] = {}

    def get(self, source: str) -> float:
        """Return the figure ``measurement.key``; raise ``MissingFigureError``."""
        measurement, _, key = source.partition(".")
        figures = self._read(measurement)
        if key not in figures:
            raise MissingFigureError(
                f"{measurement} gave no {key}: run `make measure NAME={measurement}` again"
            )
        return float(figures[key])

    def _read(self, measurement: str) -> dict[str, float]:
        if measurement not in self._by_measurement:
            path = self._folder / f"{measurement}.json"
            if not path.exists():
                # One run may write a file for each of its cases: routing_larger.json.
                name = "routing" if measurement.startswith("routing_") else measurement
                raise MissingFigureError(f"{path} is missing: run `make measure NAME={name}` first")
            self._by_measurement[measurement] = json.loads(path.read_text("utf-8"))
        return self._by_measurement[measurement]


def count_limits(roles: Iterable[Role]) -> tuple[int, int]:
    """Return how many limits there are, and how many are met."""
    verdicts = [limit.holds(value) for role in roles for _, value, _, limit in role.verdicts()]
    return len(verdicts), sum(verdicts)
