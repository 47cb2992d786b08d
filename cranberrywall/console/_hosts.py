"""Show one host's own state, and drain it."""

from typing import Any

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from cranberrywall.configuration import ConfigurationClient, Host
from cranberrywall.console._audit import Audit, AuditEntry
from cranberrywall.console._pages import Pages
from cranberrywall.console._visits import Visit
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import DRAIN, DUMP, DrainRequest, DumpRequest
from cranberrywall.links import Caller
from cranberrywall.runtime import Clock

TIMEOUT_S = 2.0


class HostPages:
    """Serve the pages of one host."""

    def __init__(
        self,
        configuration: ConfigurationClient,
        caller: Caller,
        audit: Audit,
        pages: Pages,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._caller = caller
        self._audit = audit
        self._pages = pages
        self._clock = clock

    async def show(self, visit: Visit) -> web.StreamResponse:
        """Show the state of the host's process, as it gives it itself."""
        host = await self._host(visit)
        if isinstance(host, Err):
            return self._pages.refusal(visit.session, host.err_value)
        request = DumpRequest("")
        dumped = await self._caller.call(host.ok_value["links"], DUMP, request, TIMEOUT_S)
        if isinstance(dumped, Err):
            return self._pages.refusal(visit.session, dumped.err_value)
        state: dict[str, Any] = msgspec.json.decode(dumped.ok_value.state)
        return self._pages.page(
            visit.session,
            "host.html",
            name=visit.part("name"),
            host=host.ok_value,
            incarnation=state.get("host", {}).get("incarnation", 0),
            state=msgspec.json.format(dumped.ok_value.state, indent=2).decode(),
        )

    async def drain(self, visit: Visit) -> web.StreamResponse:
        """Ask for a confirmation, then let the host's process end in good order."""
        host = await self._host(visit)
        if isinstance(host, Err):
            return self._pages.refusal(visit.session, host.err_value)
        incarnation = visit.field("incarnation")
        if not incarnation.isdecimal():
            raise web.HTTPBadRequest
        if visit.field("step") != "apply":
            return self._confirm(visit, incarnation, None)
        # The request names the run that the operator saw, so that one sent again after a
        # lost answer does not end the process that was started since.
        request = DrainRequest(visit.session.name, int(incarnation))
        result = await self._caller.call(host.ok_value["links"], DRAIN, request, TIMEOUT_S)
        await self._note(visit, "done" if isinstance(result, Ok) else str(result.err_value))
        if isinstance(result, Ok):
            message = "It takes no new work, finishes its requests, returns its money and ends."
            return self._pages.message(visit.session, "Draining", message)
        if result.err_value.kind in (ErrorKind.TIMEOUT, ErrorKind.UNREACHABLE):
            return self._confirm(visit, incarnation, result.err_value)
        return self._pages.refusal(visit.session, result.err_value)

    def _confirm(self, visit: Visit, incarnation: str, lost: Refusal | None) -> web.StreamResponse:
        return self._pages.page(
            visit.session,
            "drain.html",
            503 if lost else 200,
            name=visit.part("name"),
            incarnation=incarnation,
            lost=lost,
        )

    async def _host(self, visit: Visit) -> Result[Host, Refusal]:
        result = await self._configuration.document()
        if isinstance(result, Err):
            return Err(result.err_value)
        name = visit.part("name")
        host: Host | None = result.ok_value.document["hosts"].get(name)
        if host is None:
            return Err(Refusal(ErrorKind.NOT_FOUND, f"There is no host {name}."))
        return Ok(host)

    async def _note(self, visit: Visit, outcome: str) -> None:
        name = visit.part("name")
        entry = AuditEntry(self._clock.wall(), visit.session.name, "drain", name, outcome)
        await self._audit.add(entry)
