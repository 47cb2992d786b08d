"""Show the closing report: the sums, whether they add up, and a plot."""

import io
from collections import defaultdict

from aiohttp import web
from matplotlib.figure import Figure
from result import Err, Ok, Result

from cranberrywall.budgets import LedgerClient, make_ledger_client
from cranberrywall.budgets.messages import (
    ExceptionRow,
    ExceptionsQuery,
    PeriodsQuery,
    ReportQuery,
    ReportResult,
    ReportRow,
)
from cranberrywall.configuration import ConfigurationClient
from cranberrywall.console._pages import SECURITY_HEADERS, Pages
from cranberrywall.console._visits import Visit
from cranberrywall.control import ControlClient
from cranberrywall.errors import Refusal
from cranberrywall.runtime import Clock, Storage

TIMEOUT_S = 5.0
PAGE = 200
MOST_ROWS = 2_000
MOST_BARS = 25
BAR_INCHES = 0.3


class ReportPages:
    """Serve the closing report of the open period and of closed ones."""

    def __init__(
        self,
        control: ControlClient,
        configuration: ConfigurationClient,
        pages: Pages,
        clock: Clock,
        storage: Storage,
    ) -> None:
        self._control = control
        self._configuration = configuration
        self._pages = pages
        self._clock = clock
        self._storage = storage

    async def show(self, visit: Visit) -> web.StreamResponse:
        """Show one period's report."""
        period = visit.request.query.get("period", "")
        ledger = await self._ledger()
        if isinstance(ledger, Err):
            return self._pages.refusal(visit.session, ledger.err_value)
        rows = await self._rows(ledger.ok_value, period)
        if isinstance(rows, Err):
            return self._pages.refusal(visit.session, rows.err_value)
        return self._pages.page(
            visit.session,
            "report.html",
            period=period,
            periods=await self._closed_periods(ledger.ok_value),
            rows=rows.ok_value,
            wrong=[row.budget for row in rows.ok_value if not adds_up(row)],
            sums=_sums_by_unit(rows.ok_value),
            exceptions=await self._exceptions(ledger.ok_value, period),
        )

    async def plot(self, visit: Visit) -> web.StreamResponse:
        """Draw what each workspace was charged in a period."""
        ledger = await self._ledger()
        if isinstance(ledger, Err):
            return self._pages.refusal(visit.session, ledger.err_value)
        rows = await self._rows(ledger.ok_value, visit.request.query.get("period", ""))
        if isinstance(rows, Err):
            return self._pages.refusal(visit.session, rows.err_value)
        kept = rows.ok_value
        image = await self._storage.run_blocking(lambda: draw_charges(kept))
        return web.Response(body=image, content_type="image/svg+xml", headers=SECURITY_HEADERS)

    async def _ledger(self) -> Result[LedgerClient, Refusal]:
        result = await self._configuration.document()
        if isinstance(result, Err):
            return Err(result.err_value)
        return Ok(make_ledger_client(self._control, result.ok_value.document["ledger_groups"]))

    async def _rows(self, ledger: LedgerClient, period: str) -> Result[list[ReportRow], Refusal]:
        rows: list[ReportRow] = []
        for group in ledger.groups():
            after = ""
            while len(rows) < MOST_ROWS:
                query = ReportQuery(period, workspace="", after=after, limit=PAGE)
                result = await ledger.report(group, query, TIMEOUT_S)
                if isinstance(result, Err):
                    return Err(result.err_value)
                page: ReportResult = result.ok_value
                rows.extend(page.rows)
                after = page.next_after
                if not after:
                    break
        return Ok(sorted(rows))

    async def _exceptions(self, ledger: LedgerClient, period: str) -> list[ExceptionRow]:
        query = ExceptionsQuery(
            budget="",
            open_only=False,
            now=self._clock.wall(),
            after=0,
            limit=PAGE,
            period=period,
        )
        rows: list[ExceptionRow] = []
        for group in ledger.groups():
            result = await ledger.exceptions(group, query, TIMEOUT_S)
            if isinstance(result, Ok):
                rows.extend(result.ok_value.rows)
        return sorted(rows, key=lambda row: row.at)

    async def _closed_periods(self, ledger: LedgerClient) -> list[str]:
        query = PeriodsQuery(self._clock.wall())
        result = await ledger.periods(ledger.groups()[0], query, TIMEOUT_S)
        if isinstance(result, Err):
            return []
        return [closed.period for closed in result.ok_value.periods]


def adds_up(row: ReportRow) -> bool:
    """Say whether a budget's sums account for every amount that was credited."""
    charged = row.charged_before + row.charged + row.charged_after
    return row.credited == charged + row.outstanding + row.in_doubt + row.free


def draw_charges(rows: list[ReportRow]) -> bytes:
    """Return an SVG: the workspaces that were charged most, a panel for each unit."""
    charges: dict[str, dict[str, int]] = defaultdict(dict)
    for row in rows:
        for charge in row.by_workspace:
            charges[row.unit][charge.workspace] = charge.amount
    units = sorted(charges) or ["tokens"]
    bars = sum(min(MOST_BARS, len(charges[unit])) for unit in units)
    figure = Figure(figsize=(8, 1.2 * len(units) + BAR_INCHES * bars), layout="constrained")
    panels = figure.subplots(len(units), 1, squeeze=False)[:, 0]
    for unit, axes in zip(units, panels, strict=True):
        most = sorted(charges[unit].items(), key=lambda item: item[1])[-MOST_BARS:]
        axes.barh([name for name, _ in most], [amount for _, amount in most], color="#9b1c3f")
        axes.set_xlabel(f"{unit} charged")
        axes.spines[["top", "right"]].set_visible(False)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="svg")
    return buffer.getvalue()


def _sums_by_unit(rows: list[ReportRow]) -> dict[str, dict[str, int]]:
    sums: dict[str, dict[str, int]] = {}
    for row in rows:
        unit = sums.setdefault(row.unit, defaultdict(int))
        unit["credited"] += row.credited
        unit["charged"] += row.charged
        unit["outstanding"] += row.outstanding
        unit["in_doubt"] += row.in_doubt
        unit["free"] += row.free
    return sums
