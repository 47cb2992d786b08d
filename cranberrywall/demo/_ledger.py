"""Set a fleet up, and read its bills, over the streams between processes."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Any, NamedTuple, TypeVar

from result import Ok, Result

from cranberrywall.budgets import LedgerClient, make_ledger_client
from cranberrywall.budgets.messages import (
    Credit,
    ExceptionsQuery,
    ExceptionsResult,
    ReportQuery,
    ReportResult,
    ReportRow,
)
from cranberrywall.configuration import ConfigurationClient, Document, edits_between, empty_document
from cranberrywall.control import make_control_client
from cranberrywall.demo._files import FleetFiles
from cranberrywall.links import LinkCaller, Peer, make_caller
from cranberrywall.runtime import Clock, make_clock, make_network, make_random

CALL_TIMEOUT_S = 5.0
RETRY_S = 0.1
PAGE = 100
OPERATOR = "demo"
ResultT = TypeVar("ResultT")


class Billed(NamedTuple):
    """Hold what a workspace was billed, in its budget's unit, and for how many requests."""

    amount: int = 0
    requests: int = 0


class Totals(NamedTuple):
    """Hold a whole fleet's bills: every budget's row, and the duplicates that were named."""

    rows: tuple[ReportRow, ...]
    duplicates: int

    @property
    def billed_requests(self) -> int:
        """Return how many requests were billed."""
        return sum(charge.requests for row in self.rows for charge in row.by_workspace)

    @property
    def overspend(self) -> int:
        """Return by how much what is spent or held exceeds what was credited, in all."""
        return sum(max(0, _spent_or_held(row) - row.credited) for row in self.rows)

    def by_workspace(self) -> dict[str, Billed]:
        """Return what each workspace was billed."""
        return {
            charge.workspace: Billed(charge.amount, charge.requests)
            for row in self.rows
            for charge in row.by_workspace
        }


class FleetClient:
    """Act as an operator of one fleet; every call is tried until its time is over."""

    def __init__(self, caller: LinkCaller, clock: Clock, files: FleetFiles) -> None:
        self._caller = caller
        self._clock = clock
        control = make_control_client(caller, clock, files.control_links())
        self._configuration = ConfigurationClient(control, CALL_TIMEOUT_S)
        self._ledger: LedgerClient = make_ledger_client(control, files.document["ledger_groups"])

    async def commit(self, document: Document, max_wait_s: float) -> int:
        """Commit the first document; return its revision."""
        edits = edits_between(empty_document(), document)
        at = self._clock.wall()

        async def change() -> Result[int, Any]:
            result = await self._configuration.change(edits, 0, "demo-first", OPERATOR, at)
            return result.map(lambda revision: revision.number)

        return await self._persist(change, max_wait_s)

    async def credit(
        self, document: Document, amount_by_budget: Mapping[str, int], max_wait_s: float
    ) -> None:
        """Credit each budget once."""
        for budget, amount in amount_by_budget.items():
            credit = Credit(
                budget=budget,
                workspace=_workspace_of(document, budget),
                unit=document["budgets"][budget]["unit"],
                amount=amount,
                change_id=f"demo-{budget}",
                operator=OPERATOR,
                at=self._clock.wall(),
            )
            await self._persist(partial(self._ledger.credit, credit, CALL_TIMEOUT_S), max_wait_s)

    async def totals(self, max_wait_s: float) -> Totals:
        """Read every group's open report and exceptions."""
        rows: list[ReportRow] = []
        duplicates = 0
        for group in self._ledger.groups():
            rows.extend(await self._rows(group, max_wait_s))
            duplicates += await self._duplicates(group, max_wait_s)
        return Totals(tuple(rows), duplicates)

    async def close(self) -> None:
        """Close the streams."""
        await self._caller.close()

    async def _rows(self, group: str, max_wait_s: float) -> list[ReportRow]:
        rows: list[ReportRow] = []
        after = ""
        while True:
            query = ReportQuery(period="", workspace="", after=after, limit=PAGE)
            page: ReportResult = await self._persist(
                partial(self._ledger.report, group, query, CALL_TIMEOUT_S), max_wait_s
            )
            rows.extend(page.rows)
            after = page.next_after
            if not after:
                return rows

    async def _duplicates(self, group: str, max_wait_s: float) -> int:
        named = 0
        after = 0
        while True:
            query = ExceptionsQuery(
                budget="", open_only=False, now=self._clock.wall(), after=after, limit=PAGE
            )
            page: ExceptionsResult = await self._persist(
                partial(self._ledger.exceptions, group, query, CALL_TIMEOUT_S), max_wait_s
            )
            named += sum(row.kind == "duplicate" for row in page.rows)
            after = page.next_after
            if not after:
                return named + page.unnamed

    async def _persist(
        self, call: Callable[[], Awaitable[Result[ResultT, Any]]], max_wait_s: float
    ) -> ResultT:
        # Every command and query here may be sent again: after a start or a lost leader
        # the groups need a moment to elect one.
        until = self._clock.now() + max_wait_s
        while True:
            result = await call()
            if isinstance(result, Ok):
                return result.ok_value
            if self._clock.now() > until:
                raise TimeoutError(str(result.err_value))
            await asyncio.sleep(RETRY_S)


def make_fleet_client(files: FleetFiles) -> FleetClient:
    """Return an operator's client of a fleet; call it in a running event loop."""
    clock = make_clock()
    me = Peer("operator", "", int(clock.wall() * 1000))
    caller = make_caller(make_network(), clock, make_random(), files.keys.fleet, me)
    return FleetClient(caller, clock, files)


def _workspace_of(document: Document, budget: str) -> str:
    return next(
        name for name, workspace in document["workspaces"].items() if workspace["budget"] == budget
    )


def _spent_or_held(row: ReportRow) -> int:
    charged = row.charged_before + row.charged + row.charged_after
    return charged + row.outstanding + row.in_doubt
