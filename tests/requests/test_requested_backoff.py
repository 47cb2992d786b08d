"""Meet targets that ask for a backoff, at the product's own interface."""

import asyncio
import json
import time
from typing import Any

from tests.requests.fleet import Fleet, chat

BACKOFF_S = 2.0
ON_ITS_WAY_S = 0.1
LASTS_S = 1.5
SOON = {"X-Deadline-S": "1"}
SHEDS = {"refuses": 1.0, "backoff_s": BACKOFF_S}


async def ask_for_a_while(ask: Any) -> list[tuple[int, Any, bytes]]:
    """Ask twenty times a second, and return the answers."""
    asked: list[asyncio.Task[tuple[int, Any, bytes]]] = []
    for _ in range(int(LASTS_S * 20)):
        asked.append(asyncio.create_task(ask()))
        await asyncio.sleep(0.05)
    return list(await asyncio.gather(*asked))


def later_arrivals(target: Any, since: float) -> list[float]:
    times = [at for at in target.switch.arrived_at if at >= since]
    return [at for at in times if at > times[0] + ON_ITS_WAY_S]


async def test_an_engine_gets_no_call_during_its_backoff() -> None:
    """First attempts, retries, resumed streams and cancels reach an engine in its backoff."""
    async with Fleet() as fleet:
        engine = await fleet.engine("engine-1")
        entry = await fleet.entry("entry-1")
        engine.switch.change(SHEDS)
        since = time.monotonic()
        answers = await ask_for_a_while(lambda: fleet.post(entry, chat("a word"), **SOON))
        assert later_arrivals(engine, since) == []
        refused = [json.loads(body)["error"] for status, _, body in answers if status == 503]
        assert len(refused) >= len(answers) - 1
        assert {one["ran"] for one in refused} == {"no"}


async def test_a_service_gets_no_call_during_its_backoff() -> None:
    async with Fleet() as fleet:
        service = await fleet.service("api-1")
        entry = await fleet.entry("entry-1")
        service.switch.change(SHEDS)
        since = time.monotonic()
        answers = await ask_for_a_while(lambda: fleet.call(entry, "/transfer", "POST", b"", **SOON))
        assert later_arrivals(service, since) == []
        assert {status for status, _, _ in answers} == {503}


async def test_calls_go_to_a_service_that_takes_them() -> None:
    async with Fleet() as fleet:
        sheds = await fleet.service("api-1")
        await fleet.service("api-2")
        entry = await fleet.entry("entry-1")
        sheds.switch.change(SHEDS)
        answers = await ask_for_a_while(lambda: fleet.call(entry, "/look", "GET", b"", **SOON))
        assert {status for status, _, _ in answers} == {200}
