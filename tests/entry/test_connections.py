"""Connections of callers to a host that stops listening."""

import asyncio
from typing import Any

from cranberrywall.entry import close_idle_connections
from cranberrywall.runtime import make_clock


class StubConnection:
    """The part of aiohttp's request handler that shows whether a request was read."""

    def __init__(self, waiter: "asyncio.Future[None] | None") -> None:
        self._waiter = waiter
        self.is_closed = False

    def force_close(self) -> None:
        self.is_closed = True


class StubServer:
    def __init__(self, *connections: StubConnection) -> None:
        self.connections = connections


async def close_for_a_moment(server: Any) -> None:
    closing = asyncio.create_task(close_idle_connections(server, make_clock()))
    await asyncio.sleep(0.01)
    closing.cancel()


async def test_a_request_that_was_read_and_not_begun_keeps_its_connection() -> None:
    """Guards against requests that are cut between their reading and their handler."""
    loop = asyncio.get_running_loop()
    idle, read = loop.create_future(), loop.create_future()
    read.set_result(None)
    connections = [StubConnection(waiter) for waiter in (idle, read, None)]
    await close_for_a_moment(StubServer(*connections))
    assert [connection.is_closed for connection in connections] == [True, False, False]
