"""Send load as a profile describes it, and report what came back."""

import secrets
import sys
from pathlib import Path

import click
import uvloop
from result import Err

from cranberrywall.load import (
    OutcomeKind,
    PlannedRequest,
    Profile,
    make_plan,
    make_report,
    read_profile,
    run_load,
    write_plot,
)
from cranberrywall.runtime import make_clock, make_random
from standins import check_answer

EXIT_BAD_PROFILE = 2
EXIT_LOST = 1


@click.command()
@click.argument("profile", type=click.Path(exists=True, dir_okay=False))
@click.option("--entry", "entries", multiple=True, help="URL of an entry host; replaces those.")
@click.option("--seed", type=int, help="Replaces the profile's seed.")
@click.option("--duration-s", type=float, help="Replaces the profile's duration_s.")
@click.option("--rate", type=float, help="Replaces the profile's arrivals.rate.")
@click.option("--run", default="", help="Begins each Idempotency-Key; random by default.")
@click.option("--check-standins", is_flag=True, help="Check answers word for word.")
@click.option("--check", is_flag=True, help="Check the profile, send nothing.")
@click.option("--csv", "csv_path", type=click.Path(), help="One line a request.")
@click.option("--plot", type=click.Path(), help="Write a PNG of the times.")
def main(
    profile: str,
    entries: tuple[str, ...],
    seed: int | None,
    duration_s: float | None,
    rate: float | None,
    run: str,
    check_standins: bool,
    check: bool,
    csv_path: str | None,
    plot: str | None,
) -> None:
    """Send the load of PROFILE and print a summary.

    Exits 1 where an answer was lost or wrong, and 2 where the profile is not valid.
    """
    chosen = _read(Path(profile))
    _override(chosen, entries, seed, duration_s, rate)
    if check:
        click.echo(f"{profile}: ok")
        return
    plan = make_plan(chosen, run or secrets.token_hex(4))
    checker = check_planned if check_standins else None
    outcomes = uvloop.run(run_load(chosen, plan, make_clock(), make_random(), checker))
    report = make_report(outcomes)
    click.echo(report.table(), nl=False)
    if csv_path is not None:
        Path(csv_path).write_text(report.csv())
    if plot is not None:
        write_plot(report, Path(plot))
    counts = report.all.count_by_kind
    if counts[OutcomeKind.LOST] or counts[OutcomeKind.WRONG]:
        sys.exit(EXIT_LOST)


def check_planned(planned: PlannedRequest, text: str) -> bool:
    """Compare an answer with what the stand-ins give to this request."""
    return check_answer(planned.method, planned.path, planned.body, text)


def _read(path: Path) -> Profile:
    result = read_profile(path.read_text())
    if isinstance(result, Err):
        refusal = result.err_value
        click.echo(f"{path}: {refusal.field}: {refusal.message}; {refusal.remedy}", err=True)
        sys.exit(EXIT_BAD_PROFILE)
    return result.ok_value


def _override(
    profile: Profile,
    entries: tuple[str, ...],
    seed: int | None,
    duration_s: float | None,
    rate: float | None,
) -> None:
    if entries:
        profile["entries"] = list(entries)
    if seed is not None:
        profile["seed"] = seed
    if duration_s is not None:
        profile["duration_s"] = duration_s
    if rate is not None:
        profile["arrivals"]["rate"] = rate


if __name__ == "__main__":
    main()
