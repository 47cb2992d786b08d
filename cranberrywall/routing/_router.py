"""Router of an entry host: grants a slot immediately, queues a demand, or refuses it."""

import asyncio
from collections.abc import Callable
from functools import partial

from result import Err, Result

from cranberrywall.configuration import Configuration, Workspace
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.rates import (
    PermitDemand,
    PermitRequest,
    RequestedTarget,
    TargetRates,
    make_standalone_rates,
)
from cranberrywall.routing._dispatcher import MAX_QUEUED, Dispatcher
from cranberrywall.routing._distances import Distances
from cranberrywall.routing._evacuation import EvacuatedPlaces, SplitTargets
from cranberrywall.routing._interfaces import Demand, Slot
from cranberrywall.routing._pool import OnLeaving, Pool
from cranberrywall.routing._queue import AcquireResult, Waiter
from cranberrywall.routing._rejections import RejectionSpread
from cranberrywall.routing._retries import RetryLimits
from cranberrywall.routing._subset import subset_of
from cranberrywall.routing._throttled import ThrottledAdmission
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import (
    Announcement,
    Backoffs,
    Change,
    Group,
    TargetIncarnation,
    Targets,
    group_of,
)

TICK_INTERVAL_S = 0.05
"""Interval at which the deadlines of queued demands are checked, in seconds."""

FORGIVEN_FAILURES_S = 2.0
"""Time before the detection of a partition in which failures are attributed to it, in seconds."""

NO_FIRST_RANK = -1


def make_router(
    targets: Targets,
    configuration: Configuration,
    clock: Clock,
    random: Random,
    host: str = "",
    place: str = "",
    count_hosts: Callable[[], int] = lambda: 1,
    max_waiting: int = MAX_QUEUED,
    retry_limits: RetryLimits | None = None,
    rates: TargetRates | None = None,
    backoffs: Backoffs | None = None,
    on_leaving: OnLeaving | None = None,
    rejections: RejectionSpread | None = None,
) -> "TargetRouter":
    """Return the router of ``host`` in ``place``; it follows the changes of ``targets``.

    ``count_hosts`` returns the number of live entry hosts, which share the targets. At most
    ``max_waiting`` demands are queued for one model or service. Without ``rates`` the host is
    standalone: it uses the full rate limit of each throttled target. ``backoffs`` are the backoffs
    that targets asked this host for. ``on_leaving`` is called with each target that announces in an
    answer that it leaves. ``rejections`` exchanges rejections of brittle targets with other hosts.
    """
    return TargetRouter(
        targets,
        configuration,
        clock,
        random,
        host,
        place,
        count_hosts,
        max_waiting,
        rates or make_standalone_rates(targets, clock, random, configuration),
        backoffs or Backoffs(clock, random),
        on_leaving or partial(_apply_leaving, targets),
        rejections or RejectionSpread(host, None, clock),
        retry_limits,
    )


