"""Admit demands: grant a place at once, let them wait, or refuse."""

import asyncio

from result import Err, Ok, Result

from cranberrywall.configuration import Configuration
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.routing._distances import Distances
from cranberrywall.routing._interfaces import Demand, Outcome, OutcomeKind, Slot
from cranberrywall.routing._pool import Pool
from cranberrywall.routing._queue import Answer, Waiter
from cranberrywall.routing._subset import subset_of
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import Announcement, Change, Group, Targets

TICK_S = 0.05
"""Deadlines in the queues are looked at this often, in seconds, while anything waits."""


def make_router(
    targets: Targets,
    configuration: Configuration,
    clock: Clock,
    random: Random,
    host: str,
    place: str,
) -> "TargetRouter":
    """Return the router of ``host`` in ``place``; it follows the changes of ``targets``."""
    return TargetRouter(targets, configuration, clock, random, host, place)


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
    ) -> None:
        self._targets = targets
        self._host = host
        self._configuration = configuration
        self._clock = clock
        self._random = random
        self._distances = Distances(configuration, place)
        self._pool_by_group: dict[Group, Pool] = {}
        self._in_progress_by_workspace: dict[str, int] = {}
        self._ticker: asyncio.Task[None] | None = None
        for group in targets.by_group:
            self._choose_subset(group, clock.now())
        targets.subscribe(self._on_change)

    async def acquire(self, demand: Demand, now: float) -> Result[Slot, Refusal]:
        """Wait until a target has a place, or refuse; see ``Router.acquire``."""
        refusal = self._check(demand, now)
        if refusal is not None:
            return Err(refusal)
        pool = self._pool_by_group[Group(demand.kind, demand.name)]
        if not len(pool.queue):
            slot = pool.try_grant(demand, now)
            if slot is not None:
                return Ok(slot)
        if pool.queue.is_full:
            return Err(Refusal(ErrorKind.OVERLOADED, "the queue for this model or service is full"))
        return await self._wait(pool, pool.enqueue(demand, now))

    def tick(self, now: float) -> None:
        """Refuse waiters past their deadline and serve those who can be served."""
        for pool in self._pool_by_group.values():
            pool.expire(now)
            pool.dispatch(now)

    async def _wait(self, pool: Pool, waiter: Waiter) -> Answer:
        self._start_ticker()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._give_back(pool, waiter)
            raise

    def _give_back(self, pool: Pool, waiter: Waiter) -> None:
        pool.queue.discard(waiter)
        # The place may have been granted just before the task was cancelled; nobody else
        # would finish that slot, and the target would seem busy for ever.
        if waiter.future.done() and not waiter.future.cancelled():
            answer = waiter.future.result()
            if answer.is_ok():
                answer.unwrap().finish(Outcome(OutcomeKind.CANCELLED), self._clock.now())

    def _check(self, demand: Demand, now: float) -> Refusal | None:
        if demand.deadline <= now:
            return Refusal(ErrorKind.DEADLINE_PASSED, "the deadline had passed on arrival")
        if not self._reaches(demand):
            return Refusal(
                ErrorKind.FORBIDDEN,
                f"workspace {demand.workspace} may not call {demand.name}",
                "model" if demand.kind == "engine" else "service",
                "call one within the workspace's reach, or have the reach widened",
            )
        pool = self._pool_by_group.get(Group(demand.kind, demand.name))
        if pool is None or not pool.serves(demand):
            return Refusal(ErrorKind.NO_TARGET, f"no target serves {demand.name} now")
        return None

    def _reaches(self, demand: Demand) -> bool:
        workspace = self._configuration.document["workspaces"].get(demand.workspace)
        if workspace is None:
            return False
        reach = workspace["reach"]
        return demand.name in reach["models" if demand.kind == "engine" else "services"]

    def _start_ticker(self) -> None:
        if self._ticker is None or self._ticker.done():
            self._ticker = asyncio.create_task(self._tick_while_waiting())

    async def _tick_while_waiting(self) -> None:
        while any(len(pool.queue) for pool in self._pool_by_group.values()):
            await self._clock.sleep(TICK_S)
            self.tick(self._clock.now())

    def _on_change(self, announcement: Announcement, change: Change, now: float) -> None:
        group = Group(announcement.kind, announcement.name)
        if change is not Change.RENEWED:
            self._choose_subset(group, now)
        pool = self._pool(group)
        pool.put(announcement, now)
        pool.dispatch(now)

    def _choose_subset(self, group: Group, now: float) -> None:
        members = self._targets.by_group.get(group, {})
        announcements = [target.announcement for target in members.values()]
        subset = subset_of(self._host, announcements, self._distances.seconds_to)
        self._pool(group).choose_from(subset, now)

    def _pool(self, group: Group) -> Pool:
        if group not in self._pool_by_group:
            self._pool_by_group[group] = Pool(self._clock, self._random, self._distances)
        return self._pool_by_group[group]
