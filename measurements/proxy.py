"""Measure what an entry host costs: processor time for each request, and time it adds.

One entry host, a real process, stands between callers and one stand-in engine. First a few
callers at a time measure the time to the first token and between tokens, through the host
and directly at the engine. Then many callers keep the host busy; its own processor time,
as its metrics give it, says how many requests one core can carry.

- ``requests_per_core_s``, ``tokens_per_core_s``: work for one second of processor time
- ``first_ms``, ``first_ratio``: added time to the first token, and through over direct
- ``token_ms``, ``token_ratio``: the same for the time between tokens
- ``keyed_requests_per_core_s``: as the first, for requests that carry an Idempotency-Key
- ``calls_per_core_s``: repeatable calls to a plain service
"""

import asyncio
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import click
import uvloop

from cranberrywall.demo import FleetSize
from measurements._figures import report_figures
from measurements._live_fleet import WORKSPACE, LiveFleet
from standins import EngineOptions, ServiceOptions

NET = 25
SIZE = FleetSize(controls=1, entries=1, consoles=0)
QUIET_CALLERS = 2
BUSY_CALLERS = 32
WARM_UP = 64


class Timing(NamedTuple):
    """Hold one stream's time to the first token, and its mean time between tokens."""

    first_s: float
    between_s: float
    tokens: int


class Busy(NamedTuple):
    """Hold what a host did with its processor time."""

    requests: int
    tokens: int
    cpu_s: float
    wall_s: float


@click.command()
@click.option("--requests", default=600, help="How many requests of each sort to send.")
def main(requests: int) -> None:
    """Measure an entry host's cost."""
    with tempfile.TemporaryDirectory(prefix="proxy-") as folder:
        uvloop.run(_measure(Path(folder), requests))


async def _measure(folder: Path, requests: int) -> None:
    fleet = LiveFleet(folder / "fleet", SIZE, NET)
    model, service = fleet.deployment.model, fleet.deployment.service
    versions = (fleet.deployment.document["models"][model]["version"],)
    engine = EngineOptions(
        f"{model}-1", model, versions=versions, capacity=64, step_s=0.002, step_each_s=0.0
    )
    plain = ServiceOptions(f"{service}-1", service, work_s=0.0, capacity=64)
    try:
        await fleet.start([engine], [plain])
        through = _Streams(fleet, fleet.files.entry_urls()[0])
        direct = _Streams(fleet, fleet.targets.servings[0].url)
        await _repeat(through.send, WARM_UP, QUIET_CALLERS)
        # Alternating halves meet the same noise of the machine.
        slow = await _repeat(through.send, requests // 6, QUIET_CALLERS)
        fast = await _repeat(direct.send, requests // 6, QUIET_CALLERS)
        slow += await _repeat(through.send, requests // 6, QUIET_CALLERS)
        fast += await _repeat(direct.send, requests // 6, QUIET_CALLERS)
        busy = await _busy(fleet, through.send, requests)
        keyed = await _busy(fleet, through.send_keyed, requests)
        calls = await _busy(fleet, through.call, requests)
        _report(slow, fast, busy, keyed, calls)
    finally:
        await fleet.stop()


class _Streams:
    def __init__(self, fleet: LiveFleet, url: str) -> None:
        self._fleet = fleet
        self._url = url
        self._number = 0

    async def send(self) -> Timing:
        self._number += 1
        return await self._stream({"X-Attempt-Id": f"direct/{self._number}"})

    async def send_keyed(self) -> Timing:
        self._number += 1
        return await self._stream({"Idempotency-Key": f"keyed-{self._number}"})

    async def call(self) -> Timing:
        self._number += 1
        started = time.perf_counter()
        path = f"/v1/services/{self._fleet.deployment.service}/rates/{self._number}"
        async with self._fleet.session.get(
            self._url + path, headers=self._authorization()
        ) as answer:
            await answer.read()
            answer.raise_for_status()
        return Timing(time.perf_counter() - started, 0.0, 0)

    async def _stream(self, headers: dict[str, str]) -> Timing:
        text = f"Explain the renewal of deposit {self._number}."
        body: Any = {
            "model": self._fleet.deployment.model,
            "messages": [{"role": "user", "content": text}],
            "stream": True,
            "max_tokens": 64,
        }
        started = time.perf_counter()
        arrivals: list[float] = []
        async with self._fleet.session.post(
            f"{self._url}/v1/chat/completions", json=body, headers=headers | self._authorization()
        ) as answer:
            answer.raise_for_status()
            async for line in answer.content:
                if line.startswith(b"data: {"):
                    arrivals.append(time.perf_counter())
        between = (arrivals[-1] - arrivals[0]) / (len(arrivals) - 1)
        return Timing(arrivals[0] - started, between, len(arrivals))

    def _authorization(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._fleet.deployment.key(WORKSPACE)}"}


async def _repeat(send: Callable[[], Awaitable[Timing]], count: int, callers: int) -> list[Timing]:
    numbers = iter(range(count))
    timings: list[Timing] = []

    async def work() -> None:
        for _ in numbers:
            timings.append(await send())

    await asyncio.gather(*(work() for _ in range(callers)))
    return timings


async def _busy(fleet: LiveFleet, send: Callable[[], Awaitable[Timing]], count: int) -> Busy:
    cpu, wall = await _cpu_s(fleet), time.perf_counter()
    timings = await _repeat(send, count, BUSY_CALLERS)
    wall = time.perf_counter() - wall
    cpu = await _cpu_s(fleet) - cpu
    return Busy(count, sum(timing.tokens for timing in timings), cpu, wall)


async def _cpu_s(fleet: LiveFleet) -> float:
    address = fleet.files.of_role("entry")[0].listen["admin"]
    async with fleet.session.get(f"http://{address}/metrics") as answer:
        text = await answer.text()
    [line] = [line for line in text.splitlines() if line.startswith("process_cpu_seconds_total")]
    return float(line.split()[1])


def _report(slow: list[Timing], fast: list[Timing], busy: Busy, keyed: Busy, calls: Busy) -> None:
    first = statistics.median(timing.first_s for timing in slow)
    first_direct = statistics.median(timing.first_s for timing in fast)
    between = statistics.median(timing.between_s for timing in slow)
    between_direct = statistics.median(timing.between_s for timing in fast)
    print(f"busy: {busy.requests / busy.wall_s:.0f} requests/s at {busy.cpu_s / busy.wall_s:.2f}")
    figures = {
        "requests_per_core_s": busy.requests / busy.cpu_s,
        "tokens_per_core_s": busy.tokens / busy.cpu_s,
        "first_ms": 1000 * (first - first_direct),
        "first_ratio": first / first_direct,
        "token_ms": 1000 * (between - between_direct),
        "token_ratio": between / between_direct,
        "keyed_requests_per_core_s": keyed.requests / keyed.cpu_s,
        "calls_per_core_s": calls.requests / calls.cpu_s,
    }
    report_figures("proxy", figures)


if __name__ == "__main__":
    main()
