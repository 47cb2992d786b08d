"""Sum up a run: histograms, a table and a CSV."""

import csv
import io
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from cranberrywall.load._outcomes import Outcome, OutcomeKind

LONGEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000
TABLE_WIDTH = 160

_COLUMNS_TEXT = """
    number at_s mix workspace idempotency_key outcome code tries first_token_ms between_ms
    total_ms tokens
    """
CSV_COLUMNS = tuple(_COLUMNS_TEXT.split())


class Report(NamedTuple):
    """Hold the sums of one run; ``mixes`` are by name, ``all`` is the whole."""

    all: "MixReport"
    mixes: dict[str, "MixReport"]
    outcomes: Sequence[Outcome]

    def table(self) -> str:
        """Return the summary as a table for people."""
        return _format_table(self)

    def csv(self) -> str:
        """Return one line a request."""
        return _format_csv(self.outcomes)


class MixReport:
    """Sum up the outcomes of one part of the mix; times are kept in microseconds."""

    def __init__(self) -> None:
        self.count_by_kind: Counter[OutcomeKind] = Counter()
        self.count_by_code: Counter[str] = Counter()
        self.retries = 0
        self.first_token = _make_histogram()
        self.between = _make_histogram()
        self.total = _make_histogram()

    def add(self, outcome: Outcome) -> None:
        """Count one outcome; times are those of answered requests."""
        self.count_by_kind[outcome.kind] += 1
        self.retries += outcome.tries - 1
        if outcome.code:
            self.count_by_code[outcome.code] += 1
        if outcome.kind is not OutcomeKind.ANSWERED:
            return
        _record(self.first_token, outcome.first_token_s)
        _record(self.total, outcome.total_s)
        if outcome.between_s > 0:
            _record(self.between, outcome.between_s)

    @property
    def sent(self) -> int:
        """Return how many requests ended, in whatever way."""
        return self.count_by_kind.total()

    def percentile_ms(self, histogram: HdrHistogram, percentile: float) -> float:
        """Return a percentile in milliseconds; 0 where nothing was recorded."""
        return float(histogram.get_value_at_percentile(percentile)) / US_PER_MS


def make_report(outcomes: Iterable[Outcome]) -> Report:
    """Sum up the outcomes of a run."""
    kept = list(outcomes)
    whole = MixReport()
    mixes: dict[str, MixReport] = {}
    for outcome in kept:
        whole.add(outcome)
        mixes.setdefault(outcome.planned.mix, MixReport()).add(outcome)
    return Report(whole, dict(sorted(mixes.items())), kept)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)


def _record(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(max(1, min(LONGEST_US, round(seconds * US_PER_S))))


def _format_table(report: Report) -> str:
    table = Table(caption="Times are in milliseconds, of answered requests.")
    for column in ("mix", "sent", *OutcomeKind, "retries"):
        table.add_column(column, justify="left" if column == "mix" else "right", no_wrap=True)
    for column in ("first p50", "first p95", "between p95", "total p95", "total p99"):
        table.add_column(column, justify="right", no_wrap=True)
    for name, mix in [*report.mixes.items(), ("all", report.all)]:
        table.add_row(name, *_cells(mix))
    buffer = io.StringIO()
    console = Console(file=buffer, width=TABLE_WIDTH, color_system=None)
    console.print(table)
    for code, count in sorted(report.all.count_by_code.items()):
        console.print(f"{code}: {count}")
    return buffer.getvalue()


def _cells(mix: MixReport) -> list[str]:
    times = [
        mix.percentile_ms(mix.first_token, 50),
        mix.percentile_ms(mix.first_token, 95),
        mix.percentile_ms(mix.between, 95),
        mix.percentile_ms(mix.total, 95),
        mix.percentile_ms(mix.total, 99),
    ]
    counts = [mix.sent, *(mix.count_by_kind[kind] for kind in OutcomeKind), mix.retries]
    return [*(str(count) for count in counts), *(f"{time:.1f}" for time in times)]


def _format_csv(outcomes: Sequence[Outcome]) -> str:
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(CSV_COLUMNS)
    for outcome in sorted(outcomes, key=lambda outcome: outcome.planned.number):
        writer.writerow(_csv_row(outcome))
    return buffer.getvalue()


def _csv_row(outcome: Outcome) -> list[str | int]:
    planned = outcome.planned
    return [
        planned.number,
        f"{planned.at:.4f}",
        planned.mix,
        planned.workspace,
        planned.idempotency_key,
        outcome.kind.value,
        outcome.code,
        outcome.tries,
        f"{outcome.first_token_s * 1000:.2f}",
        f"{outcome.between_s * 1000:.2f}",
        f"{outcome.total_s * 1000:.2f}",
        outcome.cost,
    ]
