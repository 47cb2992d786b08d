"""Show budgets with their money, and top them up."""

import asyncio
import secrets

from aiohttp import web
from result import Err, Ok, Result

from cranberrywall.budgets import LedgerClient, make_ledger_client
from cranberrywall.budgets.messages import (
    BudgetQuery,
    BudgetResult,
    Credit,
    ExceptionsQuery,
    ExceptionsResult,
)
from cranberrywall.configuration import ConfigurationClient
from cranberrywall.configuration.messages import DocumentAt
from cranberrywall.console._audit import Audit, AuditEntry
from cranberrywall.console._changes import ANSWER_LOST_KINDS
from cranberrywall.console._pages import Pages, go_to
from cranberrywall.console._paging import page_names
from cranberrywall.console._visits import Visit
from cranberrywall.control import ControlClient
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Clock

TIMEOUT_S = 5.0
MOST_EXCEPTIONS = 200
MOST_TOP_UP = 10**15


class BudgetPages:
    """Serve the budgets' pages."""

    def __init__(
        self,
        control: ControlClient,
        configuration: ConfigurationClient,
        audit: Audit,
        pages: Pages,
        clock: Clock,
    ) -> None:
        self._control = control
        self._configuration = configuration
        self._audit = audit
        self._pages = pages
        self._clock = clock

    async def show_all(self, visit: Visit) -> web.StreamResponse:
        """List budgets with their sums, a page at a time."""
        seen = await self._configuration.document()
        if isinstance(seen, Err):
            return self._pages.refusal(visit.session, seen.err_value)
        ledger = _ledger(self._control, seen.ok_value)
        budgets = seen.ok_value.document["budgets"]
        page = page_names(visit.request, budgets)
        units = [budgets[name]["unit"] for name in page.names]
        sums = await asyncio.gather(
            *(self._sums(ledger, name, unit) for name, unit in zip(page.names, units, strict=True))
        )
        rows = list(zip(page.names, units, sums, strict=True))
        return self._pages.page(visit.session, "budgets.html", page=page, rows=rows)

    async def show(self, visit: Visit) -> web.StreamResponse:
        """Show one budget: its sums, its holders, its exceptions and the top-up form."""
        return await self._show(visit, "", "", f"console-{secrets.token_hex(12)}", 200)

    async def top_up(self, visit: Visit) -> web.StreamResponse:
        """Preview a top-up, or carry it out."""
        amount = _amount(visit.field("amount"))
        change_id = visit.field("change_id")
        if isinstance(amount, Err):
            typed = visit.field("amount")
            return await self._show(visit, amount.err_value.message, typed, change_id, 400)
        seen = await self._configuration.document()
        if isinstance(seen, Err):
            return self._pages.refusal(visit.session, seen.err_value)
        budget = seen.ok_value.document["budgets"].get(visit.part("name"))
        if budget is None:
            return self._no_budget(visit)
        unit = budget["unit"]
        if visit.field("step") == "apply":
            return await self._apply(visit, seen.ok_value, unit, amount.ok_value, change_id)
        return await self._preview(visit, seen.ok_value, unit, amount.ok_value, change_id)

    async def _preview(
        self, visit: Visit, seen: DocumentAt, unit: str, amount: int, change_id: str
    ) -> web.StreamResponse:
        name = visit.part("name")
        sums = await self._sums(_ledger(self._control, seen), name, unit)
        if isinstance(sums, Err):
            return self._pages.refusal(visit.session, sums.err_value)
        return self._pages.page(
            visit.session,
            "topup.html",
            name=name,
            sums=sums.ok_value,
            amount=amount,
            change_id=change_id,
            lost=None,
        )

    async def _show(
        self, visit: Visit, problem: str, typed: str, change_id: str, status: int
    ) -> web.StreamResponse:
        seen = await self._configuration.document()
        if isinstance(seen, Err):
            return self._pages.refusal(visit.session, seen.err_value)
        name = visit.part("name")
        budget = seen.ok_value.document["budgets"].get(name)
        if budget is None:
            return self._no_budget(visit)
        ledger = _ledger(self._control, seen.ok_value)
        sums = await self._sums(ledger, name, budget["unit"])
        if isinstance(sums, Err):
            return self._pages.refusal(visit.session, sums.err_value)
        exceptions = await self._exceptions(ledger, name)
        return self._pages.page(
            visit.session,
            "budget.html",
            status,
            sums=sums.ok_value,
            exceptions=exceptions.ok_value.rows if isinstance(exceptions, Ok) else [],
            workspaces=_workspaces(seen.ok_value, name),
            problem=problem,
            typed=typed,
            change_id=change_id,
        )

    def _no_budget(self, visit: Visit) -> web.StreamResponse:
        message = f"There is no budget {visit.part('name')}."
        return self._pages.message(visit.session, "Not found", message, status=404)

    async def _apply(
        self, visit: Visit, seen: DocumentAt, unit: str, amount: int, change_id: str
    ) -> web.StreamResponse:
        name = visit.part("name")
        credit = Credit(
            budget=name,
            workspace=next(iter(_workspaces(seen, name)), ""),
            unit=unit,
            amount=amount,
            change_id=change_id,
            operator=visit.session.name,
            at=self._clock.wall(),
        )
        result = await _ledger(self._control, seen).credit(credit, TIMEOUT_S)
        outcome = "done" if isinstance(result, Ok) else str(result.err_value)
        await self._note(visit, f"{name} by {amount}, change {change_id}", outcome)
        if isinstance(result, Ok):
            return go_to(f"/budgets/{name}")
        if result.err_value.kind in ANSWER_LOST_KINDS:
            return self._pages.page(
                visit.session,
                "topup.html",
                503,
                name=name,
                sums=None,
                amount=amount,
                change_id=change_id,
                lost=result.err_value,
            )
        return self._pages.refusal(visit.session, result.err_value)

    async def _sums(
        self, ledger: LedgerClient, name: str, unit: str
    ) -> Result[BudgetResult, Refusal]:
        result = await ledger.budget(BudgetQuery(name), TIMEOUT_S)
        if isinstance(result, Err) and result.err_value.kind is ErrorKind.NOT_FOUND:
            return Ok(BudgetResult(name, unit, 0, 0, 0, 0, 0, ()))
        return result

    async def _exceptions(
        self, ledger: LedgerClient, name: str
    ) -> Result[ExceptionsResult, Refusal]:
        query = ExceptionsQuery(
            budget=name, open_only=True, now=self._clock.wall(), after=0, limit=MOST_EXCEPTIONS
        )
        return await ledger.exceptions(ledger.group(name), query, TIMEOUT_S)

    async def _note(self, visit: Visit, what: str, outcome: str) -> None:
        entry = AuditEntry(self._clock.wall(), visit.session.name, "top up", what, outcome)
        await self._audit.add(entry)


def _ledger(control: ControlClient, seen: DocumentAt) -> LedgerClient:
    return make_ledger_client(control, seen.document["ledger_groups"])


def _workspaces(seen: DocumentAt, budget: str) -> list[str]:
    return [
        name
        for name, workspace in seen.document["workspaces"].items()
        if workspace["budget"] == budget
    ]


def _amount(text: str) -> Result[int, Refusal]:
    digits = text.replace(" ", "").replace("\N{NO-BREAK SPACE}", "")
    if not digits.isdecimal() or not 0 < int(digits) <= MOST_TOP_UP:
        message = "Give a whole number above 0."
        return Err(Refusal(ErrorKind.BAD_REQUEST, message, "amount", "give a whole number"))
    return Ok(int(digits))
