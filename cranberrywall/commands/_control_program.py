"""Assemble the control program: its groups, what they keep, the spread, operators' HTTP."""

import asyncio
import sys
from collections.abc import Callable, Mapping, Sequence
from functools import partial

from cranberrywall.budgets.ledger import (
    LEDGER_FEATURES,
    LedgerMachine,
    LedgerSummary,
    make_ledger_machine,
)
from cranberrywall.commands._control_ties import (
    ControlConnections,
    Loop,
    make_credit_updater,
    make_group_settings,
    make_initial_members,
)
from cranberrywall.commands._keys import load_keys
from cranberrywall.configuration import (
    ConfigurationMachine,
    Document,
    Feed,
    SpreadHost,
    empty_document,
    make_control_feed,
    make_document_peers,
    register_known_orders,
)
from cranberrywall.control import (
    EXIT_RESTART,
    ControlHost,
    StorageMonitor,
    ledger_groups,
    make_control_host,
)
from cranberrywall.hosts import register_dump
from cranberrywall.links import (
    Caller,
    LinkCaller,
    LinkCounters,
    LinkServer,
    Peer,
    limits_of,
    make_caller,
    make_link_server,
)
from cranberrywall.observability import (
    AdminServer,
    HealthChecks,
    Metrics,
    StateRegistry,
    log_event,
    make_admin_server,
    make_metrics,
)
from cranberrywall.orders import (
    EngineReports,
    GroupMachine,
    Issuer,
    OrderController,
    OrderSender,
    make_group_machine,
    make_http_sender,
    make_order_controller,
)
from cranberrywall.records import RecordStore
from cranberrywall.replication import StateMachine
from cranberrywall.runtime import Clock, Runtime
from cranberrywall.settings import (
    FleetKeys,
    Settings,
)
from cranberrywall.tls import TlsKeeper

CONFIGURATION_GROUP = "configuration"


