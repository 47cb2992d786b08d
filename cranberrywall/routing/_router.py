"""Admit demands: grant a place at once, let them wait, or refuse."""

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
from cranberrywall.routing._dispatcher import MAX_WAITING, Dispatcher
from cranberrywall.routing._distances import Distances
from cranberrywall.routing._interfaces import Demand, Slot
from cranberrywall.routing._pool import OnLeaving, Pool
from cranberrywall.routing._queue import Answer, Waiter
from cranberrywall.routing._rated import RatedAdmission
from cranberrywall.routing._retries import RetryLimits
from cranberrywall.routing._subset import subset_of
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

TICK_S = 0.05
"""Deadlines in the queues are looked at this often, in seconds, while anything waits."""

NO_FIRST_RANK = -1


def make_router(
    targets: Targets,
    configuration: Configuration,
    clock: Clock,
    random: Random,
    host: str = "",
    place: str = "",
    count_hosts: Callable[[], int] = lambda: 1,
    max_waiting: int = MAX_WAITING,
    retry_limits: RetryLimits | None = None,
    rates: TargetRates | None = None,
    backoffs: Backoffs | None = None,
    on_leaving: OnLeaving | None = None,
) -> "TargetRouter":
    """Return the router of ``host`` in ``place``; it follows the changes of ``targets``.

    ``count_hosts`` returns how many entry hosts are alive: they share the targets.
    ``max_waiting`` demands wait for one model or service at most. Without ``rates`` the host stands
    alone: what targets in need take is all its own. ``backoffs`` are this host's own.
    ``on_leaving`` takes in which targets say in an answer that they leave.
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
        rates or make_standalone_rates(targets, clock, random),
        backoffs or Backoffs(clock, random),
        on_leaving or partial(_apply_leaving, targets),
        retry_limits,
    )


class TargetRouter:
    """Choose targets and hand out places at them; one for each entry host."""

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
        retry_limits: RetryLimits | None = None,
    ) -> None:
        self._on_leaving = on_leaving
        self._rates = rates
        self._backoffs = backoffs
        self._rated_by_group: dict[Group, RatedAdmission] = {}
        self._retry_limits = retry_limits
        self._max_waiting = max_waiting
        self._count_hosts = count_hosts
        self._targets = targets
        self._host = host
        self._configuration = configuration
        self._clock = clock
        self._random = random
        self._distances = Distances(configuration, place)
        self._dispatcher_by_group: dict[Group, Dispatcher] = {}
        self._in_progress_by_workspace: dict[str, int] = {}
        self._ranks_revision = -1
        self._known_first_rank = NO_FIRST_RANK
        self._ticker: asyncio.Task[None] | None = None
        for group in targets.by_group:
            self._choose_subset(group, clock.now())
        targets.subscribe(self._on_change)
        rates.known.subscribe(self._on_rate)
        backoffs.subscribe(self._on_backoff)

    async def acquire(self, demand: Demand, now: float) -> Result[Slot, Refusal]:
        """Wait until a target has a place, or refuse; see ``Router.acquire``."""
        refusal = self._check(demand, now)
        if refusal is not None:
            return Err(refusal)
        dispatcher = self._dispatcher_by_group[Group(demand.kind, demand.name)]
        on_end = partial(self._end, dispatcher, demand.workspace)
        if dispatcher.pool.limited():
            return await self._acquire_rated(dispatcher, demand, on_end)
        answer = dispatcher.admit(demand, on_end, now)
        if answer is None:
            self._count(demand.workspace, 1)
            return await self._wait(dispatcher, dispatcher.wait(demand, on_end, now))
        if answer.is_ok():
            self._count(demand.workspace, 1)
        return answer

    async def may_send_again(self, url: str, rank: int, workspace: str) -> bool:
        """Return whether one more call may go to a target; see ``Router``."""
        target = self._targets.by_url(url)
        if target is None:
            return True
        announcement = target.announcement
        start = TargetIncarnation(announcement.target, announcement.incarnation)
        if self._backoffs.blocks_requests(start, self._clock.now()):
            return False
        known = self._rates.known.known(start)
        if known.per_s is None:
            return True
        group = group_of(announcement)
        asked = RequestedTarget(start, known.number, known.per_s)
        want = PermitDemand(rank, workspace, 1)
        reply = await self._rates.permits.ask(
            PermitRequest(group.kind, group.name, (asked,), (want,), 0.0)
        )
        if reply is None or not reply.permits:
            return False
        self._rates.sent_by_target[start.target] += 1
        return True

    def waiting_by_model(self) -> dict[str, float]:
        """Return how many requests wait here for each model."""
        return {
            group.name: float(len(dispatcher.queue))
            for group, dispatcher in self._dispatcher_by_group.items()
            if group.kind == "engine" and len(dispatcher.queue)
        }

    def tick(self, now: float) -> None:
        """Refuse waiters past their deadline and serve those who can be served."""
        for group, dispatcher in self._dispatcher_by_group.items():
            dispatcher.expire(now)
            if len(dispatcher.queue):
                self._rated_by_group[group].expire(now)
            dispatcher.dispatch(now)

    def targets_to_probe(self, now: float) -> list[Announcement]:
        """Return the targets that are worth a probe."""
        dispatchers = self._dispatcher_by_group.values()
        return [
            found for dispatcher in dispatchers for found in dispatcher.pool.targets_to_probe(now)
        ]

    def record_probe(self, announcement: Announcement, well: bool, now: float) -> None:
        """Take in what a probe of a target showed."""
        self._dispatcher(group_of(announcement)).pool.record_probe(announcement.target, well, now)

    async def _acquire_rated(
        self, dispatcher: Dispatcher, demand: Demand, on_end: Callable[[float], None]
    ) -> Answer:
        """Acquire while targets of the group are in need."""
        rated = self._rated_by_group[Group(demand.kind, demand.name)]
        # Counted before permits are asked for: others of the workspace come meanwhile.
        self._count(demand.workspace, 1)
        try:
            answer = await rated.admit(demand, on_end)
        except asyncio.CancelledError:
            self._count(demand.workspace, -1)
            raise
        if answer is None:
            waiter = dispatcher.wait(demand, on_end, self._clock.now())
            rated.seek()
            return await self._wait(dispatcher, waiter)
        if answer.is_err():
            self._count(demand.workspace, -1)
        return answer

    async def _wait(self, dispatcher: Dispatcher, waiter: Waiter) -> Answer:
        self._start_ticker()
        try:
            answer = await waiter.future
        except asyncio.CancelledError:
            refused = not _granted(waiter)
            dispatcher.give_back(waiter, self._clock.now())
            if refused:
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

    def _check(self, demand: Demand, now: float) -> Refusal | None:
        if demand.deadline <= now:
            return Refusal(ErrorKind.DEADLINE_PASSED, "the deadline had passed on arrival")
        refusal = self._check_workspace(demand) if demand.workspace else None
        if refusal is not None:
            return refusal
        dispatcher = self._dispatcher_by_group.get(Group(demand.kind, demand.name))
        if dispatcher is None or not dispatcher.pool.serves(demand):
            return Refusal(ErrorKind.NO_TARGET, f"no target serves {demand.name} now")
        return None

    def _check_workspace(self, demand: Demand) -> Refusal | None:
        workspace = self._configuration.document["workspaces"].get(demand.workspace)
        if workspace is None or not _reaches(workspace, demand):
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
            self._known_first_rank = min(ranks) if len(ranks) > 1 else NO_FIRST_RANK
            self._ranks_revision = revision
        return self._known_first_rank

    def _start_ticker(self) -> None:
        if self._ticker is None or self._ticker.done():
            self._ticker = asyncio.create_task(self._tick_while_waiting())

    async def _tick_while_waiting(self) -> None:
        while any(len(known.queue) for known in self._dispatcher_by_group.values()):
            await self._clock.sleep(TICK_S)
            self.tick(self._clock.now())

    def _on_change(self, announcement: Announcement, change: Change, now: float) -> None:
        group = group_of(announcement)
        if change is Change.LEFT:
            # A target may have left from a group other than the one that it named last.
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

    def _on_rate(self, start: TargetIncarnation) -> None:
        """Serve those that wait where a target's need is over; ask for permits where it began."""
        now = self._clock.now()
        for group, dispatcher in self._dispatcher_by_group.items():
            if start.target not in dispatcher.pool.candidate_by_id:
                continue
            rated = self._rated_by_group[group]
            rated.rate_changed(start, now)
            dispatcher.dispatch(now)
            if len(dispatcher.queue) and dispatcher.pool.limited():
                rated.seek()

    def _on_backoff(self, start: TargetIncarnation) -> None:
        """Refuse at once those that wait for this target alone, and for too long."""
        now = self._clock.now()
        for dispatcher in self._dispatcher_by_group.values():
            if len(dispatcher.queue) and start.target in dispatcher.pool.candidate_by_id:
                dispatcher.refuse_hopeless(now)

    def _leave_other_groups(self, target_id: str, group: Group, now: float) -> None:
        # An engine that was ordered to load another model announces itself under that
        # name. Left in the old model's pool it would get that model's requests, and
        # refuse each. Those that it has in progress go on.
        for other, dispatcher in list(self._dispatcher_by_group.items()):
            if other != group and target_id in dispatcher.pool.candidate_by_id:
                self._choose_subset(other, now)

    def _choose_subset(self, group: Group, now: float) -> None:
        members = self._targets.by_group.get(group, {})
        announcements = [target.announcement for target in members.values()]
        subset = subset_of(self._host, announcements, self._distances.seconds_to)
        self._dispatcher(group).pool.choose_from(subset, len(announcements), now)

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
                self._retry_limits,
            )
            dispatcher = Dispatcher(pool, self._random, self._first_rank, self._max_waiting)
            self._dispatcher_by_group[group] = dispatcher
            self._rated_by_group[group] = RatedAdmission(
                group, dispatcher, self._rates, self._clock
            )
        return self._dispatcher_by_group[group]


def _apply_leaving(
    targets: Targets, announcement: Announcement, request_id: str, now: float
) -> None:
    targets.apply(announcement._replace(leaving=True), now)


def _granted(waiter: Waiter) -> bool:
    future = waiter.future
    return future.done() and not future.cancelled() and future.result().is_ok()


def _reaches(workspace: Workspace, demand: Demand) -> bool:
    reach = workspace["reach"]
    return demand.name in reach["models" if demand.kind == "engine" else "services"]
