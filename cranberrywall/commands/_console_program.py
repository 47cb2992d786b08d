"""Assemble the console program: its streams, its pages, operators' HTTP."""

from result import Err

from cranberrywall.commands._control_program import link_limits
from cranberrywall.console import ConsoleParts, ConsoleServer, make_console_server
from cranberrywall.control import make_control_client
from cranberrywall.links import LinkCaller, LinkCounters, Peer, make_caller
from cranberrywall.observability import (
    AdminServer,
    HealthChecks,
    StateRegistry,
    log_event,
    make_admin_server,
    make_metrics,
)
from cranberrywall.runtime import Runtime
from cranberrywall.settings import FleetKeys, Settings, load_fleet_keys


class ConsoleProgram:
    """Hold one console process."""

    def __init__(
        self, server: ConsoleServer, caller: LinkCaller, admin: AdminServer, state: StateRegistry
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


def make_console_program(settings: Settings, runtime: Runtime) -> ConsoleProgram:
    """Return the console program of checked settings.

    Raise ``ValueError`` for a key file that changed since the check, and for a runtime
    without storage: accounts and the audit trail are files.
    """
    if runtime.storage is None:
        raise ValueError("the console keeps accounts and its audit trail in files: give `data`")
    keys = _load_keys(settings)
    me = Peer(settings["host"], settings["place"], int(runtime.clock.wall() * 1000))
    counters = LinkCounters()
    caller = make_caller(
        runtime.network,
        runtime.clock,
        runtime.random,
        keys.fleet,
        me,
        counters,
        link_limits(settings["streams"]),
    )
    controls = [remote["links"] for remote in settings["controls"]]
    control = make_control_client(caller, runtime.clock, controls, runtime.random)
    parts = ConsoleParts(control, caller, runtime.clock, runtime.storage)
    server = make_console_server(parts, settings["listen"]["http"])
    state = _make_state(settings, caller)
    metrics = make_metrics()
    counters.export(metrics)
    admin = make_admin_server(
        settings["listen"]["admin"], metrics, state, HealthChecks(), keys.admin
    )
    return ConsoleProgram(server, caller, admin, state)


def _load_keys(settings: Settings) -> FleetKeys:
    keys = load_fleet_keys(settings["fleet_key"])
    if isinstance(keys, Err):
        raise ValueError("; ".join(str(problem) for problem in keys.err_value))
    return keys.ok_value


def _make_state(settings: Settings, caller: LinkCaller) -> StateRegistry:
    state = StateRegistry()
    state.register("host", lambda: {"host": settings["host"], "place": settings["place"]})
    state.register("caller", caller.state)
    return state
