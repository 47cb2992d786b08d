"""Drive several hosts' routers against modelled engines over virtual time."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple, cast

import numpy as np
from result import Err, Ok, Result

from cranberrywall.configuration import Configuration, Document, Workspace
from cranberrywall.errors import Refusal
from cranberrywall.routing import Demand, Outcome, OutcomeKind, Router, Slot
from cranberrywall.targets import Announcement, Targets, make_targets
from measurements._engine_model import EngineModel, EngineOptions, Work
from measurements._virtual_time import VirtualClock
from measurements._workload import Request

RENEW_S = 2.0
SPREAD_S = 0.2
DEADLINE_S = 60.0
EXPIRY_CHECK_S = 1.0

MakeRouter = Callable[["HostModel"], Router]


class HostModel(NamedTuple):
    """Hold what a host's router is made from."""

    host: str
    place: str
    number: int
    hosts: int
    targets: Targets
    configuration: Configuration
    clock: VirtualClock


class FleetOptions(NamedTuple):
    """Describe a fleet; ``late_s`` delays load reports and cache events, in seconds."""

    places: tuple[str, ...]
    hosts: int
    engines: tuple[EngineOptions, ...]
    late_s: float


class Figures(NamedTuple):
    """Hold what callers saw: seconds to first tokens by rank, and the engines' counts."""

    first_token_s_by_rank: dict[int, list[float]]
    gaps_ms: Counter[int]
    cached_blocks: int
    prompt_blocks: int
    refused: Counter[str]
    tokens: int

    def first_token_ms(self, percentile: float) -> float:
        """Return a percentile of the time to first token, in milliseconds."""
        samples = [s for part in self.first_token_s_by_rank.values() for s in part]
        return float(np.percentile(samples, percentile)) * 1000

    def between_ms(self, percentile: float) -> float:
        """Return a percentile of the time between tokens, in milliseconds."""
        bound = sum(self.gaps_ms.values()) * percentile / 100
        seen = 0
        for gap_ms in sorted(self.gaps_ms):
            seen += self.gaps_ms[gap_ms]
            if seen >= bound:
                return float(gap_ms)
        return 0.0

    def hit_share(self) -> float:
        """Return the share of prompt blocks that engines had cached."""
        return self.cached_blocks / max(1, self.prompt_blocks)


class ModelConfiguration:
    """Let one workspace call everything."""

    revision = 1

    def __init__(self, places: Sequence[str], concurrent: int = 100_000) -> None:
        reach = {"models": ["asistent"], "services": ["vratar"]}
        workspace = cast(Workspace, {"reach": reach, "concurrent": concurrent})
        priorities = {
            "status": {"rank": 0, "deadline_s": 30.0},
            "letter": {"rank": 5, "deadline_s": 600.0},
        }
        document = {
            "workspaces": {"desk": workspace},
            "places": {place: {"region": "osrednja"} for place in places},
            "priorities": priorities,
        }
        self.document = cast(Document, document)

    def workspace_by_key(self, key: str) -> None:
        """Return nothing: the model has no keys."""
        return

    def ledger_group(self, budget: str) -> str:
        """Return the one group."""
        return "ledger-0"


class FleetModel:
    """Run requests through hosts' routers to engines; made inside a running loop."""

    def __init__(self, options: FleetOptions, make_router: MakeRouter, seed: int) -> None:
        self.options = options
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.engine_by_id = {
            engine.target: EngineModel(engine, seed + number)
            for number, engine in enumerate(options.engines)
        }
        configuration = ModelConfiguration(options.places)
        self.hosts = [
            HostModel(
                f"entry-{number}",
                options.places[number % len(options.places)],
                number,
                options.hosts,
                make_targets(),
                configuration,
                self.clock,
            )
            for number in range(options.hosts)
        ]
        self._announce_all()
        self.routers = [make_router(host) for host in self.hosts]
        self.first_token_s_by_rank: dict[int, list[float]] = {}
        self.refused: Counter[str] = Counter()
        self.tokens = 0
        self._measuring = False
        self._before = (0, 0)

    async def run(self, requests: Sequence[Request], warm_up_s: float) -> Figures:
        """Send the requests at their times and return the figures after ``warm_up_s``."""
        renewal = asyncio.create_task(self.renew())
        tasks = []
        for request in requests:
            await asyncio.sleep(request.at - self.clock.now())
            if not self._measuring and request.at >= warm_up_s:
                self._start_measuring()
            tasks.append(asyncio.create_task(self._one(request, self._measuring)))
        await asyncio.gather(*tasks)
        renewal.cancel()
        return self._figures()

    async def serve(
        self, router: Router, request: Request, deadline: float
    ) -> Result[float, Refusal]:
        """Run one request; return the seconds from its start to its first token."""
        start = self.clock.now()
        demand = Demand(
            "desk", "engine", "asistent", "", "", request.rank, deadline, 300, request.prefix
        )
        answer = await router.acquire(demand, start)
        if answer.is_err():
            self.refused[answer.unwrap_err().kind] += 1
            return Err(answer.unwrap_err())
        return Ok(await self._run_at(answer.unwrap(), request) - start)

    async def _run_at(self, slot: Slot, request: Request) -> float:
        granted_at = self.clock.now()
        first: list[float] = []
        end: asyncio.Future[float] = asyncio.get_running_loop().create_future()

        def on_first_token(now: float) -> None:
            first.append(now)
            slot.record_first_token(now)

        work = Work(
            request.prefix, request.output_tokens, request.rank, on_first_token, end.set_result
        )
        self.engine_by_id[slot.target_id].submit(work)
        now = await end
        self.tokens += request.output_tokens
        slot.finish(
            Outcome(OutcomeKind.ANSWERED, first[0] - granted_at, request.output_tokens), now
        )
        return first[0]

    async def _one(self, request: Request, measured: bool) -> None:
        router = self.routers[self.random.randrange(len(self.routers))]
        served = await self.serve(router, request, request.at + DEADLINE_S)
        if measured and served.is_ok():
            self.first_token_s_by_rank.setdefault(request.rank, []).append(served.unwrap())

    def _start_measuring(self) -> None:
        self._measuring = True
        engines = self.engine_by_id.values()
        for engine in engines:
            engine.gaps_ms.clear()
        self._before = (
            sum(engine.cached_blocks for engine in engines),
            sum(engine.prompt_blocks for engine in engines),
        )

    def _figures(self) -> Figures:
        engines = self.engine_by_id.values()
        gaps: Counter[int] = Counter()
        for engine in engines:
            gaps.update(engine.gaps_ms)
        return Figures(
            self.first_token_s_by_rank,
            gaps,
            sum(engine.cached_blocks for engine in engines) - self._before[0],
            sum(engine.prompt_blocks for engine in engines) - self._before[1],
            self.refused,
            self.tokens,
        )

    def _announce_all(self) -> None:
        for engine in self.engine_by_id.values():
            self._deliver(engine.announcement())

    def _deliver(self, announcement: Announcement) -> None:
        now = self.clock.now()
        for host in self.hosts:
            host.targets.apply(announcement, now)

    async def renew(self) -> None:
        """Deliver the engines' announcements to the hosts, late, until cancelled."""
        loop = asyncio.get_running_loop()
        engines = list(self.engine_by_id.values())
        while True:
            for engine in engines:
                await asyncio.sleep(RENEW_S / len(engines))
                delay = SPREAD_S + self.options.late_s
                loop.call_later(delay, self._deliver, engine.announcement())
            for host in self.hosts:
                host.targets.expire(self.clock.now())
