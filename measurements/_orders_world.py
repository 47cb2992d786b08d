"""Give controllers engines, a weight store and leaders that are deposed without knowing it."""

import asyncio
import random
from collections.abc import Coroutine, Mapping, Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Peer
from cranberrywall.orders import (
    Action,
    Copy,
    EngineView,
    Issuer,
    OrderController,
    OrderTimes,
    make_group_machine,
    make_order_controller,
)
from cranberrywall.orders.messages import Fate
from tests.configuration.documents import make_document
from tests.fakes.clock import VirtualClock

ANNOUNCE_EVERY_S = 2.0


class Arrival(NamedTuple):
    """Record an order that an engine carried out; ``term`` is its sender's."""

    term: int
    number: int
    action: Action


class Store:
    """Count the loads that draw on the weight store at once."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.running = 0
        self.exceeded = 0

    def begin(self) -> None:
        self.running += 1
        self.exceeded += self.running > self.limit

    def end(self) -> None:
        self.running -= 1


class FakeEngine:
    """Carry out orders as an engine does, with or without a check of their numbers."""

    def __init__(
        self,
        world: "World",
        name: str,
        copies: Sequence[Copy],
        checks_fencing: bool,
        slots: int,
        one_model: bool,
    ) -> None:
        self.name = name
        self.copies = set(copies)
        self.one_model = one_model
        self.model_moves = 0
        self._model = copies[0].model
        self.adapters: set[str] = set()
        self.checks_fencing = checks_fencing
        self.slots = slots
        self.incarnation = 1
        self.arrivals: list[Arrival] = []
        self.last_copies_lost = 0
        self.load_s = 20.0
        self._world = world
        self._loading = asyncio.Lock()
        self._highest = 0
        self._counter = 0
        self._views: list[tuple[float, EngineView]] = []

    def restart(self) -> None:
        """Come back with the same copies, as another run."""
        self.incarnation += 1
        self._counter = 0

    def announce(self, now: float) -> None:
        self._counter += 1
        view = EngineView(
            self.name,
            self.incarnation,
            self._counter,
            f"place-{self.name[-1]}",
            self.name,
            self.checks_fencing,
            frozenset(self.copies),
            frozenset(self.adapters),
            frozenset(self._world.document["models"]),
            self.slots,
            4,
            False,
            self.one_model,
        )
        self._views = [*self._views[-5:], (now, view)]

    def view(self, seen_until: float) -> EngineView | None:
        seen = [view for at, view in self._views if at <= seen_until]
        return seen[-1] if seen else None

    async def take(self, term: int, number: int, action: Action) -> Fate:
        if self.checks_fencing and number < self._highest:
            return Fate.REFUSED
        self._highest = max(self._highest, number)
        self.arrivals.append(Arrival(term, number, action))
        copy = Copy(action.model, action.version)
        if action.kind in ("load", "adapter"):
            await self._load(action, copy)
        else:
            self._unload(copy)
        return Fate.DONE

    async def _load(self, action: Action, copy: Copy) -> None:
        async with self._loading:
            if copy in self.copies and action.kind == "load":
                return
            self._world.store.begin()
            try:
                await self._world.clock.sleep(self.load_s)
            finally:
                self._world.store.end()
        if action.kind == "adapter":
            self.adapters.add(action.adapter)
        else:
            self._serve(copy.model)
            self.copies.add(copy)

    def _serve(self, model: str) -> None:
        """Drop what belongs to another model, where the engine holds one at a time."""
        if self.one_model:
            for copy in [copy for copy in self.copies if copy.model != model]:
                self._unload(copy)
        self.model_moves += model != self._model
        self._model = model

    def _unload(self, copy: Copy) -> None:
        had = copy in self.copies
        self.copies.discard(copy)
        served = any(
            held.model == copy.model for engine in self._world.engines for held in engine.copies
        )
        if had and not served and copy.model in self._world.document["models"]:
            self.last_copies_lost += 1

    def old_after_new(self) -> int:
        """Count orders that came from an earlier term than one before them."""
        highest = 0
        violations = 0
        for arrival in self.arrivals:
            violations += arrival.term < highest
            highest = max(highest, arrival.term)
        return violations


class FakeSender:
    """Carry orders to engines; ``stall`` seconds pass before an order arrives."""

    def __init__(self, world: "World", term_of: Any) -> None:
        self._world = world
        self._term_of = term_of
        self.stall = 0.0

    async def send(self, url: str, number: int, action: Action, timeout: float) -> Fate:
        term = self._term_of()
        await self._world.clock.sleep(0.01 + self.stall)
        engine = next(engine for engine in self._world.engines if engine.name == url)
        # The engine goes on with an order whose sender is gone.
        return await asyncio.shield(self._world.run_beside(engine.take(term, number, action)))

    async def close(self) -> None:
        return


class Member:
    """Be one host's member of the group; it may believe that it leads when it does not."""

    def __init__(self, world: "World", host: str) -> None:
        self.name = "configuration"
        self.is_leader = False
        self.host = host
        self._world = world

    async def propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        await self._world.clock.sleep(0.005)
        if self._world.leader != self.host:
            return Err(Refusal(ErrorKind.NOT_CURRENT))
        return Ok(self._world.machine.apply(command))

    async def query(self, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        await self._world.clock.sleep(0.005)
        if self._world.leader != self.host:
            return Err(Refusal(ErrorKind.NOT_CURRENT))
        return Ok(self._world.machine.query(query))


class ControlProcess:
    """Run one control host's controller."""

    def __init__(self, world: "World", host: str, incarnation: int) -> None:
        self.host = host
        self.member = Member(world, host)
        self.term = 0
        self.issuer = Issuer(host, incarnation)
        self.is_reachable = True
        self.sender = FakeSender(world, lambda: self.term)
        self.handlers: dict[str, Any] = {}
        self.controller: Any = world.make_controller(self)
        self.controller.register(self)

    def register(self, method: Any, handler: Any) -> None:
        self.handlers[method.name] = handler

    def start(self) -> None:
        self.task = asyncio.create_task(self.controller.run())

    async def kill(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.controller.close()


class Sight:
    """See the engines as their announcements show them, which is late."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def engines(self, now: float) -> list[EngineView]:
        until = now - self._world.announcement_lag
        views = [engine.view(until) for engine in self._world.engines]
        return [view for view in views if view is not None]

    def demand(self, now: float) -> Mapping[str, float]:
        return self._world.demand_by_model


class World:
    """Hold three control hosts, the engines and the store."""

    def __init__(self, seed: int = 1, concurrent_loads: int = 2) -> None:
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.store = Store(concurrent_loads)
        self.document: Any = make_document()
        self.document["weight_store"] = {"concurrent_loads": concurrent_loads}
        self.document["models"] = {}
        self.machine = make_group_machine()
        self.engines: list[FakeEngine] = []
        self.demand_by_model: dict[str, float] = {}
        self.leader = ""
        self.term = 0
        self.announcement_lag = 0.5
        self.tasks: set[Any] = set()
        self.times = OrderTimes(load_limit=120.0, retain_after=10.0)
        self.process_by_host: dict[str, ControlProcess] = {}

    def add_model(self, name: str, version: str = "v1", copies: int = 1) -> None:
        model = {"version": version, "output_limit": 10, "context_limit": 100, "copies": copies}
        self.document["models"][name] = model

    def add_engine(
        self,
        name: str,
        copies: Sequence[Copy],
        checks_fencing: bool,
        slots: int = 1,
        one_model: bool = True,
    ) -> FakeEngine:
        engine = FakeEngine(self, name, copies, checks_fencing, slots, one_model)
        self.engines.append(engine)
        return engine

    def make_controller(self, process: ControlProcess) -> Any:
        controller: OrderController = make_order_controller(
            process.member,
            process.issuer,
            Sight(self),
            lambda: self.document,
            process.sender,
            self,
            {host: host for host in ("control-0", "control-1", "control-2")},
            self.clock,
            self.times,
        )
        return controller

    def start(self) -> None:
        for number in range(3):
            self.start_process(f"control-{number}", 1)
        self.announcing = asyncio.create_task(self._announce())

    def start_process(self, host: str, incarnation: int) -> ControlProcess:
        process = ControlProcess(self, host, incarnation)
        self.process_by_host[host] = process
        process.start()
        return process

    def elect(self, host: str) -> ControlProcess:
        """Make ``host`` the leader; the one before goes on believing that it leads."""
        self.term += 1
        self.leader = host
        process = self.process_by_host[host]
        process.term = self.term
        process.member.is_leader = True
        return process

    async def call(self, address: str, method: Any, request: Any, timeout: float) -> Any:
        """Call another control process, as ``links.Caller`` does."""
        await self.clock.sleep(0.002)
        process = self.process_by_host[address]
        if not process.is_reachable:
            await self.clock.sleep(timeout)
            return Err(Refusal(ErrorKind.TIMEOUT))
        return await process.handlers[method.name](request, Peer("", "", 1))

    def run_beside(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def stop(self) -> None:
        self.announcing.cancel()
        for process in self.process_by_host.values():
            await process.kill()
        for task in list(self.tasks):
            task.cancel()

    async def _announce(self) -> None:
        while True:
            for engine in self.engines:
                engine.announce(self.clock.now())
            await self.clock.sleep(ANNOUNCE_EVERY_S)
