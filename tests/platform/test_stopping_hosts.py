"""Requests that reach an entry host around and after the signal to stop."""

import asyncio
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM

import pytest

from standins._platform import Platform, configuration
from tests.platform.stopping import (
    GRACE_S,
    PATH,
    STREAM_PATH,
    Sent,
    StoppingHost,
    stopping_host,
)

ONCE = ((0.0, SIGTERM),)
CONNECTIONS = 80
AT_ONCE_S = 0.5


def check(host: StoppingHost, exit_status: int | None) -> None:
    assert host.lost() == []
    assert host.refused_though_run() == []
    assert exit_status == 0


def is_refused_late(sent: Sent) -> bool:
    return sent.status == 503 and sent.ended_at - sent.sent_at > AT_ONCE_S


@pytest.mark.parametrize("work_s", [0.05, 2.5, 5.5])
async def test_kept_connections_that_are_used_late(tmp_path: Path, work_s: float) -> None:
    """Guards against requests on kept connections that the end of their host cuts."""
    async with stopping_host(tmp_path) as host:
        connections = await host.open_used(CONNECTIONS, PATH)
        host.set_work_time(work_s)
        stopped, _ = await asyncio.gather(
            host.stop(ONCE), host.use_again(connections, GRACE_S, PATH)
        )
        check(host, stopped.exit_status)


@pytest.mark.parametrize("work_s", [0.05, 2.0, 5.5, 7.0])
async def test_new_connections_until_the_host_refuses_them(tmp_path: Path, work_s: float) -> None:
    """Guards against requests that are accepted though they cannot end before their host."""
    async with stopping_host(tmp_path) as host:
        host.set_work_time(work_s)
        stopped, _ = await asyncio.gather(host.stop(ONCE), host.connect_all_the_time(0.1, PATH))
        check(host, stopped.exit_status)


async def test_requests_that_cannot_end_in_time_are_refused_at_once(tmp_path: Path) -> None:
    """Guards against callers that wait at a stopping host for an answer that cannot come."""
    async with stopping_host(tmp_path) as host:
        host.set_work_time(5.5)
        await host.open_used(1, PATH)
        stopped, _ = await asyncio.gather(host.stop(ONCE), host.connect_all_the_time(0.1, PATH))
        check(host, stopped.exit_status)
        late = [sent for sent in host.sent if sent.sent_at > 2.0]
        assert late
        assert [sent for sent in late if sent.status != 503 or is_refused_late(sent)] == []


@pytest.mark.parametrize(
    "signals",
    [
        ((0.0, SIGTERM), (0.5, SIGTERM)),
        ((0.0, SIGTERM), (0.5, SIGINT), (1.0, SIGTERM)),
        ((0.0, SIGTERM), (0.5, SIGHUP)),
    ],
)
async def test_signals_to_a_host_that_stops(
    tmp_path: Path, signals: tuple[tuple[float, int], ...]
) -> None:
    """Guards against a further signal that ends a host before its requests."""
    async with stopping_host(tmp_path) as host:
        connections = await host.open_used(CONNECTIONS, PATH)
        host.set_work_time(1.5)
        stopped, _ = await asyncio.gather(
            host.stop(signals), host.use_all_the_time(connections, PATH)
        )
        check(host, stopped.exit_status)


async def test_streams_on_kept_connections(tmp_path: Path) -> None:
    """Guards against streams that the end of their host cuts."""
    async with stopping_host(tmp_path) as host:
        connections = await host.open_used(24, STREAM_PATH)
        host.set_work_time(4.0)
        stopped, _ = await asyncio.gather(
            host.stop(ONCE), host.use_again(connections, GRACE_S, STREAM_PATH)
        )
        check(host, stopped.exit_status)


async def test_requests_that_are_sent_at_once_on_one_connection(tmp_path: Path) -> None:
    """Guards against a second request that was read with the first and is dropped."""
    async with stopping_host(tmp_path) as host:
        connections = await host.open_used(20, PATH)
        host.set_work_time(1.5)

        async def ask() -> None:
            await asyncio.sleep(0.5)
            pairs = [(f"{number}-a", f"{number}-b") for number in range(len(connections))]
            asked = map(host.ask_pipelined, connections, pairs)
            await asyncio.gather(*asked)

        stopped, _ = await asyncio.gather(host.stop(ONCE), ask())
        check(host, stopped.exit_status)
        assert {sent.status for sent in host.sent} == {200}


async def test_requests_that_arrive_in_pieces(tmp_path: Path) -> None:
    """Guards against requests that are cut since their bytes arrive slowly."""
    async with stopping_host(tmp_path) as host:
        connections = await host.open_used(CONNECTIONS, PATH)

        async def ask(number: int) -> None:
            await asyncio.sleep(4.0 * number / CONNECTIONS)
            await host.ask_in_pieces(connections[number], f"pieces-{number}", 1.5)

        asked = asyncio.gather(*map(ask, range(CONNECTIONS)))
        stopped, _ = await asyncio.gather(host.stop(ONCE), asked)
        check(host, stopped.exit_status)


async def test_an_order_in_progress_at_a_control_host_is_answered(tmp_path: Path) -> None:
    """Guards against an operator's order that the stop of its control host cuts."""
    platform = Platform(tmp_path)
    try:
        await platform.start()
        await platform.publish(1, prepaid=1000)
        ordered_at, *others = platform.cores
        for core in others:
            platform.freeze(core)
        ordering = asyncio.ensure_future(platform.order_status(ordered_at, configuration(2, 1000)))
        await asyncio.sleep(0.3)
        stopping = asyncio.ensure_future(platform.terminate(ordered_at))
        # The others stay frozen, so that the outcome is unknown.
        assert await ordering == 503
        assert await stopping < GRACE_S
    finally:
        await platform.stop()
