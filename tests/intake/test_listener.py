"""Listener that accepts no connection while the link is full."""

import asyncio
import socket

import pytest

from cranberrywall.intake import CallerListener, LinkLimit
from cranberrywall.intake._listener import MAX_PENDING, MIN_PENDING, pending_connections
from cranberrywall.runtime import make_clock

RATE = 1_000_000.0
HOST = "127.0.5.1"


class Protocol(asyncio.Protocol):
    """Connection that counts those made."""

    made = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        type(self).made += 1


@pytest.fixture
def listener():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port = probe.getsockname()[1]
    Protocol.made = 0
    return CallerListener(f"{HOST}:{port}", LinkLimit(RATE), make_clock())


async def connect(listener: CallerListener) -> asyncio.StreamWriter:
    host, _, port = listener._address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    return writer


async def until_made(count: int) -> bool:
    for _ in range(200):
        if Protocol.made >= count:
            return True
        await asyncio.sleep(0.01)
    return False


async def test_no_connection_is_accepted_while_the_link_is_full(listener: CallerListener) -> None:
    """Guards against callers that fill a link which is full already."""
    listener.start(Protocol)
    now = make_clock().now()
    listener.record_body(0, round(RATE / 4), now)
    assert listener.is_paused
    writer = await connect(listener)
    await asyncio.sleep(0.2)
    assert Protocol.made == 0
    assert await until_made(1)
    assert not listener.is_paused
    writer.close()
    listener.close()


async def test_a_host_that_stops_accepts_connections_on_a_full_link(
    listener: CallerListener,
) -> None:
    listener.start(Protocol)
    listener.record_body(0, round(100 * RATE), make_clock().now())
    listener.accept_always()
    writer = await connect(listener)
    assert await until_made(1)
    writer.close()
    listener.close()


async def test_open_connections_outlive_the_listener(listener: CallerListener) -> None:
    listener.start(Protocol)
    writer = await connect(listener)
    assert await until_made(1)
    listener.close()
    await asyncio.sleep(0.05)
    assert not writer.is_closing()
    writer.close()


@pytest.mark.parametrize(
    ("rate", "expected"), [(None, MAX_PENDING), (100.0, MIN_PENDING), (1e12, MAX_PENDING)]
)
def test_connections_that_wait_fit_the_link(rate: float | None, expected: int) -> None:
    assert pending_connections(LinkLimit(rate)) == expected
