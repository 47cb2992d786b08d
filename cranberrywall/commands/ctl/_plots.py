"""Draw what was spent by day."""

from collections.abc import Sequence
from datetime import UTC, datetime

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from cranberrywall.budgets.messages import DaySpend

_DAY_S = 86_400
_MOST_SERIES = 9


def write_spend_plot(path: str, days: Sequence[DaySpend]) -> None:
    """Write a PNG with one chart a unit; each bar is a day, stacked by workspace."""
    units = sorted({day.unit for day in days}) or ["tokens"]
    figure = Figure(figsize=(10, 4 * len(units)), layout="constrained")
    charts = figure.subplots(len(units), 1, squeeze=False)[:, 0]
    for chart, unit in zip(charts, units, strict=True):
        _draw(chart, unit, [day for day in days if day.unit == unit])
    figure.savefig(path, format="png", dpi=100)


def _draw(chart: Axes, unit: str, days: Sequence[DaySpend]) -> None:
    chart.set_title(f"Spend by day (UTC), in {unit}")
    if not days:
        return
    amount_by_series = _series(days)
    # Days without spend are drawn as well: the axis is time.
    numbers = range(min(day.day for day in days), max(day.day for day in days) + 1)
    labels = [datetime.fromtimestamp(day * _DAY_S, UTC).strftime("%m-%d") for day in numbers]
    base = [0] * len(numbers)
    for name, amount_by_day in amount_by_series.items():
        amounts = [amount_by_day.get(day, 0) for day in numbers]
        chart.bar(labels, amounts, bottom=base, label=name)
        base = [below + amount for below, amount in zip(base, amounts, strict=True)]
    chart.set_ylabel(unit)
    chart.tick_params(axis="x", rotation=60)
    chart.legend(fontsize="small")


def _series(days: Sequence[DaySpend]) -> dict[str, dict[int, int]]:
    """Return amounts by workspace and day; the smaller workspaces are summed as one."""
    total_by_workspace: dict[str, int] = {}
    for day in days:
        total_by_workspace[day.workspace] = total_by_workspace.get(day.workspace, 0) + day.amount
    ranked = sorted(total_by_workspace, key=lambda name: (-total_by_workspace[name], name))
    named = set(ranked[:_MOST_SERIES])
    series: dict[str, dict[int, int]] = {name: {} for name in ranked[:_MOST_SERIES]}
    for day in days:
        amounts = series.setdefault(day.workspace if day.workspace in named else "others", {})
        amounts[day.day] = amounts.get(day.day, 0) + day.amount
    return series
