"""Assemble the entry program: configuration, money, targets, callers, operators' HTTP."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import web
from result import Err

from cranberrywall.budgets import (
    HostAllotments,
    LedgerClient,
    make_allotments,
    make_ledger_client,
)
from cranberrywall.budgets.messages import Holder
from cranberrywall.callers import BodyLimits, CallerLimits
from cranberrywall.commands._entry_ties import HostTies, describe_target, load_keys
from cranberrywall.configuration import make_host_configuration
from cranberrywall.control import make_control_client
from cranberrywall.entry import (
    CallerStack,
    ConfiguredPolicies,
    StackLinks,
    make_caller_stack,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import register_drain, register_dump
from cranberrywall.observability import (
    AdminServer,
    HealthChecks,
    StateRegistry,
    log_event,
    make_admin_server,
    make_metrics,
)
from cranberrywall.orders import EngineReporter
from cranberrywall.routing import make_router, make_target_spread
from cranberrywall.runtime import Runtime, split_address
from cranberrywall.settings import Settings, seconds, size_in_bytes
from cranberrywall.targets import (
    Announcement,
    Prober,
    make_announce_routes,
    make_http_probe,
    make_targets,
)

SHUTDOWN_S = 1.0

HAND_BACK_S = 10.0
"""A host that ends tries for so long to commit its charges and return its money."""

HAND_BACK_WITHOUT_DISK_S = 60.0

TTL_MARGIN_S = 0.5
"""How much longer than they were told callers may keep addresses, for answers on the way."""

QUIET_S = 1.0
"""A draining host without an arrival for so long is no longer used by any caller."""

LOAD_EVERY_S = 1.0

EXPIRE_EVERY_S = 1.0
BUSY_REQUESTS = 1000
"""Requests in progress at which a host says that it is fully loaded."""


class EntryProgram:
    """Hold one entry process."""

    def __init__(self, settings: Settings, runtime: Runtime) -> None:
        self._settings = settings
        self._runtime = runtime
        self._keys = load_keys(settings)
        self._configuration = make_host_configuration(runtime.storage)
        ties = HostTies(settings, runtime, self._keys, self._configuration)
        self._hosts = ties.configured
        self._me, self._server, self._caller = ties.me, ties.server, ties.caller
        self._membership, self._follower = ties.membership, ties.follower
        clock, controls = runtime.clock, ties.controls
        self._control = make_control_client(self._caller, clock, controls, runtime.random)
        self._allotments: HostAllotments | None = None
        self._targets = make_targets()
        self._spread = make_target_spread(self._targets, self._membership.spread, clock)
        self._reporter = EngineReporter(
            self._caller, clock, controls, lambda: self._waiting_by_model()
        )
        self._follower.register(self._server)
        self.on_drain: Callable[[], None] = lambda: None
        register_drain(self._server, self._me.incarnation, lambda: self.on_drain())
        self._metrics = make_metrics()
        ties.counters.export(self._metrics)
        ties.membership.export(self._metrics)
        self.state = StateRegistry()
        self._health = HealthChecks()
        self._admin = self._make_admin()
        self._waiting_by_model: Callable[[], Mapping[str, float]] = dict
        self._stack: CallerStack | None = None
        self._runner: web.AppRunner | None = None
        self._failure = ""
        self._is_draining = False
        self._tasks: list[asyncio.Task[None]] = []
        self._register_state()
        register_dump(self._server, self.state.dump_section_json)

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

    async def drain(self) -> None:
        """Go on serving until no caller can hold an answer that names this host.

        From now on no answer names it, and none that was given is older than its time to
        live when this returns. So no request is refused or cut because the host leaves.
        """
        self._membership.leave()
        if self._stack is None or self._is_draining:
            return
        self._is_draining = True
        self._stack.start_draining()
        clock = self._runtime.clock
        log_event("INFO", "entry_draining", running=self._stack.running)
        await clock.sleep(seconds(self._settings["callers"]["address_ttl"]) + TTL_MARGIN_S)
        while self._stack.quiet_for(clock.now()) < QUIET_S:
            await clock.sleep(QUIET_S - self._stack.quiet_for(clock.now()))

    async def stop(self) -> None:
        """Finish the requests in progress, hand the money back and close everything."""
        self._membership.leave()
        if self._runner is not None and self._stack is not None:
            for site in list(self._runner.sites):
                await site.stop()
            await self._stack.finish()
            await self._hand_money_back()
            await self._runner.cleanup()
            await self._stack.close()
        if self._allotments is not None:
            await self._allotments.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._membership.close()
        await self._admin.close()
        await self._server.close()
        await self._caller.close()
        log_event("INFO", "entry_stopped")

    async def _become_ready(self) -> None:
        await self._membership.start()
        revision = await self._follower.join()
        self._tasks.append(asyncio.create_task(self._follower.run()))
        self._tasks.append(asyncio.create_task(self._expire_targets()))
        self._tasks.append(asyncio.create_task(self._reporter.run()))
        # Which group keeps a budget follows from the number of groups in the document. A
        # number of this host's own would send its draws to groups that never heard of the
        # budget, and every request would be refused for want of money that is there.
        groups = self._configuration.document["ledger_groups"]
        ledger = make_ledger_client(self._control, groups)
        allotments = self._make_allotments(ledger)
        started = await allotments.start()
        if isinstance(started, Err):
            self._failure = str(started.err_value)
            log_event("ERROR", "allotments_not_started", refusal=started.err_value)
            return
        self._allotments = allotments
        await self._serve(allotments, ledger)
        http = self._settings["listen"]["http"]
        targets = len(self._targets.by_id)
        log_event("INFO", "entry_ready", revision=revision, targets=targets, http=http)

    async def _hand_money_back(self) -> None:
        if self._allotments is None:
            return
        try:
            has_disk = self._runtime.storage is not None
            async with asyncio.timeout(HAND_BACK_S if has_disk else HAND_BACK_WITHOUT_DISK_S):
                returned = await self._allotments.hand_back()
        except TimeoutError:
            # A host that is cut off from the ledger would drain for ever. What it holds
            # stays booked to it, and its charges are in its journal or at two peers. Only
            # on a host without a disk that reaches neither the ledger nor two peers, under
            # the policy `spend`, are they lost, so it tries for longer.
            returned = Err(Refusal(ErrorKind.TIMEOUT, "the ledger is out of reach"))
        if isinstance(returned, Err):
            # The next run on this host registers and brings the rest back.
            log_event("WARNING", "money_not_handed_back", refusal=returned.err_value)

    async def _serve(self, allotments: HostAllotments, ledger: LedgerClient) -> None:
        runtime = self._runtime
        router = make_router(
            self._targets,
            self._configuration,
            runtime.clock,
            runtime.random,
            self._me.host,
            self._me.place,
            lambda: max(1, len(self._membership.alive())),
        )
        self._waiting_by_model = router.waiting_by_model
        callers = self._settings["callers"]
        stack = make_caller_stack(
            self._me.host,
            self._me.place,
            self._me.incarnation,
            self._configuration,
            self._membership,
            allotments,
            ledger,
            router,
            runtime.clock,
            runtime.random,
            metrics=self._metrics,
            links=StackLinks(self._settings["listen"]["links"], self._caller, self._server),
            caller_limits=CallerLimits(
                bodies=BodyLimits(most_bytes=size_in_bytes(callers["body"])),
                ttl_s=seconds(callers["address_ttl"]),
            ),
        )
        stack.app.add_routes(
            make_announce_routes(self._targets, self._keys.target, runtime.clock, self._publish)
        )
        # A handler whose caller has gone is cancelled, which frees its place in the queue.
        runner = web.AppRunner(
            stack.app, access_log=None, shutdown_timeout=SHUTDOWN_S, handler_cancellation=True
        )
        await runner.setup()
        host, port = split_address(self._settings["listen"]["http"])
        await web.TCPSite(runner, host, port).start()
        self._stack = stack
        self._runner = runner
        prober = Prober(
            make_http_probe(stack.session), router.doubtful, router.probed, runtime.clock
        )
        self._tasks.append(asyncio.create_task(self._report_load(stack)))
        self._tasks.append(asyncio.create_task(prober.run()))

    async def _expire_targets(self) -> None:
        clock = self._runtime.clock
        while True:
            await clock.sleep(EXPIRE_EVERY_S)
            self._spread.expire(clock.now())

    async def _report_load(self, stack: CallerStack) -> None:
        while True:
            self._membership.set_load(min(1.0, stack.running / BUSY_REQUESTS))
            await self._runtime.clock.sleep(LOAD_EVERY_S)

    def _publish(self, announcement: Announcement) -> None:
        self._spread.publish(announcement)
        self._reporter.note(announcement)

    def _make_allotments(self, ledger: LedgerClient) -> HostAllotments:
        return make_allotments(
            Holder(self._me.host, self._me.incarnation),
            self._me.place,
            ledger,
            self._membership,
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
        if self._runner is None:
            return "there is no configuration yet"
        return "this host is draining" if self._is_draining else None

    def _register_state(self) -> None:
        self.state.register("host", self._me._asdict)
        self.state.register("configuration", self._follower.state)
        self.state.register("membership", self._membership.state)
        self.state.register("requests", self._requests_state)
        self.state.register("targets", self._targets_state)
        self.state.register("links", self._caller.state)
        self.state.register("budgets", self._budgets_state)

    def _budgets_state(self) -> dict[str, Any]:
        return self._allotments.state() if self._allotments is not None else {}

    def _requests_state(self) -> dict[str, Any]:
        running = self._stack.running if self._stack is not None else 0
        return {"running": running, "is_draining": self._is_draining}

    def _targets_state(self) -> dict[str, Any]:
        return {
            name: describe_target(target.announcement)
            for name, target in sorted(self._targets.by_id.items())
        }


def make_entry_program(settings: Settings, runtime: Runtime) -> EntryProgram:
    """Return the entry program of checked settings.

    Raise ``ValueError`` for a key file that changed since the check.
    """
    return EntryProgram(settings, runtime)
