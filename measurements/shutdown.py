"""Drain entry hosts under load from callers that keep the addresses they were told.

Callers ask for addresses, keep the answer for its whole time to live, and go on using open
connections. One entry host after another, all real processes, gets SIGTERM and is started
again once it has ended. No caller retries: each failure counts.

- ``cut``: answers that ended before their end
- ``refused_by_draining``: requests that found no host at an address still valid, or were
  refused by one
- ``slowest_drain_s``: from SIGTERM to the end of a process, at its longest
"""

import asyncio
import random
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import click
import uvloop

from cranberrywall.demo import FleetSize
from measurements._figures import report_figures
from measurements._live_fleet import PATIENCE_S, WORKSPACE, LiveFleet
from standins import EngineOptions, ServiceOptions

NET = 24
SIZE = FleetSize(controls=3, entries=4, consoles=0)
TTL = "2s"
PAUSE_S = 0.3
SERVICE_SHARE = 0.3
THINK_S = 0.02


class Known(NamedTuple):
    """Hold what a caller was told: addresses with weights, and until when they hold."""

    urls: Sequence[str]
    weights: Sequence[float]
    until: float


@click.command()
@click.option("--callers", default=24, help="How many callers send, side by side.")
@click.option("--seed", default=1, help="Seed of the callers' choices.")
def main(callers: int, seed: int) -> None:
    """Count the requests that a graceful shutdown cut or refused."""
    with tempfile.TemporaryDirectory(prefix="shutdown-") as folder:
        uvloop.run(_measure(Path(folder), callers, seed))


async def _measure(folder: Path, callers: int, seed: int) -> None:
    fleet = LiveFleet(folder / "fleet", SIZE, NET, TTL)
    model, service = fleet.deployment.model, fleet.deployment.service
    versions = (fleet.deployment.document["models"][model]["version"],)
    engines = [
        EngineOptions(f"{model}-{n}", model, versions=versions, step_s=0.02, seed=n)
        for n in (1, 2, 3)
    ]
    services = [ServiceOptions(f"{service}-1", service, work_s=0.1)]
    words: Counter[str] = Counter()
    stop = asyncio.Event()
    try:
        await fleet.start(engines, services)
        sending = [
            asyncio.create_task(_Sender(fleet, random.Random(f"{seed}-{n}"), words).run(stop))
            for n in range(callers)
        ]
        drains = await _drain_in_turn(fleet)
        stop.set()
        await asyncio.gather(*sending)
        await _report(fleet, words, drains)
    finally:
        await fleet.stop()


async def _drain_in_turn(fleet: LiveFleet) -> list[float]:
    drains: list[float] = []
    for host in fleet.entries:
        await asyncio.sleep(PAUSE_S)
        started = time.monotonic()
        status = await fleet.processes.end(host, signal.SIGTERM)
        drains.append(time.monotonic() - started)
        print(f"{host}: drained in {drains[-1]:.2f} s, exit status {status}")
        await fleet.processes.start([host])
    return drains


class _Sender:
    def __init__(self, fleet: LiveFleet, chance: random.Random, words: Counter[str]) -> None:
        self._fleet = fleet
        self._chance = chance
        self._words = words
        self._known = Known(fleet.files.entry_urls(), [1.0] * len(fleet.entries), 0.0)
        self._sent = 0
        key = fleet.deployment.key(WORKSPACE)
        self._headers = {"Authorization": f"Bearer {key}"}

    async def run(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            if time.monotonic() >= self._known.until:
                await self._ask_for_addresses()
            [url] = self._chance.choices(self._known.urls, self._known.weights)
            self._words[await self._send(url)] += 1
            await asyncio.sleep(self._chance.uniform(0, THINK_S))

    async def _ask_for_addresses(self) -> None:
        asked_at = time.monotonic()
        for url in self._chance.sample(list(self._known.urls), len(self._known.urls)):
            try:
                async with self._fleet.session.get(f"{url}/v1/addresses") as answer:
                    told: Any = await answer.json()
            except aiohttp.ClientError:
                continue
            urls = [address["url"] for address in told["addresses"]]
            weights = [address["weight"] for address in told["addresses"]]
            self._known = Known(urls, weights, asked_at + told["ttl_s"])
            return
        raise RuntimeError("no address answers")

    async def _send(self, url: str) -> str:
        self._sent += 1
        if self._chance.random() < SERVICE_SHARE:
            return await self._post(f"{url}{self._service_path()}", {}, b"")
        text = f"Question {self._chance.random()}"
        body = {
            "model": self._fleet.deployment.model,
            "messages": [{"role": "user", "content": text}],
            "stream": True,
        }
        return await self._post(f"{url}/v1/chat/completions", body, b"data: [DONE]\n\n")

    def _service_path(self) -> str:
        return f"/v1/services/{self._fleet.deployment.service}/maturity/{self._sent}"

    async def _post(self, url: str, body: Any, end: bytes) -> str:
        session = self._fleet.session
        try:
            async with session.post(url, json=body, headers=self._headers) as answer:
                data = await answer.read()
                if answer.status != 200:
                    return f"refused {answer.status}"
                return "whole" if data.endswith(end) else "cut"
        except aiohttp.ClientConnectorError:
            return "refused connection"
        except (aiohttp.ClientError, ConnectionError, TimeoutError) as error:
            return f"cut {type(error).__name__}"


async def _report(fleet: LiveFleet, words: Counter[str], drains: Sequence[float]) -> None:
    print(f"words: {dict(words)}")
    totals = await fleet.client.totals(PATIENCE_S)
    figures = {
        "requests": words.total(),
        "answered": words["whole"],
        "cut": sum(count for word, count in words.items() if word.startswith("cut")),
        "refused_by_draining": sum(
            count for word, count in words.items() if word.startswith("refused")
        ),
        "drains": len(drains),
        "slowest_drain_s": max(drains),
        "billed": totals.billed_requests,
        "overspend": totals.overspend,
    }
    report_figures("shutdown", figures)


if __name__ == "__main__":
    main()
