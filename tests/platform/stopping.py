"""Callers of one entry host that is stopped, over raw connections, and what became of each request.

Both programs run as processes. The host gets one or more signals and is killed ``GRACE_S`` seconds
after the first one, as the platform does.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import NamedTuple

from standins._platform import (
    FRONT_PORT_OFFSET,
    HOST,
    KEY,
    Machine,
    Platform,
    Worker,
    configuration,
)

FRONTS = 3
WORKERS = 4
PREPAID = 10_000_000
GRACE_S = 8.0
DEADLINE_S = 9.0
ROUTE_TIMEOUT_MS = 10_000

LOSS_SLACK_S = 0.3
"""A connection may end unanswered for so long after a request that no target ran, in seconds."""

LAST_SENT_S = 3.0
"""Requests that are sent up to this time after the first signal may run until the kill."""

PIECES = 30

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]

PATH = "/checks/1"
STREAM_PATH = "/letters/1"


class Sent(NamedTuple):
    """What became of one request; times are in seconds since the first signal.

    ``status`` is 0 if the connection ended before the head of an answer, and ``is_whole`` is true
    if a complete answer arrived.
    """

    request_id: str
    sent_at: float
    ended_at: float
    status: int
    is_whole: bool


class Stopped(NamedTuple):
    """How a host ended: after ``seconds`` with ``exit_status``, which is -9 if it was killed."""

    seconds: float
    exit_status: int | None


class StoppingHost:
    """One entry host of a running platform, its callers and its end."""

    def __init__(self, platform: Platform, front: Machine) -> None:
        self._platform = platform
        self._front = front
        self.sent: list[Sent] = []
        self._signalled_at = 0.0

    @property
    def now(self) -> float:
        """Return the time since the first signal, in seconds."""
        return time.monotonic() - self._signalled_at

    def set_work_time(self, work_s: float) -> None:
        """Let each target work for so many seconds on a request from now on."""
        for worker in self._platform.workers:
            worker.work_s = work_s
            worker.event_s = work_s / worker.events

    async def open_used(self, count: int, path: str) -> list[Connection]:
        """Return connections that each had an answer."""
        connections = [await self.connect() for _ in range(count)]
        asked = [self.ask(pair, f"first-{n}", path) for n, pair in enumerate(connections)]
        assert {sent.status for sent in await asyncio.gather(*asked)} == {200}
        self.sent.clear()
        return connections

    async def use_again(self, connections: list[Connection], until: float, path: str) -> None:
        """Use each connection once more, at even intervals up to ``until``."""
        interval_s = until / len(connections)

        async def use(number: int, connection: Connection) -> None:
            await asyncio.sleep(interval_s * number)
            await self.ask(connection, f"again-{number}", path)

        await asyncio.gather(*(use(*numbered) for numbered in enumerate(connections)))

    async def use_all_the_time(self, connections: list[Connection], path: str) -> None:
        """Use each connection again and again until it ends."""

        async def use(number: int, connection: Connection) -> None:
            turn = 0
            while (await self.ask(connection, f"{number}-{turn}", path)).is_whole:
                turn += 1

        await asyncio.gather(*(use(*numbered) for numbered in enumerate(connections)))

    async def connect_all_the_time(self, interval_s: float, path: str) -> None:
        """Send requests on connections of their own until the host refuses connections."""
        asked: list[asyncio.Task[Sent]] = []
        while self.now < GRACE_S:
            try:
                connection = await self.connect()
            except OSError:
                break
            asked.append(asyncio.create_task(self.ask(connection, f"new-{len(asked)}", path)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*asked)

    async def connect(self) -> Connection:
        """Open a connection to the host, as a caller does."""
        address = self._platform.address(self._front, FRONT_PORT_OFFSET)
        host, _, port = address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def stop(self, signals: Sequence[tuple[float, int]]) -> Stopped:
        """Send each signal at its time, in seconds; kill the host at the end of its time."""
        self._signalled_at = time.monotonic()
        process = self._platform.process(self._front)
        ended = asyncio.ensure_future(process.wait())
        for at, number in signals:
            await asyncio.sleep(max(0.0, at - self.now))
            if not ended.done():
                process.send_signal(number)
        await asyncio.wait([ended], timeout=GRACE_S - self.now)
        if not ended.done():
            process.kill()
        return Stopped(self.now, await ended)

    async def ask_pipelined(self, connection: Connection, request_ids: Sequence[str]) -> None:
        """Send requests at once on one connection, and record what became of each."""
        reader, writer = connection
        sent_at = self.now
        writer.write(b"".join(encode_request(request_id, PATH) for request_id in request_ids))
        for request_id in request_ids:
            self.sent.append(await self._read(reader, request_id, sent_at))

    async def ask_in_pieces(
        self, connection: Connection, request_id: str, sending_s: float
    ) -> None:
        """Send the bytes of a request one after the other, and record what became of it."""
        reader, writer = connection
        request = encode_request(request_id, PATH, b'{"letter": "slowly sent"}')
        size = len(request) // PIECES + 1
        with suppress(OSError):
            for start in range(0, len(request), size):
                writer.write(request[start : start + size])
                await asyncio.sleep(sending_s / PIECES)
        self.sent.append(await self._read(reader, request_id, self.now))

    async def ask(self, connection: Connection, request_id: str, path: str) -> Sent:
        """Send one request on an open connection, and record what became of it."""
        reader, writer = connection
        sent_at = self.now
        writer.write(encode_request(request_id, path))
        sent = await self._read(reader, request_id, sent_at)
        self.sent.append(sent)
        return sent

    async def _read(self, reader: asyncio.StreamReader, request_id: str, sent_at: float) -> Sent:
        status, is_whole = 0, False
        with suppress(OSError, asyncio.IncompleteReadError):
            status, is_whole = await read_answer(reader)
        return Sent(request_id, sent_at, self.now, status, is_whole)

    def refused_though_run(self) -> list[Sent]:
        """Return the requests that a target ran and that were refused as not run."""
        ran = self._ran_ids()
        return [sent for sent in self.sent if sent.status == 503 and sent.request_id in ran]

    def lost(self) -> list[Sent]:
        """Return the requests that the host's stop cut."""
        ran = self._ran_ids()
        return [sent for sent in self.sent if not sent.is_whole and self._is_lost(sent, ran)]

    def _ran_ids(self) -> set[str]:
        return {request_id for worker in self._platform.workers for request_id in worker.ran}

    def _is_lost(self, sent: Sent, ran: set[str]) -> bool:
        if sent.request_id not in ran:
            return sent.ended_at - sent.sent_at > LOSS_SLACK_S
        works_until = sent.ended_at + LOSS_SLACK_S
        return not (sent.sent_at <= LAST_SENT_S and works_until >= GRACE_S * 5 / 6)


