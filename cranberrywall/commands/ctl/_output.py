"""Print answers as tables for people or as JSON for programs."""

import sys
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

import click
import msgspec

from cranberrywall.observability import to_plain

Row = Sequence[object]


def print_json(value: object) -> None:
    """Print one JSON document; named tuples become mappings."""
    text = msgspec.json.format(msgspec.json.encode(to_plain(value)), indent=2)
    click.echo(text.decode())


def print_table(headers: Sequence[str], rows: Sequence[Row]) -> None:
    """Print rows under headers; numbers stand to the right."""
    click.echo(format_table(headers, rows), nl=False)


def format_table(headers: Sequence[str], rows: Sequence[Row]) -> str:
    """Return the lines of a table.

    >>> print(format_table(["budget", "free"], [["desk", 5], ["gate", 1200]]), end="")
    budget  free
    desk       5
    gate    1200
    """
    cells = [[str(cell) for cell in row] for row in rows]
    lines = [list(headers), *cells]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headers))]
    is_number = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(headers))
    ]
    return "".join(_format_line(line, widths, is_number) for line in lines)


def _format_line(cells: Sequence[str], widths: Sequence[int], is_number: Sequence[bool]) -> str:
    padded = [
        cell.rjust(width) if number else cell.ljust(width)
        for cell, width, number in zip(cells, widths, is_number, strict=True)
    ]
    return "  ".join(padded).rstrip() + "\n"


def format_time(at: float) -> str:
    """Return seconds since the epoch as people read them; ``-`` for 0.

    >>> format_time(1796083200.0), format_time(0.0)
    ('2026-12-01 00:00:00Z', '-')
    """
    if not 0 < at < float("inf"):
        return "-"
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def show_progress(text: str) -> None:
    """Say on a terminal how far long work has come; say nothing to programs."""
    if sys.stderr.isatty():
        click.echo(text, err=True)


def print_answer(is_json: bool, value: Any, text: str) -> None:
    """Print ``value`` as JSON, or ``text`` for people."""
    if is_json:
        print_json(value)
    else:
        click.echo(text)
