"""Crowds of callers that send much at once, and what a process holds meanwhile.

Both programs run as processes. Memory counts as on the platform: what the process has in memory,
and what has arrived for it and is not read yet.
"""

import asyncio
import os
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import NamedTuple

from standins._platform import (
    CONTROL_PORT_OFFSET,
    FRONT_PORT_OFFSET,
    HOST,
    KEY,
    Machine,
    Platform,
    Worker,
    configuration,
)

MEMORY_MB = 110
"""Limit of a process in the settings of these tests, in megabytes of 1,000,000 bytes."""

MAX_FDS = 1_000
"""Limit of a process's descriptors in the settings of these tests."""

PREPAID = 100_000_000
LARGEST_BODY = 4 * 1024 * 1024
PATH = "/checks/1"

CROWD_S = 6.0
"""A crowd sends and is watched for so long, in seconds; what it has opened then stays open."""

SAMPLE_S = 0.05
ANSWERED_S = 30.0

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Most(NamedTuple):
    """The most that a process held at any time."""

    memory_bytes: int
    descriptors: int


class Crowd:
    """Connections to one process, which stay open until the end of the test."""

    def __init__(self, platform: Platform, machine: Machine, pid: int, worker: Worker) -> None:
        self._worker = worker
        self._platform = platform
        self._machine = machine
        self._pid = pid
        self._open: list[Connection] = []
        self._most = Most(0, 0)

    @property
    def is_alive(self) -> bool:
        """Return whether the process still runs."""
        return self._platform.process(self._machine).returncode is None

    async def send(self, count: int, send: Callable[[Connection, int], Awaitable[None]]) -> Most:
        """Let ``count`` callers send at once; return the most that the process held meanwhile."""
        watch = asyncio.create_task(self._watch())
        sending = [asyncio.create_task(self._send_one(number, send)) for number in range(count)]
        await asyncio.sleep(CROWD_S)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        watch.cancel()
        self._sample()
        return self._most

    async def _send_one(
        self, number: int, send: Callable[[Connection, int], Awaitable[None]]
    ) -> None:
        is_core = self._machine.module == "core"
        offset = CONTROL_PORT_OFFSET if is_core else FRONT_PORT_OFFSET
        host, _, port = self._platform.address(self._machine, offset).rpartition(":")
        # The process may close the connection, or accept none.
        with suppress(OSError):
            connection = await asyncio.open_connection(host, int(port), limit=1024)
            self._open.append(connection)
            await send(connection, number)

    async def _watch(self) -> None:
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_S)

    def _sample(self) -> None:
        memory = _resident_bytes(self._pid) + _unread_bytes(self._machine.ip)
        descriptors = len(os.listdir(f"/proc/{self._pid}/fd"))
        self._most = Most(
            max(memory, self._most.memory_bytes), max(descriptors, self._most.descriptors)
        )

    async def status_of_one(self, size: int) -> int:
        """Return the status of one request of ``size`` bytes; at a control host of an order."""
        if self._machine.module == "core":
            return await self._platform.order_status(self._machine, {"unknown": size * "a"})
        return (await self._platform.ask(self._machine, PATH, bytes(size))).status

    async def is_ordinary_request_answered(self) -> bool:
        """Return whether the process answers an ordinary request while the crowd stays."""
        if self._machine.module == "core":
            return await self._platform.reads_configuration(self._machine, ANSWERED_S)
        # While the target works for longer than this request waits, no host could answer it.
        self._worker.work_s = 0.0
        answer = await self._platform.until_answered(self._machine, PATH, ANSWERED_S)
        return answer.status == 200

    async def close(self) -> None:
        """Close all connections."""
        for _, writer in self._open:
            writer.transport.abort()


def _resident_bytes(pid: int) -> int:
    fields = Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()
    return int(fields[1]) * _PAGE_BYTES


def _unread_bytes(ip: str) -> int:
    """Return the bytes that wait unread in the connections of an address."""
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    total = 0
    for line in Path("/proc/net/tcp").read_text(encoding="utf-8").splitlines()[1:]:
        fields = line.split()
        is_established = fields[3] == "01"
        if fields[1].startswith(local) and is_established:
            total += int(fields[4].partition(":")[2], 16)
    return total


@asynccontextmanager
async def crowd(folder: Path, name: str, work_s: float = 0.0) -> AsyncIterator[Crowd]:
    """Yield the crowd of the machine ``name``, on a platform of three and two hosts."""
    platform = Platform(folder)
    platform.limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
    worker = Worker("w-1", "ledger", is_engine=False)
    made: Crowd | None = None
    try:
        await platform.start()
        await platform.publish_body(configuration(1, PREPAID))
        await platform.add_worker(worker)
        await platform.until_ready()
        for front in platform.fronts:
            await platform.until_answered(front, PATH)
        worker.work_s = work_s
        machines = {machine.name: machine for machine in (*platform.cores, *platform.fronts)}
        made = Crowd(platform, machines[name], platform.process(machines[name]).pid, worker)
        yield made
    finally:
        if made is not None:
            await made.close()
        await platform.stop()


def head(request_id: str, *fields: str, path: str = PATH) -> bytes:
    """Return the head of a caller's request with further fields."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 60000",
        f"Authorization: Bearer {KEY}",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def write(connection: Connection, data: bytes, piece_bytes: int = 65_536) -> None:
    """Send data in pieces."""
    _, writer = connection
    for start in range(0, len(data), piece_bytes):
        writer.write(data[start : start + piece_bytes])
        await writer.drain()
