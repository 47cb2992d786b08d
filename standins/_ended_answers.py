"""Play callers that read the framing of their answers against targets that end them early.

The targets run as processes of their own, so that one that is killed is closed by its kernel.
"""

import asyncio
import contextlib
import random
import statistics
import sys
import time
from asyncio.subprocess import PIPE, Process
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from enum import StrEnum
from itertools import cycle
from pathlib import Path
from typing import NamedTuple

from standins._platform import FRONT_PORT_OFFSET, HOST, KEY, Machine, Platform, Worker, route
from standins.ended_target import PIECES, Behaviour, Framing

FRONTS = 3
TARGETS = 6
PREPAID = 100_000_000
TOKENS = "100,400"
"""Input and largest output of each request; no stream uses up its output."""

DEADLINE_MS = 4000
CALLER_TIMEOUT_S = 10.0
BEGIN_INTERVAL_S = 0.03
KILL_INTERVAL_S = 1.2
KILL_JITTER_S = 0.1
AWAY_S = 0.6
START_S = 20.0
REPORTED_S = 1.0
"""Maximum time until a target's last line has been read, in seconds."""

NONE_WRITTEN = 0.0
NAME_START = "answer-"
ALL_PIECES = list(range(1, PIECES + 1))


class BodyEnd(StrEnum):
    """Name how a caller saw an answer end.

    ``MARKED``: with the end mark of its chunks, or at its length. ``CLOSED`` and ``RESET``: the
    connection was closed in order, or reset, before that. ``LATE``: it did not end in time.
    """

    MARKED = "marked"
    CLOSED = "closed"
    RESET = "reset"
    LATE = "late"


class Received(NamedTuple):
    """Hold what a caller received; ``status`` is 0 where no head arrived.

    ``ended_at`` is when the end was read, in monotonic seconds.
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    framing: Framing
    end: BodyEnd
    ended_at: float

    @property
    def is_stated_complete(self) -> bool:
        """Return whether the framing says that the body is complete."""
        return self.status == 200 and self.end is BodyEnd.MARKED

    @property
    def has_ended_as_sent(self) -> bool:
        """Return whether the end is one that the answer's framing allows."""
        is_unframed = self.framing is Framing.NONE and self.end is BodyEnd.CLOSED
        return self.status == 200 and (is_unframed or self.end is BodyEnd.MARKED)


class Row(NamedTuple):
    """Describe one play: what the targets answer, on which route, and who is ended meanwhile.

    ``disturb`` runs beside the callers and adds to the play's ends of processes.
    """

    behaviour: Behaviour
    path: str
    is_resumable: bool = True
    disturb: "Callable[[Scene], Coroutine[None, None, None]] | None" = None
    targets: int = TARGETS


class Tally(NamedTuple):
    """Count what became of a play's answers; each answer is in one of the last five.

    ``cuts`` counts the processes that were killed or stopped, or else the answers that a target
    cut. ``stated_complete`` counts those that were stated as complete with pieces missing, after
    the numbers of pieces in ``ended_after``. ``closed_early`` were closed in order, with pieces
    missing, and state no length. ``delay_ms`` is the median time from a target's last byte to the
    end of a whole answer.
    """

    cuts: int
    stated_complete: int
    whole: int
    broken_off: int
    closed_early: int
    not_served: int
    disordered: int
    ended_after: list[int]
    statuses: dict[int, int]
    delay_ms: float
    largest_delay_ms: float


class ProcessWorker(Worker):
    """Run a target as a process of its own; the heartbeats under its id go on while it is away."""

    def __init__(self, name: str, service: str, behaviour: Behaviour, seed: int) -> None:
        super().__init__(name, service, is_engine=behaviour.is_stream)
        self.cut_ids: list[str] = []
        self.written_at: dict[str, float] = {}
        self._behaviour = behaviour
        self._seed = seed
        self._process: Process | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def is_up(self) -> bool:
        """Return whether heartbeats are sent."""
        return self._process is not None

    async def start(self, port: int = 0) -> None:
        """Start the process, and wait until it listens."""
        options = ["--stream" if self._behaviour.is_stream else "--plain"]
        options += ["--framing", self._behaviour.framing, "--ending", self._behaviour.ending]
        options += ["--name", self.name, "--port", str(port), "--seed", str(self._seed)]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "standins.ended_target", *options, stdin=PIPE, stdout=PIPE
        )
        self._process = process
        assert process.stdout is not None
        async with asyncio.timeout(START_S):
            words = (await process.stdout.readline()).split()
        if not words:
            raise RuntimeError(f"{self.name} ended before it listened")
        self.address = f"127.0.0.1:{int(words[1])}"
        self._reading = asyncio.create_task(self._read(process.stdout))

    async def kill_and_return(self) -> None:
        """Kill the process, and start it again at the same port a little later."""
        await self._end()
        await asyncio.sleep(AWAY_S)
        self._seed += 1
        await self.start(int(self.address.rpartition(":")[2]))

    async def stop(self) -> None:
        """Kill the process."""
        await self._end()
        self._process = None

    async def _end(self) -> None:
        if self._process is None:
            return
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        if self._reading is not None:
            await self._reading

    async def _read(self, lines: asyncio.StreamReader) -> None:
        async for line in lines:
            word, request_id, *times = line.decode().split()
            if word == "cut":
                self.cut_ids.append(request_id)
            else:
                self.written_at[request_id] = float(times[0])


