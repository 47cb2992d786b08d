"""Connections that callers keep open while their host stops."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import pytest
from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.platform._boot import Boot, decode_boot
from cranberrywall.platform._front import PlatformFront
from cranberrywall.platform._replies import HttpReply
from cranberrywall.platform._stop_times import stop_times
from cranberrywall.runtime import make_clock

REQUEST = b"GET /x/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 1\r\n\r\n"
GRACE_S = 4.0
ROUTE_TIMEOUT_S = 0.6
UNANSWERED_S = 0.5
LONG_ANSWER = b"x" * 8_000_000

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Answer = Callable[[HttpReply], Awaitable[None]]


def make_boot() -> Boot:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
    fields = {
        "node": "front-1",
        "ip": "127.0.0.1",
        "zone": "z",
        "port_range": [7340, 7355],
        "seeds": ["127.0.0.1:8229"],
        "listen": {"front": f"127.0.0.1:{port}"},
        "bounds": {"grace_s": GRACE_S},
    }
    return decode_boot(fields).unwrap()


class StubForwarder:
    """Answer each request by a function, in place of targets."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer

    async def serve(
        self, arrival: Any, reply: HttpReply, is_current: bool
    ) -> Result[None, Refusal]:
        await self._answer(reply)
        return Ok(None)

    def timeout_of(self, host: str, path: str) -> float | None:
        return ROUTE_TIMEOUT_S

    def start_shutdown(self, ends_at: float) -> None:
        pass

    async def wait_idle(self) -> None:
        pass

    async def close(self) -> None:
        pass


class StubConfiguration(NamedTuple):
    document: dict[str, Any] = {}


class StubContext(NamedTuple):
    """The parts of a host that a frontend needs for a request."""

    configuration: StubConfiguration = StubConfiguration()

    async def settle(self, now: float, wall: float) -> None:
        pass

    def is_current(self, now: float) -> bool:
        return True


@asynccontextmanager
async def running_front(answer: Answer | None = None) -> AsyncIterator[tuple[PlatformFront, Boot]]:
    """Yield a frontend, which has no configuration unless ``answer`` answers its requests."""
    boot = make_boot()
    front = PlatformFront(boot, make_clock())
    await front.listen()
    if answer is not None:
        # The stubs have only what a request uses.
        front._forwarder = StubForwarder(answer)  # type: ignore[assignment]  # a stub
        front._parts = StubContext()  # type: ignore[assignment]  # a stub
    try:
        yield front, boot
    finally:
        await front.close()


async def connect(boot: Boot) -> Connection:
    host, _, port = boot.front.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def stop(front: PlatformFront) -> None:
    front.start_draining()
    await front.stop_listening()
    await front.finish()
    await front.close()


async def test_a_stopping_host_closes_the_connections_that_callers_keep_open() -> None:
    """Guards against requests that arrive on a kept connection and are cut as the process ends."""
    async with running_front() as (front, boot):
        reader, writer = await connect(boot)
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"503" in head
        await front.stop_listening()
        async with asyncio.timeout(1.0):
            while await reader.read(4096):
                pass
        writer.close()


async def test_an_answer_to_an_earlier_request_closes_its_connection() -> None:
    """Guards against the reuse of a connection whose request came before the stop."""
    released = asyncio.Event()

    async def answer(reply: HttpReply) -> None:
        await released.wait()
        await reply.answer(200, (), b"late")

    async with running_front(answer) as (front, boot):
        reader, writer = await connect(boot)
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        front.start_draining()
        released.set()
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" in head.lower()
        assert await reader.read() == b"late"
        writer.close()


async def test_a_stream_that_began_earlier_ends_with_its_connection() -> None:
    """Guards against the reuse of a connection whose stream began before the stop."""
    released = asyncio.Event()

    async def answer(reply: HttpReply) -> None:
        await reply.begin(200, ())
        await released.wait()
        await reply.finish()

    async with running_front(answer) as (front, boot):
        reader, writer = await connect(boot)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        front.start_draining()
        released.set()
        async with asyncio.timeout(1.0):
            assert await reader.read() == b"0\r\n\r\n"
        writer.close()


async def test_requests_that_were_read_together_are_all_answered() -> None:
    """Guards against a request that is dropped since it was read behind another one."""

    async def answer(reply: HttpReply) -> None:
        await asyncio.sleep(0.1)
        await reply.answer(200, (), b"whole")

    async with running_front(answer) as (front, boot):
        reader, writer = await connect(boot)
        writer.write(3 * REQUEST)
        await asyncio.sleep(0.05)
        await stop(front)
        answers = await reader.read()
        assert answers.count(b"whole") == 3
        assert answers.lower().count(b"connection: close") == 1
        writer.close()


async def test_a_caller_that_reads_slowly_gets_its_whole_answer() -> None:
    """Guards against a process that ends before it has written its answers."""

    async def answer(reply: HttpReply) -> None:
        await reply.answer(200, (), LONG_ANSWER)

    async with running_front(answer) as (front, boot):
        reader, writer = await connect(boot)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        stopping = asyncio.ensure_future(stop(front))
        await asyncio.sleep(1.0)
        assert not stopping.done()
        assert len(await reader.read()) == len(LONG_ANSWER)
        await stopping
        writer.close()


async def test_a_caller_that_reads_nothing_does_not_delay_the_stop() -> None:
    """Guards against a host that is killed since one caller does not take its answer."""

    async def answer(reply: HttpReply) -> None:
        await reply.answer(200, (), LONG_ANSWER)

    async with running_front(answer) as (front, boot):
        _, writer = await connect(boot)
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(GRACE_S):
            await stop(front)
        writer.close()


async def test_a_stopping_host_has_the_same_time_for_its_neighbours_as_for_its_callers() -> None:
    """Guards against connections of neighbours that end before the requests of callers."""
    async with running_front() as (front, boot):
        before = time.monotonic()
        front.start_draining()
        remaining_s = front.remaining_s(before)
        assert remaining_s is not None
        answer_s = stop_times(boot.grace_s).answer_s
        assert answer_s <= remaining_s < answer_s + 0.1
        assert front.remaining_s(before + 2 * boot.grace_s) == 0.0


@pytest.mark.parametrize("bytes_apart_s", [0.1, None])
async def test_a_body_that_comes_slowly_is_refused_at_the_timeout_of_its_route(
    bytes_apart_s: float | None,
) -> None:
    """A request outlasts its route's timeout, as its body comes slowly or never whole."""
    forwarded: list[HttpReply] = []

    async def answer(reply: HttpReply) -> None:
        forwarded.append(reply)

    async with running_front(answer) as (_, boot):
        reader, writer = await connect(boot)
        began_at = time.monotonic()
        writer.write(REQUEST.replace(b"GET", b"POST")[:-2] + b"Content-Length: 100\r\n\r\n{")
        answered = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
        while bytes_apart_s is not None and not answered.done():
            writer.write(b" ")
            await asyncio.sleep(bytes_apart_s)
        async with asyncio.timeout(5.0):
            head = await answered
        assert time.monotonic() - began_at < ROUTE_TIMEOUT_S + UNANSWERED_S
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"Connection: close" in head
        assert not forwarded
        writer.close()
