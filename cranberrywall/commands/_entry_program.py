"""Assemble the entry program: configuration, money, targets, callers, operators' HTTP."""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Any

from result import Err

from cranberrywall import STARTED_CLOCK
from cranberrywall.budgets import HostAllotments, LedgerClient, make_ledger_client
from cranberrywall.budgets.allotments import make_allotments
from cranberrywall.budgets.messages import Holder
from cranberrywall.commands._entry_ties import HostConnections, describe_target
from cranberrywall.commands._shutdown_log import ShutdownLog
from cranberrywall.configuration import evacuated_places, make_host_configuration
from cranberrywall.control import RelayedClient, make_control_client
from cranberrywall.entry import (
    ConfiguredPolicies,
    Frontend,
    FrontendContext,
    LoadMeter,
    StallDetector,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import RecordedGossip, register_drain, register_dump
from cranberrywall.observability import (
    AdminServer,
    HealthChecks,
    StateRegistry,
    log_event,
    make_admin_server,
    make_metrics,
)
from cranberrywall.orders import EngineReporter
from cranberrywall.quarantine import (
    RECORD_LIFETIME_BY_TOPIC,
    Quarantine,
    RunTracker,
    register_quarantine,
)
from cranberrywall.rates import make_rates
from cranberrywall.records import RecordClient
from cranberrywall.routing import (
    RejectionSpread,
    RetryLimits,
    make_announcement_gossip,
    make_router,
)
from cranberrywall.runtime import Runtime, make_network
from cranberrywall.settings import FleetKeys, Settings, seconds
from cranberrywall.targets import (
    Announcement,
    Backoffs,
    Change,
    HostIncarnation,
    LeavingUpdates,
    fetch_known_targets,
    fetch_leaving_targets,
    make_targets,
    register_relay,
)
from cranberrywall.tunnels import DirectPaths, Neighbours, Paths, TunnelClient, TunnelServer

HAND_BACK_S = 10.0
"""A host that ends tries for so long to commit its charges and return its money."""

HAND_BACK_WITHOUT_DISK_S = 60.0

TTL_MARGIN_S = 0.5
"""How much longer than they were told callers may keep addresses, for answers on the way."""

QUIET_S = 1.0
"""A draining host without an arrival for so long is no longer used by any caller."""

LOAD_EVERY_S = 1.0

RESTORE_WAIT_S = 0.2
"""Maximum time for which a host that starts waits for the records of control hosts, in seconds."""

RESTORE_TIMEOUT_S = 2.0
"""Time limit of one try to fetch the records, in seconds."""

RESTORE_DURATION_S = 30.0
"""Time for which a host that started asks control hosts that have not answered, in seconds."""

MIN_RESTORE_RETRY_DELAY_S = 0.1
MAX_RESTORE_RETRY_DELAY_S = 5.0
"""Bounds of the time between two tries, in seconds. The control hosts of an older build have no
records."""

FETCH_TARGETS_TIMEOUT_S = 0.1
"""Time limit of each of two fetches of targets by a host that starts, in seconds."""

MAX_CONTROLS_FETCHED = 9
"""Maximum number of control hosts from which a host that starts fetches targets."""

EXPIRE_EVERY_S = 1.0
CONTROLS_ASKED = 4
"""Control hosts that are asked which targets left; two of them may be lost."""

BUSY_REQUESTS = 1000
"""Requests in progress at which a host says that it is fully loaded."""


class EntryProgram:
    """Hold one entry process."""

    def __init__(
        self,
        settings: Settings,
        runtime: Runtime,
        keys: FleetKeys,
        front: Frontend,
        retry_limits: RetryLimits | None = None,
        max_hand_back_s: Callable[[], float] | None = None,
    ) -> None:
        """``max_hand_back_s`` returns the time to hand money back; else it depends on the disk."""
        self._max_hand_back_s = max_hand_back_s
        self._settings = settings
        self._runtime = runtime
        self._front = front
        self._retry_limits = retry_limits
        self._configuration = make_host_configuration(runtime.storage)
        connections = HostConnections(settings, runtime, keys, self._configuration)
        self._connections = connections
        self._me, self._server, self._caller = (
            connections.me,
            connections.server,
            connections.caller,
        )
        self._membership, self._follower = connections.membership, connections.follower
        clock, controls = runtime.clock, connections.controls
        self._control = RelayedClient(
            make_control_client(self._caller, clock, controls, runtime.random),
            self._caller,
            self._other_entry_hosts,
            clock,
            runtime.random,
        )
        self._records = RecordClient(controls, self._caller, clock)
        self._allotments: HostAllotments | None = None
        self._targets = make_targets()
        self._spread = make_announcement_gossip(self._targets, self._membership.gossip, clock)
        direct_paths = DirectPaths()
        self._neighbours = Neighbours(
            self._me.host, self._me.place, self._membership.alive, runtime.random
        )
        tunnels = TunnelClient(self._caller, self._neighbours, clock)
        self._paths = Paths(direct_paths, tunnels, clock)
        self._tunnel_server = TunnelServer(self._targets, direct_paths, clock)
        # Targets' own listeners are asked only whether they take connections, without a word.
        tracker = RunTracker(
            self._targets, make_network(), clock, self._paths.is_reached_by_neighbour
        )
        self._gossip = RecordedGossip(
            connections.membership.gossip, self._records, clock, RECORD_LIFETIME_BY_TOPIC
        )
        self._quarantine = Quarantine(self._me.host, tracker, self._gossip, self._gossip.clock)
        self._rates = make_rates(
            self._me.host,
            self._targets,
            self._membership,
            self._caller,
            self._server,
            clock,
            runtime.random,
            self._configuration,
        )
        self._backoffs = Backoffs(clock, runtime.random)
        self._rejections = RejectionSpread(self._me.host, self._membership.gossip, clock)
        self._leaving = LeavingUpdates(self._control_runs, self._caller, clock)
        self._reporter = EngineReporter(
            self._caller,
            clock,
            controls,
            lambda: self._waiting_by_model(),
            lambda: bool(self._configuration.document["models"]),
        )
        self._follower.register(self._server)
        self.on_drain: Callable[[], None] = lambda: None
        register_drain(self._server, self._me.incarnation, lambda: self.on_drain())
        register_relay(self._server, self._publish)
        register_quarantine(self._server, self._quarantine)
        self._tunnel_server.register(self._server)
        self._control.register(self._server)
        self._metrics = make_metrics()
        connections.counters.export(self._metrics)
        connections.membership.export(self._metrics)
        self._follower.export(self._metrics)
        self._quarantine.export(self._metrics)
        self._rates.export(self._metrics)
        self._backoffs.export(self._metrics)
        self._rejections.export(self._metrics)
        self._records.export(self._metrics)
        self._control.export(self._metrics)
        self._paths.export(self._metrics)
        self._tunnel_server.export(self._metrics)
        self._metrics.gauge_of(
            "places_evacuated",
            "Places whose targets get no requests because of an operator's order.",
            lambda: len(evacuated_places(self._configuration.document)),
        )
        self._load_meter = LoadMeter(runtime.clock, time.process_time, lambda: self._front.running)
        self._load_meter.export(self._metrics)
        self.state = StateRegistry()
        self._health = HealthChecks()
        self._admin = self._make_admin(keys)
        self._waiting_by_model: Callable[[], Mapping[str, float]] = dict
        self._failure = ""
        self._shutdown_log = ShutdownLog(runtime.clock, self._remaining_work)
        self._is_serving = False
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
        await self._front.listen()
        await self._admin.start()
        self._tasks.append(asyncio.create_task(self._become_ready()))
        log_event("INFO", "entry_started", admin=self.admin_address)

    async def drain(self) -> None:
        """Go on serving until no caller can hold an answer that names this host.

        From now on no answer names it, and none that was given is older than its time to
        live when this returns. So no request is refused or cut because the host leaves.
        """
        self._membership.leave()
        if not self._is_serving or self._is_draining:
            return
        self._is_draining = True
        self._front.start_draining()
        self._tunnel_server.start_draining()
        clock = self._runtime.clock
        log_event("INFO", "entry_draining", running=self._front.running)
        self._shutdown_log.start_step("wait_for_address_ttl")
        await clock.sleep(seconds(self._settings["callers"]["address_ttl"]) + TTL_MARGIN_S)
        self._shutdown_log.start_step("wait_for_callers")
        while self._front.idle_duration_s(clock.now()) < QUIET_S:
            await clock.sleep(QUIET_S - self._front.idle_duration_s(clock.now()))

    async def stop(self) -> None:
        """Finish the requests in progress, hand the money back and close everything."""
        self._membership.leave()
        shutdown = self._shutdown_log
        if self._is_serving:
            shutdown.start_step("stop_listening")
            await self._front.stop_listening()
            shutdown.start_step("finish_requests")
            remaining_s = self._front.remaining_s(self._runtime.clock.now())
            await asyncio.gather(self._front.finish(), self._tunnel_server.finish(remaining_s))
            shutdown.start_step("hand_money_back")
            await self._hand_money_back()
        shutdown.start_step("close_front")
        await self._front.close()
        self._quarantine.close()
        self._rates.close()
        self._paths.close()
        if self._allotments is not None:
            shutdown.start_step("stop_allotments")
            await self._allotments.stop()
        shutdown.start_step("stop_tasks")
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        shutdown.start_step("close_membership")
        await self._membership.close()
        shutdown.start_step("close_admin")
        await self._admin.close()
        self._records.close()
        shutdown.start_step("close_links")
        await self._server.close()
        await self._caller.close()
        shutdown.end()
        log_event("INFO", "entry_stopped")

    def _remaining_work(self) -> dict[str, Any]:
        """Return what a shutdown has to finish, for its log lines."""
        uncommitted = self._allotments.uncommitted if self._allotments is not None else 0
        return {
            "running": self._front.running,
            "tunnels": self._tunnel_server.running,
            "uncommitted": uncommitted,
            "tasks": len(asyncio.all_tasks()),
        }

    async def _become_ready(self) -> None:
        restoring = asyncio.create_task(self._restore())
        self._tasks.append(restoring)
        # Other hosts know what is on record as well, but not how old it is. So this host meets them
        # afterwards, at first through the control hosts.
        await asyncio.wait({restoring}, timeout=RESTORE_WAIT_S)
        if self._connections.contacts is not None:
            self._tasks.append(asyncio.create_task(self._connections.contacts.run()))
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
        fetching = asyncio.create_task(self._fetch_targets())
        started = await allotments.start()
        if isinstance(started, Err):
            self._failure = str(started.err_value)
            log_event("ERROR", "allotments_not_started", refusal=started.err_value)
            return
        self._allotments = allotments
        allotments.export(self._metrics)
        await fetching
        await self._serve(allotments, ledger)
        targets = len(self._targets.by_id)
        log_event("INFO", "entry_ready", revision=revision, targets=targets)

    async def _fetch_targets(self) -> None:
        """Fetch the targets from control hosts, the leaving ones first, within a limit.

        Other hosts that have just started know none either, and targets renew their announcements
        only from time to time.
        """
        controls = list(self._connections.controls())[:MAX_CONTROLS_FETCHED]
        clock = self._runtime.clock
        try:
            async with asyncio.timeout(FETCH_TARGETS_TIMEOUT_S):
                await fetch_leaving_targets(controls, self._caller, self._publish)
        except TimeoutError:
            log_event("INFO", "leaving_targets_not_fetched", controls=len(controls))
        await fetch_known_targets(
            controls,
            self._caller,
            lambda announcement: self._targets.apply(announcement, clock.now()),
            FETCH_TARGETS_TIMEOUT_S,
        )

    async def _restore(self) -> None:
        """Restore what the fleet found out before, from all control hosts that answer."""
        clock = self._runtime.clock
        until = clock.now() + RESTORE_DURATION_S
        delay_s = MIN_RESTORE_RETRY_DELAY_S
        while not await self._gossip.restore(RESTORE_TIMEOUT_S) and clock.now() < until:
            await clock.sleep(delay_s)
            delay_s = min(2.0 * delay_s, MAX_RESTORE_RETRY_DELAY_S)

    def _longest_hand_back_s(self) -> float:
        if self._max_hand_back_s is not None:
            return self._max_hand_back_s()
        return HAND_BACK_WITHOUT_DISK_S if self._runtime.storage is None else HAND_BACK_S

    async def _hand_money_back(self) -> None:
        if self._allotments is None:
            return
        try:
            async with asyncio.timeout(self._longest_hand_back_s()):
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
            retry_limits=self._retry_limits,
            rates=self._rates,
            backoffs=self._backoffs,
            on_leaving=self._note_leaving,
            rejections=self._rejections,
        )
        self._paths.watch_start(router.forgive_failures)
        self._waiting_by_model = router.waiting_by_model
        router.apply_evacuations(runtime.clock.now())
        self._configuration.watch(lambda revision: router.apply_evacuations(runtime.clock.now()))
        standstill = StallDetector(runtime.clock, self._catch_up)
        parts = FrontendContext(
            self._me,
            self._configuration,
            self._membership,
            allotments,
            ledger,
            self._targets,
            router,
            self._caller,
            self._server,
            runtime,
            self._metrics,
            self._publish,
            self._is_current,
            self._quarantine,
            self._backoffs,
            standstill.settle,
            self._paths,
            self._records,
        )
        await self._front.serve(parts)
        self._tasks.append(asyncio.create_task(standstill.run()))
        self._is_serving = True
        self._tasks.append(asyncio.create_task(self._load_meter.run()))
        self._tasks.append(asyncio.create_task(self._report_load()))

    async def _catch_up(self) -> None:
        """Ask what changed while this process did not run."""
        controls = list(self._connections.controls())[:CONTROLS_ASKED]
        await asyncio.gather(
            self._follower.check(), fetch_leaving_targets(controls, self._caller, self._publish)
        )

    def _is_current(self, now: float) -> bool:
        if not self._follower.has_newest_heard:
            return False
        contacts = self._connections.contacts
        return contacts is None or contacts.is_recently_seen(now)

    async def _expire_targets(self) -> None:
        clock = self._runtime.clock
        while True:
            await clock.sleep(EXPIRE_EVERY_S)
            self._quarantine.expire(clock.now())
            self._rates.expire(clock.now())
            self._backoffs.expire(clock.now())
            self._rejections.expire(clock.now())
            self._tunnel_server.expire(clock.now())
            self._neighbours.expire(clock.now())
            contacts = self._connections.contacts
            # Where control takes the targets' renewals in, a host that is cut off from it
            # hears none. That says nothing of the targets: they are used as long as they
            # answer.
            if contacts is None or contacts.is_recently_seen(clock.now()):
                self._spread.expire(clock.now())

    async def _report_load(self) -> None:
        while True:
            self._membership.set_load(min(1.0, self._front.running / BUSY_REQUESTS))
            await self._runtime.clock.sleep(LOAD_EVERY_S)

    def _publish(self, announcement: Announcement) -> None:
        self._spread.publish(announcement)
        self._reporter.note(announcement)

    def _note_leaving(self, announcement: Announcement, request_id: str, now: float) -> None:
        """Let all hosts know that a target said in an answer that it leaves."""
        leaving = announcement._replace(leaving=True, load=None, cache_events=())
        if self._targets.apply(leaving, now) is not Change.LEFT:
            return
        log_event(
            "INFO",
            "target_leaves_by_answer",
            request=request_id,
            target=leaving.target,
            incarnation=leaving.incarnation,
        )
        self._publish(leaving)
        # Control passes it on to entry hosts that the others cannot reach.
        self._leaving.add(leaving, now)

    def _other_entry_hosts(self) -> list[str]:
        return [view.links for view in self._membership.alive() if view.host != self._me.host]

    def _control_runs(self) -> list[HostIncarnation]:
        return [
            HostIncarnation(links, 0, is_control=True) for links in self._connections.controls()
        ]

    def _make_allotments(self, ledger: LedgerClient) -> HostAllotments:
        return make_allotments(
            Holder(self._me.host, self._me.incarnation),
            self._me.place,
            ledger,
            self._membership,
            self._connections.entry_hosts,
            ConfiguredPolicies(self._configuration),
            self._caller,
            self._server,
            self._runtime,
            STARTED_CLOCK,
        )

    def _make_admin(self, keys: FleetKeys) -> AdminServer:
        self._health.add_health("allotments", lambda: self._failure or None)
        self._health.add_readiness("callers", self._check_serving)
        return make_admin_server(
            self._settings["listen"]["admin"],
            self._metrics,
            self.state,
            self._health,
            keys.admin,
        )

    def _check_serving(self) -> str | None:
        if not self._is_serving:
            return "there is no configuration yet"
        return "this host is draining" if self._is_draining else None

    def _register_state(self) -> None:
        self.state.register("host", self._me._asdict)
        self.state.register("configuration", self._follower.state)
        self.state.register("membership", self._membership.state)
        self.state.register("requests", self._requests_state)
        self.state.register("targets", self._targets_state)
        self.state.register("quarantine", self._quarantine.state)
        self.state.register("evacuations", self._evacuations_state)
        self.state.register("rates", self._rates.state)
        self.state.register("links", self._caller.state)
        self.state.register("paths", self._paths.state)
        self.state.register("tunnels", self._tunnel_server.state)
        self.state.register("budgets", self._budgets_state)

    def _budgets_state(self) -> dict[str, Any]:
        return self._allotments.state() if self._allotments is not None else {}

    def _evacuations_state(self) -> dict[str, Any]:
        return dict(self._configuration.document.get("evacuations", {}))

    def _requests_state(self) -> dict[str, Any]:
        return {"running": self._front.running, "is_draining": self._is_draining}

    def _targets_state(self) -> dict[str, Any]:
        now = self._runtime.clock.now()
        return {
            name: describe_target(target.announcement, self._rates, self._backoffs, now)
            for name, target in sorted(self._targets.by_id.items())
        }