class Scene:
    """Hold the parts of one play; ``ends`` counts the processes that were ended."""

    def __init__(self, platform: Platform, targets: Sequence[ProcessWorker], seed: int) -> None:
        self.platform = platform
        self.targets = targets
        self.random = random.Random(seed)
        self.ends = 0


async def kill_targets(scene: Scene) -> None:
    """Kill one target after another until cancelled; each is away for a while."""
    returning: list[asyncio.Task[None]] = []
    try:
        for target in cycle(scene.targets):
            jitter_s = scene.random.uniform(-KILL_JITTER_S, KILL_JITTER_S)
            await asyncio.sleep(KILL_INTERVAL_S + jitter_s)
            returning.append(asyncio.create_task(target.kill_and_return()))
            scene.ends += 1
    finally:
        await asyncio.gather(*returning)


async def kill_fronts(scene: Scene) -> None:
    """Kill one entry host after another until cancelled."""
    await _end_fronts(scene, scene.platform.kill)


async def stop_fronts(scene: Scene) -> None:
    """Stop one entry host after another until cancelled."""
    await _end_fronts(scene, scene.platform.terminate)


async def _end_fronts(scene: Scene, end: Callable[[Machine], Awaitable[object]]) -> None:
    async def restart(front: Machine) -> None:
        await end(front)
        await scene.platform.start_machine(front)
        await scene.platform.until_ready()

    for front in cycle(scene.platform.fronts):
        await asyncio.sleep(KILL_INTERVAL_S)
        scene.ends += 1
        restarting = asyncio.create_task(restart(front))
        try:
            await asyncio.shield(restarting)
        finally:
            await restarting


async def play(
    folder: Path, row: Row, answers: int, seed: int, begin_interval_s: float = BEGIN_INTERVAL_S
) -> Tally:
    """Let callers ask for so many answers, one each interval, and count what they received."""
    platform = Platform(folder, fronts=FRONTS)
    try:
        scene = await _start(platform, row, seed)
        disturbing = asyncio.create_task(row.disturb(scene)) if row.disturb else None
        asking: list[asyncio.Task[Received]] = []
        draws = random.Random(f"begins {seed}")
        began_at = time.monotonic()
        for number in range(answers):
            jitter_s = draws.uniform(0.0, begin_interval_s)
            begin_at = began_at + number * begin_interval_s + jitter_s
            await asyncio.sleep(max(0.0, begin_at - time.monotonic()))
            front = platform.fronts[number % len(platform.fronts)]
            address = platform.address(front, FRONT_PORT_OFFSET)
            asking.append(asyncio.create_task(ask(address, row.path, f"{NAME_START}{number}")))
            if disturbing is not None and disturbing.done():
                break
        received = await asyncio.gather(*asking)
        if disturbing is not None:
            disturbing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await disturbing
        await _until_reported(row, received, scene.targets)
        return count(row, received, scene)
    finally:
        await platform.stop()


async def _start(platform: Platform, row: Row, seed: int) -> Scene:
    await platform.start()
    routes = [
        route("letters", "stream", "engines", resumable=row.is_resumable),
        route("checks", "idempotent", "ledger"),
        route("orders", "non_idempotent", "ledger"),
    ]
    await platform.publish(1, PREPAID, routes)
    service = "engines" if row.behaviour.is_stream else "ledger"
    targets = [
        ProcessWorker(f"i-{service}-{number}", service, row.behaviour, 1000 * seed + 50 * number)
        for number in range(row.targets)
    ]
    await asyncio.gather(*(platform.add_worker(target) for target in targets))
    await platform.until_ready()
    await asyncio.gather(
        *(
            platform.until_answered(front, row.path, X_Token_Counts=TOKENS)
            for front in platform.fronts
        )
    )
    return Scene(platform, targets, seed)


async def _until_reported(
    row: Row, received: Sequence[Received], targets: Sequence[ProcessWorker]
) -> None:
    """Wait until the lines about whole answers have been read, where the targets wrote them."""
    whole = {one.request_id for one in received if is_whole(one, row.behaviour.is_stream)}
    until = time.monotonic() + REPORTED_S
    while time.monotonic() < until:
        if whole <= {name for target in targets for name in (*target.written_at, *target.cut_ids)}:
            return
        await asyncio.sleep(0.05)