class TargetRouter:
    """Choose targets and grant slots at them; one instance for each entry host."""

    def __init__(
        self,
        targets: Targets,
        configuration: Configuration,
        clock: Clock,
        random: Random,
        host: str,
        place: str,
        count_hosts: Callable[[], int],
        max_waiting: int,
        rates: TargetRates,
        backoffs: Backoffs,
        on_leaving: OnLeaving,
        rejections: RejectionSpread,
        retry_limits: RetryLimits | None = None,
    ) -> None:
        self._rejections = rejections
        self._on_leaving = on_leaving
        self._rates = rates
        self._backoffs = backoffs
        self._throttled_by_group: dict[Group, ThrottledAdmission] = {}
        self._retry_limits = retry_limits
        self._max_waiting = max_waiting
        self._count_hosts = count_hosts
        self._targets = targets
        self._host = host
        self._configuration = configuration
        self._evacuated = EvacuatedPlaces(configuration)
        self._clock = clock
        self._random = random
        self._distances = Distances(configuration, place)
        self._dispatcher_by_group: dict[Group, Dispatcher] = {}
        self._in_progress_by_workspace: dict[str, int] = {}
        self._ranks_revision = -1
        self._cached_first_rank = NO_FIRST_RANK
        self._ticker: asyncio.Task[None] | None = None
        for group in targets.by_group:
            self._choose_subset(group, clock.now())
        targets.subscribe(self._on_change)
        rates.table.subscribe(self._on_rate)
        rejections.subscribe(self._on_rejected_elsewhere)
        backoffs.subscribe(self._on_backoff)

    async def acquire(self, demand: Demand, now: float) -> Result[Slot, Refusal]:
        """Wait until a target has a free slot, or refuse; see ``Router.acquire``."""
        refusal = self._refusal_on_arrival(demand, now)
        if refusal is not None:
            return Err(refusal)
        self._rates.cold.expire(now)
        dispatcher = self._dispatcher_by_group[Group(demand.kind, demand.name)]
        on_end = partial(self._end, dispatcher, demand.workspace)
        if dispatcher.pool.throttled_by_id():
            return await self._acquire_throttled(dispatcher, demand, on_end)
        answer = dispatcher.admit(demand, on_end, now)
        if answer is None:
            self._count(demand.workspace, 1)
            return await self._wait(dispatcher, dispatcher.enqueue(demand, on_end, now))
        if answer.is_ok():
            self._count(demand.workspace, 1)
        return answer

    async def may_send_again(self, url: str, rank: int, workspace: str) -> bool:
        """Return whether one more call may go to a target; see ``Router.may_send_again``."""
        target = self._targets.by_url(url)
        if target is None:
            return True
        announcement = target.announcement
        if announcement.place in self._evacuated.places():
            return False
        incarnation = TargetIncarnation(announcement.target, announcement.incarnation)
        if self._backoffs.blocks_requests(incarnation, self._clock.now()):
            return False
        limit = self._rates.table.limit_of(incarnation)
        if limit is None:
            return True
        group = group_of(announcement)
        number = self._rates.table.record_of(incarnation).number
        requested = RequestedTarget(incarnation, number, limit)
        permit_demand = PermitDemand(rank, workspace, 1)
        reply = await self._rates.permits.request(
            PermitRequest(group.kind, group.name, (requested,), (permit_demand,), 0.0)
        )
        if reply is None or not reply.permits:
            return False
        self._rates.sent_by_target[incarnation.target] += 1
        return True

    def waiting_by_model(self) -> dict[str, float]:
        """Return the number of requests that are queued on this host for each model."""
        return {
            group.name: float(len(dispatcher.queue))
            for group, dispatcher in self._dispatcher_by_group.items()
            if group.kind == "engine" and len(dispatcher.queue)
        }

    def tick(self, now: float) -> None:
        """Refuse queued demands past their deadline and serve those that can be served."""
        for group, dispatcher in self._dispatcher_by_group.items():
            dispatcher.expire(now)
            if len(dispatcher.queue):
                self._throttled_by_group[group].expire(now)
            dispatcher.dispatch(now)

    def apply_evacuations(self, now: float) -> None:
        """Apply the evacuations of the configuration in force; call it after each change of it."""
        before = self._evacuated.applied
        if not self._evacuated.refresh(self._clock.wall()):
            return
        self._rates.cold.record_evacuation_end(before - self._evacuated.places(), now)
        for group, dispatcher in self._dispatcher_by_group.items():
            self._choose_subset(group, now)
            dispatcher.refuse_unserved(partial(self._no_target_refusal, group), now)
            dispatcher.dispatch(now)

    def forgive_failures(self, now: float) -> None:
        """Discard the recent failures of targets: this host lost its paths to them."""
        for dispatcher in self._dispatcher_by_group.values():
            dispatcher.pool.forgive_failures(now - FORGIVEN_FAILURES_S)
            dispatcher.dispatch(now)

    def targets_to_probe(self, now: float) -> list[Announcement]:
        """Return the ejected and unresponsive targets that should be probed."""
        dispatchers = self._dispatcher_by_group.values()
        return [
            found for dispatcher in dispatchers for found in dispatcher.pool.targets_to_probe(now)
        ]

    def record_probe(self, announcement: Announcement, is_healthy: bool, now: float) -> None:
        """Record the result of a probe of a target."""
        self._dispatcher(group_of(announcement)).pool.record_probe(
            announcement.target, is_healthy, now
        )

    async def _acquire_throttled(
        self, dispatcher: Dispatcher, demand: Demand, on_end: Callable[[float], None]
    ) -> AcquireResult:
        """Acquire a slot while targets of the group are throttled."""
        throttled_admission = self._throttled_by_group[Group(demand.kind, demand.name)]
        # Count the request before its permit is requested: other requests of the workspace arrive
        # meanwhile.
        self._count(demand.workspace, 1)
        try:
            answer = await throttled_admission.admit(demand, on_end)
        except asyncio.CancelledError:
            self._count(demand.workspace, -1)
            raise
        if answer is None:
            waiter = dispatcher.enqueue(demand, on_end, self._clock.now())
            throttled_admission.start_requesting()
            return await self._wait(dispatcher, waiter)
        if answer.is_err():
            self._count(demand.workspace, -1)
        return answer

    async def _wait(self, dispatcher: Dispatcher, waiter: Waiter) -> AcquireResult:
        self._start_ticker()
        try:
            answer = await waiter.future
        except asyncio.CancelledError:
            was_queued = not _was_granted(waiter)
            dispatcher.release(waiter, self._clock.now())
            if was_queued:
                self._count(waiter.demand.workspace, -1)
            raise
        if answer.is_err():
            self._count(waiter.demand.workspace, -1)
        return answer

    def _end(self, dispatcher: Dispatcher, workspace: str, now: float) -> None:
        self._count(workspace, -1)
        dispatcher.dispatch(now)

    def _count(self, workspace: str, change: int) -> None:
        count = self._in_progress_by_workspace.get(workspace, 0) + change
        if count:
            self._in_progress_by_workspace[workspace] = count
        else:
            del self._in_progress_by_workspace[workspace]

    def _refusal_on_arrival(self, demand: Demand, now: float) -> Refusal | None:
        if demand.deadline <= now:
            return Refusal(ErrorKind.DEADLINE_PASSED, "the deadline had passed on arrival")
        refusal = self._workspace_refusal(demand) if demand.workspace else None
        if refusal is not None:
            return refusal
        dispatcher = self._dispatcher_by_group.get(Group(demand.kind, demand.name))
        if dispatcher is None or not dispatcher.pool.serves(demand):
            return self._no_target_refusal(Group(demand.kind, demand.name))
        return None

    def _no_target_refusal(self, group: Group) -> Refusal:
        """Return the refusal of a demand that no target of its group may get now."""
        if not self._split_targets(group).evacuated:
            return Refusal(ErrorKind.NO_TARGET, f"no target serves {group.name} now")
        places = ", ".join(sorted(self._evacuated.places()))
        return Refusal(
            ErrorKind.EVACUATED,
            f"no target outside the evacuated places ({places}) serves {group.name} now",
        )

    def _workspace_refusal(self, demand: Demand) -> Refusal | None:
        workspace = self._configuration.document["workspaces"].get(demand.workspace)
        if workspace is None or not _is_in_reach(workspace, demand):
            return Refusal(
                ErrorKind.FORBIDDEN,
                f"workspace {demand.workspace} may not call {demand.name}",
                "model" if demand.kind == "engine" else "service",
                "call one within the workspace's reach, or have the reach widened",
            )
        if self._in_progress_by_workspace.get(demand.workspace, 0) >= workspace["concurrent"]:
            return Refusal(
                ErrorKind.TOO_MANY_REQUESTS,
                f"workspace {demand.workspace} has {workspace['concurrent']} requests in progress",
            )
        return None

    def _first_rank(self) -> int:
        revision = self._configuration.revision
        if revision != self._ranks_revision:
            priorities = self._configuration.document.get("priorities", {})
            ranks = {priority["rank"] for priority in priorities.values()}
            self._cached_first_rank = min(ranks) if len(ranks) > 1 else NO_FIRST_RANK
            self._ranks_revision = revision
        return self._cached_first_rank

    def _start_ticker(self) -> None:
        if self._ticker is None or self._ticker.done():
            self._ticker = asyncio.create_task(self._tick_while_waiting())

    async def _tick_while_waiting(self) -> None:
        while any(len(dispatcher.queue) for dispatcher in self._dispatcher_by_group.values()):
            await self._clock.sleep(TICK_INTERVAL_S)
            self.tick(self._clock.now())

    def _on_change(self, announcement: Announcement, change: Change, now: float) -> None:
        group = group_of(announcement)
        if change is Change.LEFT:
            # The target may have changed its group since its last announcement here.
            for dispatcher in self._dispatcher_by_group.values():
                dispatcher.pool.remove(announcement.target)
        elif change is not Change.RENEWED:
            self._leave_other_groups(announcement.target, group, now)
        if change is not Change.RENEWED:
            self._choose_subset(group, now)
        dispatcher = self._dispatcher(group)
        if change is not Change.LEFT:
            dispatcher.pool.put(announcement, now)
        dispatcher.dispatch(now)

    def _on_rate(self, incarnation: TargetIncarnation) -> None:
        """Serve queued demands if a target is no longer throttled, else request permits."""
        now = self._clock.now()
        for group, dispatcher in self._dispatcher_by_group.items():
            if incarnation.target not in dispatcher.pool.candidate_by_id:
                continue
            throttled_admission = self._throttled_by_group[group]
            throttled_admission.rate_changed(incarnation, now)
            dispatcher.dispatch(now)
            if len(dispatcher.queue) and dispatcher.pool.throttled_by_id():
                throttled_admission.start_requesting()

    def _on_rejected_elsewhere(self, incarnation: TargetIncarnation) -> None:
        now = self._clock.now()
        for dispatcher in self._dispatcher_by_group.values():
            dispatcher.pool.record_rejected_elsewhere(incarnation, now)

    def _on_backoff(self, incarnation: TargetIncarnation) -> None:
        """Refuse queued demands that no target can serve in time any more."""
        now = self._clock.now()
        for dispatcher in self._dispatcher_by_group.values():
            if len(dispatcher.queue) and incarnation.target in dispatcher.pool.candidate_by_id:
                dispatcher.refuse_late(now)

    def _leave_other_groups(self, target_id: str, group: Group, now: float) -> None:
        # An engine that was ordered to load another model announces itself under the name of that
        # model. If it stayed in the old model's pool, it would get requests for that model and
        # refuse each of them. Its requests in progress continue.
        for other, dispatcher in list(self._dispatcher_by_group.items()):
            if other != group and target_id in dispatcher.pool.candidate_by_id:
                self._choose_subset(other, now)

    def _choose_subset(self, group: Group, now: float) -> None:
        usable, evacuated = self._split_targets(group)
        subset = subset_of(self._host, usable, self._distances.seconds_to)
        parked_ids = {announcement.target for announcement in evacuated}
        self._dispatcher(group).pool.set_targets(subset, len(usable), now, parked_ids)

    def _split_targets(self, group: Group) -> SplitTargets:
        members = self._targets.by_group.get(group, {})
        return self._evacuated.split(target.announcement for target in members.values())

    def _dispatcher(self, group: Group) -> Dispatcher:
        if group not in self._dispatcher_by_group:
            pool = Pool(
                self._clock,
                self._random,
                self._distances,
                self._count_hosts,
                self._clock.now(),
                self._rates,
                self._backoffs,
                self._on_leaving,
                self._rejections,
                self._retry_limits,
            )
            dispatcher = Dispatcher(pool, self._random, self._first_rank, self._max_waiting)
            self._dispatcher_by_group[group] = dispatcher
            self._throttled_by_group[group] = ThrottledAdmission(
                group, dispatcher, self._rates, self._clock
            )
        return self._dispatcher_by_group[group]


def _apply_leaving(
    targets: Targets, announcement: Announcement, request_id: str, now: float
) -> None:
    targets.apply(announcement._replace(leaving=True), now)


def _was_granted(waiter: Waiter) -> bool:
    future = waiter.future
    return future.done() and not future.cancelled() and future.result().is_ok()


def _is_in_reach(workspace: Workspace, demand: Demand) -> bool:
    reach = workspace["reach"]
    return demand.name in reach["models" if demand.kind == "engine" else "services"]
