"""Measure three times the capacity: status lookups, goodput, letters and retries.

Status lookups and letters come for a minute at three times what the engines can do, then
at a fifth of it. Callers wait 20 s at most for a place; when refused they come back as told,
and count as late when their day, scaled to 400 s, ends first.
"""

import asyncio
import random
from typing import NamedTuple

import numpy as np

from measurements._engine_model import EngineOptions
from measurements._figures import report_figures
from measurements._fleet_model import FleetModel, FleetOptions, MakeRouter
from measurements._virtual_time import run_virtual
from measurements._workload import STATUS_RANK, Mix, Request, draw_requests
from measurements.routing import make_round_robin, make_routed

SEED = 11
PLACES = ("town-hall", "dehiwala-annex", "kolonnawa-dc")
ENGINES = 9
HOSTS = 7
TEMPLATES = 60
STATUS_SHARE = 0.3
LOOKUPS = 8
LATE_S = 1.0
EVENT_LOSS = 0.2

PATIENCE_S = 20.0
DAY_S = 400.0
WARM_UP_S = 20.0
OVERLOAD_S = 60.0
IDLE_S = 120.0
IDLE_RATE = 3.0
SATURATING_RATE = 60.0
TIMES_CAPACITY = 3.0
AFTERWARDS = 0.2


class Seen(NamedTuple):
    """Hold what callers saw; ``waits_s`` are status lookups' seconds to the first token."""

    waits_s: list[float]
    letters_late: int
    requests: int
    sends: int
    tokens_per_s: float
    requests_per_s: float


class Callers:
    """Send requests, and come back after refusals."""

    def __init__(self, fleet: FleetModel) -> None:
        self._fleet = fleet
        self._random = random.Random(SEED)
        self.waits_s: list[float] = []
        self.letters_late = 0
        self.sends = 0
        self.answers = 0

    async def send(self, request: Request) -> None:
        """Send until answered or the day is over."""
        day_ends = request.at + DAY_S
        while (now := self._fleet.clock.now()) < day_ends:
            self.sends += 1
            router = self._fleet.routers[self._random.randrange(HOSTS)]
            served = await self._fleet.serve(router, request, min(day_ends, now + PATIENCE_S))
            if served.is_ok():
                self._note_answer(request, now + served.unwrap())
                return
            await asyncio.sleep(served.unwrap_err().retry_after or 1.0)
        self.letters_late += request.rank != STATUS_RANK

    def _note_answer(self, request: Request, first_token_at: float) -> None:
        self.answers += 1
        if request.rank == STATUS_RANK and request.at >= WARM_UP_S:
            self.waits_s.append(first_token_at - request.at)


def main() -> None:
    """Measure the idle wait, the capacity and the overload, and print the figures."""
    idle = run(_requests([(IDLE_RATE, IDLE_S)]), make_routed)
    saturated = run(_requests([(SATURATING_RATE, OVERLOAD_S)]), make_round_robin)
    rate = TIMES_CAPACITY * saturated.requests_per_s
    phases = [(rate, OVERLOAD_S), (rate / TIMES_CAPACITY * AFTERWARDS, DAY_S - OVERLOAD_S)]
    overload = run(_requests(phases), make_routed)
    idle_p99_s = float(np.percentile(idle.waits_s, 99))
    status_p99_s = float(np.percentile(overload.waits_s, 99))
    report_figures(
        "overload",
        {
            "idle_p99_ms": idle_p99_s * 1000,
            "status_p99_ms": status_p99_s * 1000,
            "status_p99_ratio": status_p99_s / idle_p99_s,
            "capacity_tokens_s": saturated.tokens_per_s,
            "goodput_ratio": overload.tokens_per_s / saturated.tokens_per_s,
            "letters_late": overload.letters_late,
            "requests": overload.requests,
            "retries_per_request": overload.sends / overload.requests - 1.0,
        },
    )


def run(requests: list[Request], make_router: MakeRouter) -> Seen:
    """Run requests to their end, and count tokens from the warm-up to the overload's end."""
    return run_virtual(_play(requests, make_router))


async def _play(requests: list[Request], make_router: MakeRouter) -> Seen:
    fleet = FleetModel(_options(), make_router, SEED)
    renewal = asyncio.create_task(fleet.renew())
    callers = Callers(fleet)
    rates = asyncio.create_task(_count(fleet, callers))
    tasks = []
    for request in requests:
        await asyncio.sleep(request.at - fleet.clock.now())
        tasks.append(asyncio.create_task(callers.send(request)))
    await asyncio.gather(*tasks)
    tokens_per_s, answers_per_s = await rates
    renewal.cancel()
    return Seen(
        callers.waits_s,
        callers.letters_late,
        len(requests),
        callers.sends,
        tokens_per_s,
        answers_per_s,
    )


async def _count(fleet: FleetModel, callers: Callers) -> tuple[float, float]:
    await asyncio.sleep(WARM_UP_S)
    tokens, answers = fleet.tokens, callers.answers
    await asyncio.sleep(OVERLOAD_S - WARM_UP_S)
    seconds = OVERLOAD_S - WARM_UP_S
    return (fleet.tokens - tokens) / seconds, (callers.answers - answers) / seconds


def _requests(phases: list[tuple[float, float]]) -> list[Request]:
    requests: list[Request] = []
    start = 0.0
    for number, (rate, duration_s) in enumerate(phases):
        mix = Mix(rate, TEMPLATES, STATUS_SHARE, LOOKUPS)
        drawn = draw_requests(mix, duration_s, SEED + number)
        requests += [request._replace(at=request.at + start) for request in drawn]
        start += duration_s
    return requests


def _options() -> FleetOptions:
    engines = tuple(
        EngineOptions(f"engine-{n}", PLACES[n % len(PLACES)], event_loss=EVENT_LOSS)
        for n in range(ENGINES)
    )
    return FleetOptions(PLACES, HOSTS, engines, LATE_S)


if __name__ == "__main__":
    main()
