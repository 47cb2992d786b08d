"""Serve callers while nobody reads the output of a host, with both programs as processes."""

import asyncio
import json
import os
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins._platform import Machine, Platform, Worker, configuration, route

PREPAID = 100_000_000
TIMEOUT_MS = 600
LATE_S = 0.5
ROUNDS = 20
AT_ONCE = 10
IN_FORCE_S = 2.0


@pytest.fixture
def unread_pipe() -> Iterator[int]:
    """Return the writing end of a pipe that nobody reads."""
    reading, writing = os.pipe()
    yield writing
    os.close(reading)
    os.close(writing)


def fill(pipe: int) -> None:
    """Write to a pipe until nothing more fits into it."""
    # The flag belongs to a description of its own: the process that logs there has another.
    writing = os.open(f"/proc/self/fd/{pipe}", os.O_WRONLY | os.O_NONBLOCK)
    try:
        while True:
            os.write(writing, b"\n")
    except BlockingIOError:
        pass
    finally:
        os.close(writing)


def document(version: int, service: str) -> dict[str, object]:
    moved = route("checks", "idempotent", service, timeout_ms=TIMEOUT_MS)
    body = configuration(version, PREPAID, [moved])
    body["services"].append({"name": "ledger-next", "health_path": "/health", "max_conns": 100})
    return body


async def ask(platform: Platform, host: Machine) -> tuple[float, str]:
    """Return how long an answer took, in seconds, and the worker that it names."""
    began_at = time.monotonic()
    answer = await platform.ask(host, "/checks/1")
    assert answer.status == 200
    return time.monotonic() - began_at, json.loads(answer.body)["by"]


@pytest.mark.parametrize("unread", ["front-1", "core-1"])
async def test_a_host_whose_output_is_not_read_serves_in_time(
    tmp_path: Path, unread_pipe: int, unread: str
) -> None:
    """Callers wait, and a change isn't in force, until somebody reads the log of a host.

    Cause: the event loop itself writes the log, and a full pipe blocks it.
    """
    platform = Platform(tmp_path, fronts=2)
    platform.output_by_name[unread] = unread_pipe
    try:
        await platform.start()
        await platform.publish_body(document(1, "ledger"))
        await platform.add_worker(Worker("i-old", "ledger", is_engine=False))
        await platform.add_worker(Worker("i-new", "ledger-next", is_engine=False))
        await platform.until_ready()
        host = platform.fronts[0]
        await platform.until_answered(host, "/checks/1")
        fill(unread_pipe)
        for _ in range(ROUNDS):
            answers = await asyncio.gather(*(ask(platform, host) for _ in range(AT_ONCE)))
            assert max(seconds for seconds, _ in answers) < TIMEOUT_MS / 1000.0 + LATE_S
        assert await platform.order_status(platform.cores[0], document(2, "ledger-next")) == 200
        await asyncio.sleep(IN_FORCE_S)
        _, by = await ask(platform, host)
        assert by == "i-new"
    finally:
        await platform.stop()
