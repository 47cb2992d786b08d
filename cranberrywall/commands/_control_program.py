"""Assemble the control program: its groups, what they keep, the spread, operators' HTTP."""

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err

from cranberrywall.budgets import make_ledger_machine
from cranberrywall.configuration import (
    ConfigurationMachine,
    Feed,
    SpreadHost,
    make_configuration_machine,
    make_control_feed,
    make_document_peers,
)
from cranberrywall.control import ControlHost, ledger_groups, make_control_host
from cranberrywall.hosts import register_dump
from cranberrywall.links import (
    Limits,
    LinkCaller,
    LinkCounters,
    LinkServer,
    Peer,
    make_caller,
    make_link_server,
)
from cranberrywall.observability import (
    AdminServer,
    HealthChecks,
    StateRegistry,
    log_event,
    make_admin_server,
    make_metrics,
)
from cranberrywall.replication import StateMachine
from cranberrywall.runtime import Runtime
from cranberrywall.settings import (
    FleetKeys,
    Settings,
    Streams,
    load_fleet_keys,
    seconds,
    size_in_bytes,
)

CONFIGURATION_GROUP = "configuration"


class ControlProgram:
    """Hold one control process."""

    def __init__(self, host: ControlHost, feed: Feed, admin: AdminServer, state: StateRegistry):
        self.state = state
        self._host = host
        self._feed = feed
        self._admin = admin
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def admin_address(self) -> str:
        """Return the address of operators' HTTP as bound once started."""
        return self._admin.address

    @property
    def links_address(self) -> str:
        """Return the address of streams as bound once started."""
        return self._host.server.address

    async def start(self) -> None:
        """Open the files and listen; raise ``OSError`` where an address is taken."""
        await self._host.start()
        self._tasks.append(asyncio.create_task(self._feed.run()))
        await self._admin.start()
        log_event("INFO", "control_started", links=self.links_address, admin=self.admin_address)

    async def stop(self) -> None:
        """Leave the groups and close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._admin.close()
        await self._host.stop()
        log_event("INFO", "control_stopped")


def make_control_program(settings: Settings, runtime: Runtime) -> ControlProgram:
    """Return the control program of checked settings.

    Raise ``ValueError`` for a key file that changed since the check, and for a runtime
    without storage.
    """
    keys = _load_keys(settings)
    me = Peer(settings["host"], settings["place"], int(runtime.clock.wall() * 1000))
    counters = LinkCounters()
    server = _make_server(settings, runtime, keys, me, counters)
    limits = link_limits(settings["streams"])
    caller = make_caller(
        runtime.network, runtime.clock, runtime.random, keys.fleet, me, counters, limits
    )
    machine = make_configuration_machine()
    host = _make_host(settings, runtime, machine, caller, server)
    feed = _make_feed(settings, machine, caller)
    feed.register(server)
    state = _make_state(settings, host, machine)
    register_dump(server, state.dump_section_json)
    admin = _make_admin(
        settings, keys, host, counters, state, lambda: check_placement(settings, machine)
    )
    return ControlProgram(host, feed, admin, state)


def link_limits(streams: Streams) -> Limits:
    """Return the bounds of streams that the settings give."""
    return Limits(
        frame_bytes=size_in_bytes(streams["frame"]),
        queued_bytes=size_in_bytes(streams["queued"]),
        calls=streams["calls"],
        dial_timeout=seconds(streams["dial_timeout"]),
        handshake_timeout=seconds(streams["handshake_timeout"]),
        write_timeout=seconds(streams["write_timeout"]),
    )


def check_placement(settings: Settings, machine: ConfigurationMachine) -> str | None:
    """Return why budgets would be looked for in the wrong groups, or ``None``.

    Placement follows the number of groups. Were this host to run another number than the
    configuration says, money would be credited in one group and drawn from another.
    """
    newest = machine.document_at()
    if newest is None or not newest.revision:
        return None
    wanted, run = newest.document["ledger_groups"], settings["ledger_groups"]
    if wanted == run:
        return None
    return f"the configuration has {wanted} ledger groups, and the settings {run}"


def _load_keys(settings: Settings) -> FleetKeys:
    keys = load_fleet_keys(settings["fleet_key"])
    if isinstance(keys, Err):
        raise ValueError("; ".join(str(problem) for problem in keys.err_value))
    return keys.ok_value


def _make_server(
    settings: Settings, runtime: Runtime, keys: FleetKeys, me: Peer, counters: LinkCounters
) -> LinkServer:
    address = settings["listen"]["links"]
    limits = link_limits(settings["streams"])
    return make_link_server(
        runtime.network, runtime.clock, address, keys.fleet, me, counters, limits
    )


def _make_host(
    settings: Settings,
    runtime: Runtime,
    configuration: ConfigurationMachine,
    caller: LinkCaller,
    server: LinkServer,
) -> ControlHost:
    machine_by_group: dict[str, StateMachine] = {CONFIGURATION_GROUP: configuration}
    for group in ledger_groups(settings["ledger_groups"]):
        machine_by_group[group] = make_ledger_machine()
    address_by_host = {remote["host"]: remote["links"] for remote in settings["controls"]}
    return make_control_host(
        settings["host"], address_by_host, machine_by_group, runtime, caller, server
    )


def _make_feed(settings: Settings, machine: ConfigurationMachine, caller: LinkCaller) -> Feed:
    me = SpreadHost(settings["host"], settings["place"], settings["listen"]["links"])

    def document() -> Any:
        newest = machine.document_at()
        return newest.document if newest else {"hosts": {}}

    return make_control_feed(me, machine, make_document_peers(document), caller)


def _make_state(
    settings: Settings, host: ControlHost, machine: ConfigurationMachine
) -> StateRegistry:
    state = StateRegistry()
    state.register("host", lambda: {"host": settings["host"], "place": settings["place"]})
    state.register("control", host.state)
    state.register("configuration", lambda: {"revision": machine.revision})
    return state


def _make_admin(
    settings: Settings,
    keys: FleetKeys,
    host: ControlHost,
    counters: LinkCounters,
    state: StateRegistry,
    check_placement: Callable[[], str | None],
) -> AdminServer:
    metrics = make_metrics()
    metrics.gauge_of("groups_led", "Groups that this host leads.", lambda: len(host.led()))
    metrics.gauge_of("link_bytes_out", "Bytes sent to other processes.", lambda: counters.bytes_out)
    metrics.gauge_of("link_bytes_in", "Bytes got from others.", lambda: counters.bytes_in)
    health = HealthChecks()
    health.add_health("groups", host.check_started)
    health.add_readiness("groups", host.check_ready)
    health.add_readiness("ledger_groups", check_placement)
    address = settings["listen"]["admin"]
    return make_admin_server(address, metrics, state, health, keys.admin)
