"""Assemble the console program: its streams, its pages, operators' HTTP."""

from cranberrywall.commands._keys import load_keys
from cranberrywall.console import ConsoleParts, make_console_server
from cranberrywall.control import make_control_client
from cranberrywall.links import LinkCaller, LinkCounters, Peer, limits_of, make_caller
from cranberrywall.observability import (
    AdminServer,
    HealthChecks,
    HttpListener,
    StateRegistry,
    log_event,
    make_admin_server,
    make_metrics,
)
from cranberrywall.runtime import Runtime
from cranberrywall.settings import Settings
from cranberrywall.tls import TlsKeeper


class ConsoleProgram:
    """Hold one console process."""

    def __init__(
        self, server: HttpListener, caller: LinkCaller, admin: AdminServer, state: StateRegistry
    ) -> None:
        self.state = state
        self._server = server
        self._caller = caller
        self._admin = admin

    @property
    def http_address(self) -> str:
        """Return the address of the pages as bound once started."""
        return self._server.address

    @property
    def admin_address(self) -> str:
        """Return the address of operators' HTTP as bound once started."""
        return self._admin.address

    async def start(self) -> None:
        """Listen, or raise ``OSError``."""
        await self._server.start()
        await self._admin.start()
        log_event("INFO", "console_started", http=self.http_address, admin=self.admin_address)

    async def stop(self) -> None:
        """Close every connection."""
        await self._server.close()
        await self._admin.close()
        await self._caller.close()
        log_event("INFO", "console_stopped")


def make_console_program(
    settings: Settings, runtime: Runtime, tls: TlsKeeper | None = None
) -> ConsoleProgram:
    """Return the console program of checked settings; ``tls`` gives HTTPS.

    Raise ``ValueError`` for a key file that changed since the check, and for a runtime
    without storage: accounts and the audit trail are files.
    """
    if runtime.storage is None:
        raise ValueError("the console keeps accounts and its audit trail in files: give `data`")
    keys = load_keys(settings)
    me = Peer(settings["host"], settings["place"], int(runtime.clock.wall() * 1000))
    counters = LinkCounters()
    caller = make_caller(
        runtime.network,
        runtime.clock,
        runtime.random,
        keys.fleet,
        me,
        counters,
        limits_of(settings),
    )
    controls = [remote["links"] for remote in settings["controls"]]
    control = make_control_client(caller, runtime.clock, controls, runtime.random)
    parts = ConsoleParts(control, caller, runtime.clock, runtime.storage)
    server = make_console_server(parts, settings["listen"]["http"], tls.http if tls else None)
    state = _make_state(settings, caller)
    metrics = make_metrics()
    counters.export(metrics)
    admin = make_admin_server(
        settings["listen"]["admin"], metrics, state, HealthChecks(), keys.admin
    )
    return ConsoleProgram(server, caller, admin, state)


def _make_state(settings: Settings, caller: LinkCaller) -> StateRegistry:
    state = StateRegistry()
    state.register("host", lambda: {"host": settings["host"], "place": settings["place"]})
    state.register("caller", caller.state)
    return state
