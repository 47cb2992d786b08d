"""Run every measurement, one after another, and write one summary.

``python -m measurements.everything`` runs each module of this package whose name does not
begin with an underscore, as ``python -m measurements.NAME``. It keeps each one's output and
writes ``out/measurements/summary.md``: the command, the seconds, the exit status and the last
line. It exits 1 where a measurement failed.
"""

import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import click

from measurements._figures import OUT

PACKAGE = Path(__file__).parent
LONGEST_S = 300.0
TIMED_OUT = 124
SUMMARY = "summary.md"
READ_OTHERS = ("capacity",)


class Run(NamedTuple):
    """Hold one measurement's run; ``last_line`` is what it printed last."""

    name: str
    seconds: float
    status: int
    last_line: str


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Run the measurements NAMES, or all of them."""
    OUT.mkdir(parents=True, exist_ok=True)
    runs: list[Run] = []
    for name in names or measurement_names():
        run = run_measurement(name)
        click.echo(f"{name} ({run.seconds:.0f} s, exit status {run.status}): {run.last_line}")
        runs.append(run)
    (OUT / SUMMARY).write_text(format_summary(runs), "utf-8")
    if any(run.status for run in runs):
        sys.exit(1)


def measurement_names() -> list[str]:
    """Return the names of all measurements, sorted, those last that read others' figures."""
    names = (path.stem for path in PACKAGE.glob("*.py"))
    found = (name for name in names if not name.startswith("_") and name != "everything")
    return sorted(found, key=lambda name: (name in READ_OTHERS, name))


def run_measurement(name: str) -> Run:
    """Run one measurement to its end, or for ``LONGEST_S`` seconds at most."""
    started_at = time.monotonic()
    command = [sys.executable, "-m", f"measurements.{name}"]
    try:
        ended = subprocess.run(
            command, capture_output=True, text=True, timeout=LONGEST_S, check=False
        )
        status, output = ended.returncode, ended.stdout
        if status:
            output += ended.stderr
    except subprocess.TimeoutExpired:
        status, output = TIMED_OUT, f"not ended after {LONGEST_S:.0f} s"
    (OUT / f"{name}.txt").write_text(output, "utf-8")
    lines = output.strip().splitlines()
    return Run(name, time.monotonic() - started_at, status, lines[-1] if lines else "")


def format_summary(runs: Sequence[Run]) -> str:
    """Return the summary as a Markdown table.

    >>> print(format_summary([Run("billing", 12.0, 0, "billed=3 double=0")]), end="")
    | measurement | command | s | exit status | last line |
    |---|---|---|---|---|
    | billing | `python -m measurements.billing` | 12 | 0 | billed=3 double=0 |
    """
    lines = ["| measurement | command | s | exit status | last line |", "|---|---|---|---|---|"]
    for run in runs:
        command = f"`python -m measurements.{run.name}`"
        cells = [run.name, command, f"{run.seconds:.0f}", str(run.status), run.last_line]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    main()
