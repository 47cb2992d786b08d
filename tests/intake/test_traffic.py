"""Bytes of callers' requests and answers."""

import asyncio
from typing import Any

import pytest

from cranberrywall.intake import CallerTraffic, _traffic
from tests.fakes.clock import ManualClock


@pytest.mark.parametrize(("running", "lines"), [(_traffic.MIN_LOGGED_REQUESTS, 1), (1, 0)])
async def test_a_busy_host_logs_its_bytes(
    monkeypatch: pytest.MonkeyPatch, running: int, lines: int
) -> None:
    logged: list[dict[str, Any]] = []
    monkeypatch.setattr(_traffic, "log_event", lambda level, event, **fields: logged.append(fields))
    clock = ManualClock()
    traffic = CallerTraffic(clock)
    task = asyncio.create_task(traffic.run(lambda: running))
    await clock.advance(0.0)
    traffic.record_received(700)
    traffic.record_sent(20)
    await clock.advance(_traffic.LOG_INTERVAL_S)
    task.cancel()
    assert [(line["received_bytes"], line["sent_bytes"]) for line in logged] == [(700, 20)] * lines
