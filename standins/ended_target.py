"""Run a target whose answers end in a chosen way: ``python -m standins.ended_target --help``.

It writes raw HTTP, so that the framing of each answer is exact. It ends with its standard input. On
its standard output it writes one line for each of these, with times in monotonic seconds:
``listens PORT``, ``written REQUEST_ID TIME`` after an answer's last byte, and ``cut REQUEST_ID``.
"""

import asyncio
import os
import random
import socket
import struct
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from enum import StrEnum
from itertools import accumulate
from typing import NamedTuple

import click

PIECES = 12
PIECE_S = 0.03
HEALTH_PATH = "/health"
INSTANCE_HEADER = "X-Instance-Id"
CUT_BETWEEN_SHARE = 0.25
CUT_AT_BYTE_SHARE = 0.33
END_MARK = b"0\r\n\r\n"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Framing(StrEnum):
    """Name how the end of an answer is marked."""

    NONE = "none"
    CHUNKS = "chunks"
    LENGTH = "length"


class Ending(StrEnum):
    """Name how a target that runs on ends its answers; all but ``SOUND`` end a share of them so.

    ``CLOSE_BETWEEN`` closes in order between two pieces. ``CLOSE_AT_BYTE`` and ``RESET_AT_BYTE`` do
    so at any byte of the body.
    """

    SOUND = "sound"
    CLOSE_BETWEEN = "close_between"
    CLOSE_AT_BYTE = "close_at_byte"
    RESET_AT_BYTE = "reset_at_byte"


class Behaviour(NamedTuple):
    """Hold how a target answers: with event streams, or with plain answers in pieces."""

    is_stream: bool
    framing: Framing = Framing.NONE
    ending: Ending = Ending.SOUND


class _Request(NamedTuple):
    method: str
    path: str
    headers: dict[str, str]


class EndedTarget:
    """Answer requests on raw connections."""

    def __init__(self, name: str, behaviour: Behaviour, seed: int) -> None:
        self._name = name
        self._behaviour = behaviour
        self._random = random.Random(seed)

    async def serve(self, port: int) -> None:
        """Answer at a port, or at a free one, until standard input ends."""
        server = await asyncio.start_server(self._serve_connection, "127.0.0.1", port)
        loop = asyncio.get_running_loop()
        ended = asyncio.Event()

        def read_input() -> None:
            if not os.read(sys.stdin.fileno(), 1):
                ended.set()

        loop.add_reader(sys.stdin.fileno(), read_input)
        print("listens", server.sockets[0].getsockname()[1], flush=True)
        await ended.wait()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._answer(await _read_request(reader), writer):
                pass
        writer.close()

    async def _answer(self, request: _Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request, and return whether the connection can carry another."""
        request_id = request.headers.get("x-request-id", "")
        lines = [f"X-Request-Id: {request_id}", f"X-Server-Stamp: {self._name}.{request_id}"]
        if request.headers.get("x-expect-instance") not in (None, self._name):
            writer.write(_head("421 Misdirected Request", [*lines, "Content-Length: 0"]))
            return True
        if request.method == "GET" and request.path == HEALTH_PATH:
            lines += [f"{INSTANCE_HEADER}: {self._name}", "Content-Length: 0"]
            writer.write(_head("200 OK", lines))
            return True
        pieces = self._pieces(int(request.headers.get("last-event-id", "0")))
        if self._behaviour.is_stream:
            lines.append("Content-Type: text/event-stream")
        lines.append(_framing_line(self._behaviour.framing, pieces))
        writer.write(_head("200 OK", lines))
        await writer.drain()
        return await self._write_body(request_id, pieces, writer)

    def _pieces(self, last_event: int) -> list[bytes]:
        if not self._behaviour.is_stream:
            return [f"piece {number}\n".encode() for number in range(1, PIECES + 1)]
        numbers = range(last_event + 1, PIECES + 1)
        return [f"id: {number}\ndata: piece {number}\n\n".encode() for number in numbers]

    async def _write_body(
        self, request_id: str, pieces: Sequence[bytes], writer: asyncio.StreamWriter
    ) -> bool:
        framing = self._behaviour.framing
        end = END_MARK if framing is Framing.CHUNKS else b""
        if framing is Framing.CHUNKS:
            pieces = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
        cut_at = self._draw_cut(pieces, len(end))
        written = 0
        for piece in pieces:
            await asyncio.sleep(PIECE_S)
            rest = len(piece) if cut_at is None else cut_at - written
            if rest > 0:
                writer.write(piece[:rest])
                await writer.drain()
            written += len(piece)
            if cut_at is not None and written >= cut_at:
                break
        if cut_at is not None:
            writer.write(end[: max(0, cut_at - written)])
            _cut(writer, is_reset=self._behaviour.ending is Ending.RESET_AT_BYTE)
            print("cut", request_id, flush=True)
            return False
        writer.write(end)
        await writer.drain()
        written_at = time.monotonic()
        if framing is Framing.NONE:
            writer.close()
        print("written", request_id, written_at, flush=True)
        return framing is not Framing.NONE

    def _draw_cut(self, pieces: Sequence[bytes], end_length: int) -> int | None:
        """Return how many bytes of the body to write; ``None`` for all of them."""
        ends = list(accumulate(len(piece) for piece in pieces))
        ending = self._behaviour.ending
        if ending is Ending.SOUND or len(ends) < 2:
            return None
        is_between = ending is Ending.CLOSE_BETWEEN
        if self._random.random() >= (CUT_BETWEEN_SHARE if is_between else CUT_AT_BYTE_SHARE):
            return None
        if is_between:
            return self._random.choice(ends[:-1])
        return self._random.randrange(1, ends[-1] + end_length)


async def _read_request(reader: asyncio.StreamReader) -> _Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, path, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", "0")))
    return _Request(method, path, headers)


def _head(status: str, lines: Sequence[str]) -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status}", *lines, "", ""]).encode("latin-1")


def _framing_line(framing: Framing, pieces: Sequence[bytes]) -> str:
    if framing is Framing.CHUNKS:
        return "Transfer-Encoding: chunked"
    if framing is Framing.LENGTH:
        return f"Content-Length: {sum(len(piece) for piece in pieces)}"
    return "Connection: close"


def _cut(writer: asyncio.StreamWriter, *, is_reset: bool) -> None:
    if not is_reset:
        writer.close()
        return
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


@click.command()
@click.option("--name", default="i-ended-1", help="The id of the instance.")
@click.option("--port", default=0, help="Port on loopback; 0 for a free one.")
@click.option("--stream/--plain", "is_stream", default=True, help="What it answers with.")
@click.option("--framing", type=click.Choice([one.value for one in Framing]), default="none")
@click.option("--ending", type=click.Choice([one.value for one in Ending]), default="sound")
@click.option("--seed", default=1, help="Seed of the draws of which answers are cut, and where.")
def main(name: str, port: int, is_stream: bool, framing: str, ending: str, seed: int) -> None:
    """Answer requests until standard input ends."""
    behaviour = Behaviour(is_stream, Framing(framing), Ending(ending))
    asyncio.run(EndedTarget(name, behaviour, seed).serve(port))


if __name__ == "__main__":
    main()