class ControlProgram:
    """Hold one control process."""

    def __init__(
        self,
        host: ControlHost,
        feed: Feed,
        orders: OrderController,
        admin: AdminServer,
        state: StateRegistry,
        connections: ControlConnections,
        loops: Sequence[Loop],
        machine: ConfigurationMachine,
    ) -> None:
        self.state = state
        self._machine = machine
        self.connections = connections
        self._loops = loops
        self._host = host
        self._feed = feed
        self._orders = orders
        self._admin = admin
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def admin_address(self) -> str:
        """Return the address of operators' HTTP as bound once started."""
        return self._admin.address

    @property
    def caller(self) -> Caller:
        """Return the caller of other processes."""
        return self._host.caller

    @property
    def configuration_revision(self) -> int:
        """Return the revision of this host's copy of the configuration."""
        return self._machine.revision

    @property
    def links_address(self) -> str:
        """Return the address of streams as bound once started."""
        return self._host.server.address

    async def start(self) -> None:
        """Open the files and listen; raise ``OSError`` where an address is taken."""
        await self._host.start()
        self._tasks.append(asyncio.create_task(self._feed.run()))
        self._tasks.append(asyncio.create_task(self._orders.run()))
        self._tasks += [asyncio.create_task(loop()) for loop in self._loops]
        await self._admin.start()
        log_event("INFO", "control_started", links=self.links_address, admin=self.admin_address)

    async def stop(self) -> None:
        """Leave the groups and close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._orders.close()
        await self._admin.close()
        await self._host.hand_over()
        await self._host.stop()
        log_event("INFO", "control_stopped")


def make_control_program(
    settings: Settings,
    runtime: Runtime,
    tls: TlsKeeper | None = None,
    keys: FleetKeys | None = None,
) -> ControlProgram:
    """Return the control program of checked settings; ``tls`` trusts targets with HTTPS.

    ``keys`` are the fleet's where no file holds them. Raise ``ValueError`` for a key file
    that changed since the check, and for a runtime without storage.
    """
    keys = keys or load_keys(settings)
    me = Peer(settings["host"], settings["place"], int(runtime.clock.wall() * 1000))
    counters = LinkCounters()
    server = _make_server(settings, runtime, keys, me, counters)
    limits = limits_of(settings)
    caller = make_caller(
        runtime.network, runtime.clock, runtime.random, keys.fleet, me, counters, limits
    )
    machine = make_group_machine()
    ledger_by_group = {
        group: make_ledger_machine() for group in ledger_groups(settings["ledger_groups"])
    }
    machine_by_group = {CONFIGURATION_GROUP: machine, **ledger_by_group}
    host = _make_host(settings, runtime, machine_by_group, caller, server)
    connections = ControlConnections(settings, runtime, me, host, machine.configuration)
    raiser = make_credit_updater(host, ledger_by_group, machine.configuration, runtime)
    feed = _make_feed(settings, machine.configuration, caller, connections, runtime.clock, host)
    feed.register(server)
    register_known_orders(server)
    records = _make_records(settings, connections, caller, runtime)
    records.register(server)
    sender = make_http_sender(tls.fetch if tls else None)
    orders = _make_orders(settings, runtime, me, machine, host, sender)
    state = _make_state(settings, runtime.clock, host, machine, orders, ledger_by_group)
    state.register(
        "untold", lambda: {"revision": feed.unnotified, "leaving": connections.relay.unnotified()}
    )
    register_dump(server, state.dump_section_json)
    metrics = _make_metrics(host, counters, ledger_by_group)
    feed.export(metrics)
    connections.relay.export(metrics)
    records.export(metrics)
    health = _make_health(host, lambda: check_placement(settings, machine.configuration))
    admin = make_admin_server(settings["listen"]["admin"], metrics, state, health, keys.admin)
    loops = [raiser.run, records.run, *connections.loops()]
    if runtime.storage is not None:
        restart = partial(sys.exit, EXIT_RESTART)
        groups = list(host.group_by_name.values())
        loops.append(StorageMonitor(groups, runtime.storage, runtime.clock, restart).run)
    return ControlProgram(
        host, feed, orders, admin, state, connections, loops, machine.configuration
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


def _make_records(
    settings: Settings, connections: ControlConnections, caller: Caller, runtime: Runtime
) -> RecordStore:
    own = settings["listen"]["links"]
    return RecordStore(
        lambda: [address for address in connections.controls() if address != own],
        caller,
        runtime.clock,
        runtime.storage,
    )


def _make_server(
    settings: Settings, runtime: Runtime, keys: FleetKeys, me: Peer, counters: LinkCounters
) -> LinkServer:
    address = settings["listen"]["links"]
    limits = limits_of(settings)
    return make_link_server(
        runtime.network, runtime.clock, address, keys.fleet, me, counters, limits
    )


def _make_host(
    settings: Settings,
    runtime: Runtime,
    machine_by_group: Mapping[str, StateMachine],
    caller: LinkCaller,
    server: LinkServer,
) -> ControlHost:
    return make_control_host(
        settings["host"],
        make_initial_members(settings),
        machine_by_group,
        runtime,
        caller,
        server,
        make_group_settings(settings),
        LEDGER_FEATURES,
    )


def _make_feed(
    settings: Settings,
    machine: ConfigurationMachine,
    caller: LinkCaller,
    connections: ControlConnections,
    clock: Clock,
    host: ControlHost,
) -> Feed:
    me = SpreadHost(settings["host"], settings["place"], settings["listen"]["links"])
    listed = make_document_peers(lambda: _document_of(machine))
    peers = connections if settings.get("seeds") else listed
    group = host.group_by_name[CONFIGURATION_GROUP]
    return make_control_feed(
        me,
        machine,
        peers,
        caller,
        clock,
        connections.tellers.notifies,
        lambda: group.has_caught_up,
    )


def _document_of(machine: ConfigurationMachine) -> Document:
    newest = machine.document_at()
    return newest.checked if newest else empty_document()


def _make_orders(
    settings: Settings,
    runtime: Runtime,
    me: Peer,
    machine: GroupMachine,
    host: ControlHost,
    sender: OrderSender,
) -> OrderController:
    reports = EngineReports(runtime.clock)
    reports.register(host.server)
    orders = make_order_controller(
        host.group_by_name[CONFIGURATION_GROUP],
        Issuer(me.host, me.incarnation),
        reports,
        lambda: _document_of(machine.configuration),
        sender,
        host.caller,
        {remote["host"]: remote["links"] for remote in settings["controls"]},
        runtime.clock,
    )
    orders.register(host.server)
    return orders


def _make_state(
    settings: Settings,
    clock: Clock,
    host: ControlHost,
    machine: GroupMachine,
    orders: OrderController,
    ledger_by_group: Mapping[str, LedgerMachine],
) -> StateRegistry:
    state = StateRegistry()
    about = {"host": settings["host"], "place": settings["place"]}
    state.register("host", lambda: {**about, "wall": clock.wall()})
    state.register("control", host.state)
    state.register("configuration", lambda: {"revision": machine.configuration.revision})
    state.register("orders", orders.state)
    state.register("ledgers", lambda: _summaries(ledger_by_group))
    return state


def _summaries(ledger_by_group: Mapping[str, LedgerMachine]) -> dict[str, LedgerSummary]:
    return {group: machine.summary() for group, machine in ledger_by_group.items()}


def _make_metrics(
    host: ControlHost, counters: LinkCounters, ledger_by_group: Mapping[str, LedgerMachine]
) -> Metrics:
    metrics = make_metrics()
    metrics.gauge_of("groups_led", "Groups that this host leads.", lambda: len(host.led_groups()))
    counters.export(metrics)

    def total(read: Callable[[LedgerSummary], int]) -> Callable[[], float]:
        return lambda: sum(read(one) for one in _summaries(ledger_by_group).values())

    metrics.gauge_of(
        "ledger_budgets", "Budgets in this host's ledgers.", total(lambda one: one.budgets)
    )
    metrics.gauge_of(
        "ledger_ids", "Request ids kept in this host's ledgers.", total(lambda one: one.ids)
    )
    metrics.gauge_of(
        "ledger_open_doubts",
        "Amounts in doubt that wait for a decision.",
        total(lambda one: one.open_doubts),
    )
    return metrics


def _make_health(host: ControlHost, check_placement: Callable[[], str | None]) -> HealthChecks:
    health = HealthChecks()
    health.add_health("groups", host.check_started)
    health.add_readiness("groups", host.check_ready)
    health.add_readiness("ledger_groups", check_placement)
    return health
