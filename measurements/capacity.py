"""Work out the capacity table from what the other measurements gave.

It measures nothing itself: it reads ``out/measurements/*.json``, multiplies each slope by the
users' size in two years and compares with their limits. Where a figure is missing it names
the measurement to run and exits 1. ``--markdown`` prints the tables of ``docs/CAPACITY.md``.
"""

import sys
from collections.abc import Iterator, Sequence

import click

from measurements._capacity_parts import (
    Figures,
    Limit,
    MissingFigureError,
    Role,
    Sizes,
    Unit,
    count_limits,
)
from measurements._capacity_roles import make_roles
from measurements._figures import OUT, Figure, report_figures

HEAD = ("what", "slope", "measured by", "times", "gives", "limit", "within", "mechanism")
TEXT_FORMAT = "{:<58} {:>12} {:<46} {:>12} {:>20} {:>12} {:>6}"


@click.command()
@click.option("--markdown", is_flag=True, help="Print the tables of docs/CAPACITY.md.")
def main(markdown: bool) -> None:
    """Print each role's cost at the users' size, against its limits."""
    try:
        roles = make_roles(Figures(OUT), Sizes())
    except MissingFigureError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    for role in roles:
        click.echo(format_markdown(role) if markdown else format_text(role))
    if not markdown:
        report_figures("capacity", totals(roles))


def totals(roles: Sequence[Role]) -> dict[str, Figure]:
    """Return the totals of the roles, and how many limits are met."""
    entry, configuration, ledger, few_members, batched, console = roles
    limits, met = count_limits(roles)
    return {
        "entry_cpu_percent": entry.total(Unit.CORE),
        "entry_memory_mb": entry.total(Unit.MEMORY),
        "entry_kb_per_s": entry.total(Unit.TRAFFIC),
        "configuration_cpu_percent": configuration.total(Unit.CORE),
        "configuration_memory_mb": configuration.total(Unit.MEMORY),
        "ledger_cpu_percent": ledger.total(Unit.CORE),
        "ledger_memory_mb": ledger.total(Unit.MEMORY),
        "ledger_cpu_percent_3_members": few_members.total(Unit.CORE),
        "ledger_cpu_percent_3_members_batched": batched.total(Unit.CORE),
        "ledger_memory_mb_3_members": batched.total(Unit.MEMORY),
        "console_memory_mb": console.total(Unit.MEMORY),
        "limits": limits,
        "met": met,
    }


def format_markdown(role: Role) -> str:
    """Return a role's table as Markdown."""
    lines = [f"### {role.name}", "", f"| {' | '.join(HEAD)} |", "|---" * len(HEAD) + "|"]
    lines += [f"| {' | '.join(cells)} |" for cells in rows_of(role)]
    return "\n".join(lines) + "\n"


def format_text(role: Role) -> str:
    """Return a role's table as text, without the mechanisms."""
    lines = [role.name]
    lines += [TEXT_FORMAT.format(*cells[:-1]) for cells in (HEAD, *rows_of(role))]
    return "\n".join(lines) + "\n"


def rows_of(role: Role) -> Iterator[tuple[str, ...]]:
    """Return the cells of a role's parts, then of its totals."""
    for part in role.parts:
        limit, within = _verdict(part.value, part.unit, part.limit)
        slope, times = f"{part.slope:,.4g}", f"{part.times:,.4g}"
        gives = _quantity(part.value, part.unit)
        yield (part.what, slope, part.source, times, gives, limit, within, part.mechanism)
    for unit, bound in role.limit_by_unit.items():
        total = role.total(unit)
        limit, within = _verdict(total, unit, bound)
        yield (f"total, {unit}", "", "", "", _quantity(total, unit), limit, within, "")


def _verdict(value: float, unit: Unit, limit: Limit | None) -> tuple[str, str]:
    if limit is None:
        return "", ""
    bound = "at least " if limit.is_least else ""
    return bound + _quantity(limit.value, unit), "yes" if limit.holds(value) else "NO"


def _quantity(value: float, unit: Unit) -> str:
    """Return a value with its unit, to three digits.

    >>> _quantity(1234.5, Unit.TRAFFIC)
    '1,234 KB/s'
    >>> _quantity(0.0123456, Unit.CORE)
    '0.0123% of a core'
    """
    number = f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"
    return f"{number}{unit}" if unit is Unit.CORE else f"{number} {unit}"


if __name__ == "__main__":
    main()
