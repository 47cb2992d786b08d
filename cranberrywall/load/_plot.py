"""Draw a run's times over its course."""

from pathlib import Path

from matplotlib.figure import Figure

from cranberrywall.load._outcomes import OutcomeKind
from cranberrywall.load._report import Report


def write_plot(report: Report, path: Path) -> None:
    """Write a PNG: time to the first token by arrival, one colour a part of the mix."""
    figure = Figure(figsize=(9, 4.5), layout="tight")
    axes = figure.subplots()
    for name in report.mixes:
        answered = [
            outcome
            for outcome in report.outcomes
            if outcome.planned.mix == name and outcome.kind is OutcomeKind.ANSWERED
        ]
        axes.scatter(
            [outcome.planned.at for outcome in answered],
            [outcome.first_token_s * 1000 for outcome in answered],
            s=6,
            label=name,
        )
    others = [outcome for outcome in report.outcomes if outcome.kind is not OutcomeKind.ANSWERED]
    axes.scatter(
        [outcome.planned.at for outcome in others],
        [outcome.total_s * 1000 for outcome in others],
        s=20,
        marker="x",
        color="black",
        label="not answered",
    )
    axes.set_xlabel("seconds after the start")
    axes.set_ylabel("milliseconds to the first token")
    axes.set_yscale("log")
    axes.legend(loc="upper right", fontsize="small")
    axes.grid(visible=True, alpha=0.3)
    figure.savefig(path, dpi=110)
