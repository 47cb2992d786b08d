"""HTTP connections whose requests are bounded together."""

import asyncio
import socket
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from cranberrywall.intake import Intake, read_whole_body
from cranberrywall.intake._memory import IntakeLimits
from cranberrywall.runtime import make_clock

LIMIT = 400_000
HEAD = "POST /{path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Served:
    """A listener on loopback whose handler holds requests until ``go_on`` is set."""

    def __init__(self) -> None:
        self.intake = Intake(IntakeLimits(LIMIT, None), make_clock())
        self.go_on = asyncio.Event()
        with socket.socket() as probe:
            probe.bind(("127.0.5.2", 0))
            self._port = probe.getsockname()[1]
        app = web.Application()
        app.router.add_post("/{path}", self._answer)
        self.listener = self.intake.make_listener(app, f"127.0.5.2:{self._port}", 0.1)

    async def _answer(self, request: web.Request) -> web.Response:
        body = await read_whole_body(request, LIMIT)
        await self.go_on.wait()
        return web.Response(text=str(len(body)))

    async def send(self, length: int, sent: int, path: str = "x") -> Connection:
        reader, writer = await asyncio.open_connection("127.0.5.2", self._port)
        writer.write(HEAD.format(path=path, length=length).encode() + bytes(sent))
        await writer.drain()
        return reader, writer

    async def until_held(self, size: int) -> None:
        for _ in range(500):
            if self.intake.memory.held_bytes >= size:
                return
            await asyncio.sleep(0.01)
        raise TimeoutError(f"{self.intake.memory.held_bytes} bytes are held")


@pytest.fixture
async def served() -> AsyncIterator[Served]:
    made = Served()
    await made.listener.start()
    yield made
    made.go_on.set()
    await made.listener.close()


async def status_of(connection: Connection) -> str:
    line = await asyncio.wait_for(connection[0].readline(), 5.0)
    return line.decode().partition(" ")[2].strip()


async def test_an_incomplete_request_is_refused_with_a_time_to_come_back(served: Served) -> None:
    """Guards against an evicted request whose caller receives no promise that it did not run."""
    first = await served.send(200_000, 190_000)
    await served.until_held(190_000)
    second = await served.send(200_000, 150_000)
    assert await status_of(first) == "503 Service Unavailable"
    head = await asyncio.wait_for(first[0].readuntil(b"\r\n\r\n"), 5.0)
    assert b"Retry-After: 1\r\n" in head
    assert b"Connection: close\r\n" in head
    served.go_on.set()
    second[1].write(bytes(50_000))
    assert await status_of(second) == "200 OK"


async def test_a_request_holds_its_bytes_until_its_answer(served: Served) -> None:
    _, writer = connection = await served.send(100_000, 100_000)
    await served.until_held(100_000)
    served.go_on.set()
    assert await status_of(connection) == "200 OK"
    await asyncio.sleep(0.05)
    assert served.intake.memory.held_bytes == 0
    writer.close()


async def test_bytes_of_a_closed_connection_are_free(served: Served) -> None:
    _, writer = await served.send(100_000, 50_000)
    await served.until_held(50_000)
    writer.close()
    await asyncio.sleep(0.1)
    assert (served.intake.memory.held_bytes, served.intake.memory.connections) == (0, 0)


async def test_a_connection_that_sends_ahead_without_end_is_closed(served: Served) -> None:
    """Guards against bytes behind a complete request, which nothing counts."""
    reader, writer = await served.send(10, 10)
    await served.until_held(10)
    with pytest.raises(ConnectionError):
        for _ in range(1000):
            writer.write(HEAD.format(path="x", length=50_000).encode() + bytes(50_000))
            await asyncio.wait_for(writer.drain(), 1.0)
            await asyncio.sleep(0.001)
    assert served.intake.memory.held_bytes == 0
