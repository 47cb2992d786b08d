"""Check over HTTP that targets which request a backoff receive no requests during it."""

import asyncio
import json
import time
from typing import Any

from tests.requests.fleet import Fleet, chat

BACKOFF_S = 2.0
IN_FLIGHT_S = 0.1
DURATION_S = 1.5
SHORT_DEADLINE = {"X-Deadline-S": "1"}
BACKOFF_FAULT = {"refuses": 1.0, "backoff_s": BACKOFF_S}


async def send_requests(send: Any) -> list[tuple[int, Any, bytes]]:
    """Send twenty requests a second for ``DURATION_S``, and return the answers."""
    tasks: list[asyncio.Task[tuple[int, Any, bytes]]] = []
    for _ in range(int(DURATION_S * 20)):
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(0.05)
    return list(await asyncio.gather(*tasks))


def later_arrivals(target: Any, since: float) -> list[float]:
    times = [at for at in target.switch.arrived_at if at >= since]
    return [at for at in times if at > times[0] + IN_FLIGHT_S]


async def test_an_engine_gets_no_call_during_its_backoff() -> None:
    """An engine that requests a backoff must receive no further call until its end.

    Without the check, first attempts, retries, resumed streams and cancellations reach it.
    """
    async with Fleet() as fleet:
        engine = await fleet.engine("engine-1")
        entry = await fleet.entry("entry-1")
        engine.switch.change(BACKOFF_FAULT)
        since = time.monotonic()
        answers = await send_requests(lambda: fleet.post(entry, chat("a word"), **SHORT_DEADLINE))
        assert later_arrivals(engine, since) == []
        refused = [json.loads(body)["error"] for status, _, body in answers if status == 503]
        assert len(refused) >= len(answers) - 1
        assert {error["ran"] for error in refused} == {"no"}


async def test_a_service_gets_no_call_during_its_backoff() -> None:
    async with Fleet() as fleet:
        service = await fleet.service("api-1")
        entry = await fleet.entry("entry-1")
        service.switch.change(BACKOFF_FAULT)
        since = time.monotonic()
        answers = await send_requests(
            lambda: fleet.call(entry, "/transfer", "POST", b"", **SHORT_DEADLINE)
        )
        assert later_arrivals(service, since) == []
        assert {status for status, _, _ in answers} == {503}


async def test_calls_go_to_a_service_that_takes_them() -> None:
    async with Fleet() as fleet:
        backing_off = await fleet.service("api-1")
        await fleet.service("api-2")
        entry = await fleet.entry("entry-1")
        backing_off.switch.change(BACKOFF_FAULT)
        answers = await send_requests(
            lambda: fleet.call(entry, "/look", "GET", b"", **SHORT_DEADLINE)
        )
        assert {status for status, _, _ in answers} == {200}