def count(row: Row, received: Sequence[Received], scene: Scene) -> Tally:
    """Count what became of the answers."""
    is_stream = row.behaviour.is_stream
    whole = [one for one in received if is_whole(one, is_stream)]
    parts = [one for one in received if one.status == 200 and not is_whole(one, is_stream)]
    stated_complete = [one for one in parts if one.is_stated_complete]
    written_at: dict[str, float] = {}
    for target in scene.targets:
        written_at.update(target.written_at)
    delays_ms = [
        1000.0 * (one.ended_at - written_at[one.request_id])
        for one in whole
        if one.request_id in written_at
    ]
    cut_ids = [name for target in scene.targets for name in target.cut_ids]
    return Tally(
        cuts=scene.ends or sum(name.startswith(NAME_START) for name in cut_ids),
        stated_complete=len(stated_complete),
        whole=len(whole),
        broken_off=sum(not one.has_ended_as_sent for one in parts),
        closed_early=sum(one.has_ended_as_sent and not one.is_stated_complete for one in parts),
        not_served=sum(one.status != 200 for one in received),
        disordered=sum(not _is_ordered(one, is_stream) for one in received),
        ended_after=sorted(len(read_numbers(one.body, is_stream)) for one in stated_complete),
        statuses=dict(sorted(Counter(one.status for one in received).items())),
        delay_ms=round(statistics.median(delays_ms), 2) if delays_ms else NONE_WRITTEN,
        largest_delay_ms=round(max(delays_ms, default=NONE_WRITTEN), 2),
    )


def is_whole(received: Received, is_stream: bool) -> bool:
    """Return whether each piece arrived once, and the answer ended as its framing allows."""
    return received.has_ended_as_sent and read_numbers(received.body, is_stream) == ALL_PIECES


def _is_ordered(received: Received, is_stream: bool) -> bool:
    if received.status != 200:
        return True
    numbers = read_numbers(received.body, is_stream)
    return numbers == ALL_PIECES[: len(numbers)]


def read_numbers(body: bytes, is_stream: bool) -> list[int]:
    r"""Return the numbers of a body's complete pieces.

    >>> read_numbers(b"id: 1\ndata: piece 1\n\nid: 2\nda", is_stream=True)
    [1]
    >>> read_numbers(b"piece 1\npiece 2\npie", is_stream=False)
    [1, 2]
    """
    separator = "\n\n" if is_stream else "\n"
    *pieces, _ = body.decode().split(separator)
    return [int(piece.rpartition(" ")[2]) for piece in pieces if "piece " in piece]


async def ask(address: str, path: str, request_id: str) -> Received:
    """Send one request on a connection of its own, and read the framing of its answer."""
    host, _, port = address.rpartition(":")
    caller = _Caller(request_id)
    try:
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(_request(path, request_id))
                await caller.read(reader)
            finally:
                writer.close()
    except TimeoutError:
        return caller.received(BodyEnd.LATE)
    except asyncio.IncompleteReadError as error:
        caller.body += error.partial if caller.is_in_data else b""
        return caller.received(BodyEnd.CLOSED)
    except OSError:
        return caller.received(BodyEnd.RESET)
    return caller.received(BodyEnd.CLOSED if caller.framing is Framing.NONE else BodyEnd.MARKED)


class _Caller:
    """Read one answer; what was read so far stays if the connection ends."""

    def __init__(self, request_id: str) -> None:
        self.body = b""
        self.framing = Framing.NONE
        self.is_in_data = False
        self._request_id = request_id
        self._status = 0
        self._headers: dict[str, str] = {}

    def received(self, end: BodyEnd) -> Received:
        """Return what was read."""
        now = time.monotonic()
        return Received(
            self._request_id, self._status, self._headers, self.body, self.framing, end, now
        )

    async def read(self, reader: asyncio.StreamReader) -> None:
        """Read an answer to its end; raise ``IncompleteReadError`` where its framing goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        for line in lines:
            name, _, value = line.partition(":")
            self._headers[name.lower()] = value.strip()
        self._status = int(first.split(" ")[1])
        if self._headers.get("transfer-encoding", "").lower() == "chunked":
            self.framing = Framing.CHUNKS
            await self._read_chunks(reader)
        elif "content-length" in self._headers:
            self.framing = Framing.LENGTH
            self.is_in_data = True
            self.body = await reader.readexactly(int(self._headers["content-length"]))
        else:
            while data := await reader.read(65536):
                self.body += data

    async def _read_chunks(self, reader: asyncio.StreamReader) -> None:
        while True:
            size = int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)
            if not size:
                break
            self.is_in_data = True
            self.body += await reader.readexactly(size)
            self.is_in_data = False
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass


def _request(path: str, request_id: str) -> bytes:
    body = b"{}"
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        f"X-Token-Counts: {TOKENS}",
        f"Authorization: Bearer {KEY}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body
