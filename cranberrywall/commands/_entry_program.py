"""Assemble the entry program: configuration, money, targets, callers, operators' HTTP."""

import asyncio
from typing import Any

from aiohttp import web
from result import Err

from cranberrywall.budgets import HostAllotments, make_allotments, make_ledger_client
from cranberrywall.budgets.messages import Holder
from cranberrywall.callers import BodyLimits, CallerLimits
from cranberrywall.commands._control_program import link_limits
from cranberrywall.configuration import (
    Follower,
    SpreadHost,
    make_follower,
    make_host_configuration,
)
from cranberrywall.control import make_control_client
from cranberrywall.entry import (
    AnnouncementSpread,
    CallerStack,
    ConfiguredHosts,
    ConfiguredPolicies,
    make_caller_stack,
)
from cranberrywall.hosts import HostState, HostView
from cranberrywall.links import (
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
from cranberrywall.routing import make_router
from cranberrywall.runtime import Runtime, split_address
from cranberrywall.settings import (
    FleetKeys,
    Settings,
    load_fleet_keys,
    seconds,
    size_in_bytes,
)
from cranberrywall.targets import make_announce_routes, make_targets

SHUTDOWN_S = 1.0


class EntryProgram:
    """Hold one entry process."""

    def __init__(self, settings: Settings, runtime: Runtime) -> None:
        self._settings = settings
        self._runtime = runtime
        self._keys = _load_keys(settings)
        self._me = Peer(settings["host"], settings["place"], int(runtime.clock.wall() * 1000))
        self._counters = LinkCounters()
        self._server = self._make_server()
        self._caller = self._make_caller()
        controls = [remote["links"] for remote in settings["controls"]]
        control = make_control_client(self._caller, runtime.clock, controls, runtime.random)
        self._ledger = make_ledger_client(control, settings["ledger_groups"])
        self._configuration = make_host_configuration(runtime.storage)
        self._hosts = ConfiguredHosts(self._view(), self._configuration, self._peers())
        self._follower = self._make_follower(controls)
        self._allotments = self._make_allotments()
        self._targets = make_targets()
        self._spread = AnnouncementSpread(
            self._me.host, self._targets, self._hosts, self._caller, runtime.clock
        )
        self._follower.register(self._server)
        self._spread.register(self._server)
        self._metrics = make_metrics()
        self.state = StateRegistry()
        self._health = HealthChecks()
        self._admin = self._make_admin()
        self._stack: CallerStack | None = None
        self._runner: web.AppRunner | None = None
        self._failure = ""
        self._tasks: list[asyncio.Task[None]] = []
        self._register_state()

    @property
    def admin_address(self) -> str:
        """Return the address of operators' HTTP as bound once started."""
        return self._admin.address

    async def start(self) -> None:
        """Listen, and serve callers once there is a configuration; raise ``OSError``."""
        await self._server.start()
        await self._admin.start()
        self._tasks.append(asyncio.create_task(self._become_ready()))
        log_event("INFO", "entry_started", admin=self.admin_address)

    async def stop(self) -> None:
        """Finish the requests in progress, hand the money back and close everything."""
        self._hosts.leave()
        if self._runner is not None and self._stack is not None:
            for site in list(self._runner.sites):
                await site.stop()
            await self._stack.finish()
            await self._allotments.hand_back()
            await self._runner.cleanup()
            await self._stack.close()
            await self._allotments.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._admin.close()
        await self._server.close()
        await self._caller.close()
        log_event("INFO", "entry_stopped")

    async def _become_ready(self) -> None:
        revision = await self._follower.join()
        self._tasks.append(asyncio.create_task(self._follower.run()))
        self._tasks.append(asyncio.create_task(self._spread.expire()))
        started = await self._allotments.start()
        if isinstance(started, Err):
            self._failure = str(started.err_value)
            log_event("ERROR", "allotments_not_started", refusal=started.err_value)
            return
        await self._serve()
        log_event("INFO", "entry_ready", revision=revision, http=self._settings["listen"]["http"])

    async def _serve(self) -> None:
        runtime = self._runtime
        router = make_router(
            self._targets,
            self._configuration,
            runtime.clock,
            runtime.random,
            self._me.host,
            self._me.place,
        )
        callers = self._settings["callers"]
        stack = make_caller_stack(
            self._me.host,
            self._me.place,
            self._me.incarnation,
            self._configuration,
            self._hosts,
            self._allotments,
            self._ledger,
            router,
            runtime.clock,
            runtime.random,
            registry=self._metrics.registry,
            caller_limits=CallerLimits(
                bodies=BodyLimits(most_bytes=size_in_bytes(callers["body"])),
                ttl_s=seconds(callers["address_ttl"]),
            ),
        )
        stack.app.add_routes(
            make_announce_routes(
                self._targets, self._keys.target, runtime.clock, self._spread.publish
            )
        )
        runner = web.AppRunner(stack.app, access_log=None, shutdown_timeout=SHUTDOWN_S)
        await runner.setup()
        host, port = split_address(self._settings["listen"]["http"])
        await web.TCPSite(runner, host, port).start()
        self._stack = stack
        self._runner = runner

    def _make_server(self) -> LinkServer:
        return make_link_server(
            self._runtime.network,
            self._runtime.clock,
            self._settings["listen"]["links"],
            self._keys.fleet,
            self._me,
            self._counters,
            link_limits(self._settings["streams"]),
        )

    def _make_caller(self) -> LinkCaller:
        return make_caller(
            self._runtime.network,
            self._runtime.clock,
            self._runtime.random,
            self._keys.fleet,
            self._me,
            self._counters,
            link_limits(self._settings["streams"]),
        )

    def _view(self) -> HostView:
        listen = self._settings["listen"]
        return HostView(
            host=self._me.host,
            place=self._me.place,
            links=listen["links"],
            http=listen["http"],
            incarnation=self._me.incarnation,
            state=HostState.ALIVE,
            load=0.0,
        )

    def _peers(self) -> list[HostView]:
        return [
            HostView(peer["host"], "", peer["links"], "", 0, HostState.ALIVE, 0.0)
            for peer in self._settings["peers"]
        ]

    def _make_follower(self, controls: list[str]) -> Follower:
        me = SpreadHost(self._me.host, self._me.place, self._settings["listen"]["links"])
        return make_follower(
            me,
            self._configuration,
            self._hosts,
            controls,
            self._caller,
            self._runtime.clock,
            self._runtime.random,
        )

    def _make_allotments(self) -> HostAllotments:
        return make_allotments(
            Holder(self._me.host, self._me.incarnation),
            self._me.place,
            self._ledger,
            self._hosts,
            self._hosts.entry_hosts,
            ConfiguredPolicies(self._configuration),
            self._caller,
            self._server,
            self._runtime,
        )

    def _make_admin(self) -> AdminServer:
        self._health.add_health("allotments", lambda: self._failure or None)
        self._health.add_readiness("callers", self._check_serving)
        return make_admin_server(
            self._settings["listen"]["admin"],
            self._metrics,
            self.state,
            self._health,
            self._keys.admin,
        )

    def _check_serving(self) -> str | None:
        return None if self._runner is not None else "there is no configuration yet"

    def _register_state(self) -> None:
        self.state.register("host", lambda: {"host": self._me.host, "place": self._me.place})
        self.state.register("configuration", self._follower.state)
        self.state.register("targets", self._targets_state)
        self.state.register("links", self._caller.state)

    def _targets_state(self) -> dict[str, Any]:
        return {
            name: target.announcement.name for name, target in sorted(self._targets.by_id.items())
        }


def make_entry_program(settings: Settings, runtime: Runtime) -> EntryProgram:
    """Return the entry program of checked settings.

    Raise ``ValueError`` for a key file that changed since the check.
    """
    return EntryProgram(settings, runtime)


def _load_keys(settings: Settings) -> FleetKeys:
    keys = load_fleet_keys(settings["fleet_key"])
    if isinstance(keys, Err):
        raise ValueError("; ".join(str(problem) for problem in keys.err_value))
    return keys.ok_value
