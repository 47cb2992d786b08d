"""Callers that send more than a host's link carries, with both programs as processes."""

import asyncio
from pathlib import Path

import aiohttp

from standins._platform import Machine, Platform, Worker, configuration, route

LINK_MBPS = 4.0
BODY_BYTES = 20_000
CALLERS = 60
SPAN_S = 1.0
PATH = "/checks/1"
LONGEST_S = 40.0

BURST_S = 0.5
"""What a host may have taken in ahead of its link, in seconds of the link."""


async def ask_until_answered(platform: Platform, front: Machine) -> None:
    """Ask again after each failure, as a caller whose connection is not accepted."""
    async with asyncio.timeout(LONGEST_S):
        while True:
            try:
                answer = await platform.ask(front, PATH, bytes(BODY_BYTES), X_Deadline_Ms="5000")
            except (aiohttp.ClientError, TimeoutError):
                continue
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)


async def test_a_host_takes_in_no_more_than_its_link_carries(tmp_path: Path) -> None:
    """Guards against bodies that fill a host's link, so that it forwards next to nothing."""
    platform = Platform(tmp_path)
    platform.limits = {"link_mbps": LINK_MBPS}
    worker = Worker("w-1", "ledger", is_engine=False)
    body = configuration(1, 1_000_000, [route("checks", "idempotent", "ledger", timeout_ms=9000)])
    try:
        await platform.start()
        await platform.publish_body(body)
        await platform.add_worker(worker)
        await platform.until_ready()
        front = platform.fronts[0]
        await platform.until_answered(front, PATH)
        worker.arrivals.clear()
        callers = [ask_until_answered(platform, front) for _ in range(CALLERS)]
        await asyncio.gather(*callers)
    finally:
        await platform.stop()
    # Each body takes the link twice: from the caller, and to the target.
    most = (SPAN_S + BURST_S) * LINK_MBPS * 1e6 / 8 / (2 * BODY_BYTES)
    arrived_at = worker.arrived_at
    for at in arrived_at:
        assert sum(at <= other < at + SPAN_S for other in arrived_at) <= most
