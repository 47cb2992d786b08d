"""Decide amounts in doubt and dead hosts: one person asks, another approves."""

from typing import Any, NamedTuple

from aiohttp import web
from result import Err, Ok, Result

from cranberrywall.budgets import LedgerClient, make_ledger_client
from cranberrywall.budgets.messages import (
    ConfirmDead,
    ExceptionKind,
    ExceptionRow,
    ExceptionsQuery,
    Holder,
    ResolveDoubt,
)
from cranberrywall.configuration import ConfigurationClient
from cranberrywall.console._audit import Audit, AuditEntry
from cranberrywall.console._pages import Pages, go_to
from cranberrywall.console._pending import (
    BILL,
    CONFIRM_DEAD,
    RELEASE,
    Pending,
    PendingRequests,
    new_id,
)
from cranberrywall.console._visits import Visit
from cranberrywall.control import ControlClient
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Clock

TIMEOUT_S = 5.0
MOST_SHOWN = 200
HOLDER_KINDS = frozenset({ExceptionKind.DEAD_HOLDER, ExceptionKind.SILENT_HOLDER})
PATH = "/decisions"


class OpenRow(NamedTuple):
    """Pair an exception with the group that keeps it."""

    group: str
    row: ExceptionRow

    @property
    def is_holder(self) -> bool:
        """Say whether it is about a host that may be dead."""
        return self.row.kind in HOLDER_KINDS


class DecisionPages:
    """Serve the list of what needs a decision, and the way to it."""

    def __init__(
        self,
        control: ControlClient,
        configuration: ConfigurationClient,
        pending: PendingRequests,
        audit: Audit,
        pages: Pages,
        clock: Clock,
    ) -> None:
        self._control = control
        self._configuration = configuration
        self._pending = pending
        self._audit = audit
        self._pages = pages
        self._clock = clock

    async def show(self, visit: Visit) -> web.StreamResponse:
        """List open exceptions and what waits for an approval."""
        ledger = await self._ledger()
        if isinstance(ledger, Err):
            return self._pages.refusal(visit.session, ledger.err_value)
        rows: list[OpenRow] = []
        silent: list[str] = []
        query = ExceptionsQuery(
            budget="", open_only=True, now=self._clock.wall(), after=0, limit=MOST_SHOWN
        )
        for group in ledger.ok_value.groups():
            result = await ledger.ok_value.exceptions(group, query, TIMEOUT_S)
            if isinstance(result, Ok):
                rows.extend(OpenRow(group, row) for row in result.ok_value.rows)
            else:
                silent.append(f"{group}: {result.err_value.kind}")
        return self._pages.page(
            visit.session,
            "decisions.html",
            rows=rows,
            silent=silent,
            waiting=self._pending.oldest(),
        )

    async def ask(self, visit: Visit) -> web.StreamResponse:
        """Ask for an approval; nothing is carried out yet."""
        pending = _pending_of(visit, self._clock.wall())
        if isinstance(pending, Err):
            return self._pages.refusal(visit.session, pending.err_value)
        added = await self._pending.add(pending.ok_value)
        if isinstance(added, Err):
            return self._pages.refusal(visit.session, added.err_value)
        await self._note(visit, f"ask to {pending.ok_value.action}", pending.ok_value, "asked")
        return go_to(PATH)

    async def withdraw(self, visit: Visit) -> web.StreamResponse:
        """Forget a request for approval."""
        pending = self._pending.by_id(visit.field("id"))
        if pending is not None:
            await self._pending.remove(pending.id)
            await self._note(visit, f"withdraw: {pending.action}", pending, "withdrawn")
        return go_to(PATH)

    async def approve(self, visit: Visit) -> web.StreamResponse:
        """Carry out what another person asked for."""
        pending = self._pending.by_id(visit.field("id"))
        if pending is None:
            return go_to(PATH)
        if pending.operator == visit.session.name:
            message = "You asked for this yourself. Another person has to approve it."
            return self._pages.message(visit.session, "Two persons are needed", message, 403)
        ledger = await self._ledger()
        if isinstance(ledger, Err):
            return self._pages.refusal(visit.session, ledger.err_value)
        result = await self._carry_out(ledger.ok_value, pending, visit.session.name)
        outcome = result.ok_value if isinstance(result, Ok) else str(result.err_value)
        await self._note(visit, f"approve: {pending.action}", pending, outcome)
        if isinstance(result, Err):
            # It stays on the list: every group takes the command once, so approving it
            # again after a lost answer is safe.
            return self._pages.refusal(visit.session, result.err_value)
        await self._pending.remove(pending.id)
        return self._pages.message(visit.session, "Done", f"{pending.what}: {outcome}.")

    async def _carry_out(
        self, ledger: LedgerClient, pending: Pending, approver: str
    ) -> Result[str, Refusal]:
        at = self._clock.wall()
        if pending.action != CONFIRM_DEAD:
            bill = pending.action == BILL
            command = ResolveDoubt(pending.number, bill, pending.operator, approver, at)
            resolved = await ledger.resolve(pending.group, command, TIMEOUT_S)
            return resolved.map(lambda accepted: "billed" if bill else "released")
        released = 0
        confirm = ConfirmDead(
            Holder(pending.host, pending.incarnation), pending.operator, approver, at
        )
        for group in ledger.groups():
            result = await ledger.confirm_dead(group, confirm, TIMEOUT_S)
            if isinstance(result, Err):
                return Err(result.err_value)
            released += result.ok_value.released
        return Ok(f"{released} came back")

    async def _ledger(self) -> Result[LedgerClient, Refusal]:
        result = await self._configuration.document()
        if isinstance(result, Err):
            return Err(result.err_value)
        groups: Any = result.ok_value.document["ledger_groups"]
        return Ok(make_ledger_client(self._control, groups))

    async def _note(self, visit: Visit, action: str, pending: Pending, outcome: str) -> None:
        what = f"{pending.what}; evidence: {pending.evidence}"
        entry = AuditEntry(self._clock.wall(), visit.session.name, action, what, outcome)
        await self._audit.add(entry)


def _pending_of(visit: Visit, at: float) -> Result[Pending, Refusal]:
    action = visit.field("action")
    evidence = visit.field("evidence").strip()
    if not evidence:
        message = "Say how you know: the approver decides by it."
        return Err(Refusal(ErrorKind.BAD_REQUEST, message, "evidence", "go back and write it"))
    if action not in (CONFIRM_DEAD, BILL, RELEASE):
        return Err(Refusal(ErrorKind.BAD_REQUEST, "no such action", "action"))
    try:
        incarnation, number = int(visit.field("incarnation")), int(visit.field("number"))
    except ValueError:
        return Err(Refusal(ErrorKind.BAD_REQUEST, "not a number", "number"))
    asked = Pending(new_id(), action, visit.session.name, at, evidence)
    if action == CONFIRM_DEAD:
        return Ok(asked._replace(host=visit.field("host"), incarnation=incarnation))
    return Ok(asked._replace(group=visit.field("group"), number=number))