def encode_request(request_id: str, path: str, body: bytes = b"{}") -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {1000 * DEADLINE_S:.0f}",
        f"Authorization: Bearer {KEY}",
        "X-Token-Counts: 100,24",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status of an answer and whether it is complete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    status = int(head.split()[1])
    fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
    try:
        if "content-length" in fields:
            await reader.readexactly(int(fields["content-length"]))
            return status, True
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
    except (OSError, asyncio.IncompleteReadError):
        return status, False
    return status, True


@asynccontextmanager
async def stopping_host(folder: Path, root: Path | None = None) -> AsyncIterator[StoppingHost]:
    """Yield a host of a running platform; ``root`` is a checkout of another build."""
    platform = Platform(folder, fronts=FRONTS)
    if root is not None:
        machines = (*platform.cores, *platform.fronts)
        platform.root_by_name.update({machine.name: root for machine in machines})
    try:
        await platform.start()
        body = configuration(1, PREPAID)
        for route in body["routes"]:
            route["timeout_ms"] = ROUTE_TIMEOUT_MS
        await platform.publish_body(body)
        for number in range(1, WORKERS + 1):
            await platform.add_worker(Worker(f"i-ledger-{number}", "ledger", is_engine=False))
            await platform.add_worker(Worker(f"i-engine-{number}", "engines", is_engine=True))
        await platform.until_ready()
        for front in platform.fronts:
            await platform.until_answered(front, PATH)
        yield StoppingHost(platform, platform.fronts[1])
    finally:
        await platform.stop()
