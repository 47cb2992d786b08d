"""Callers that send many large requests at once, with both programs as processes."""

import gzip
from pathlib import Path

import pytest

from tests.platform.crowds import (
    LARGEST_BODY,
    MAX_FDS,
    MEMORY_MB,
    Connection,
    Crowd,
    Most,
    crowd,
    head,
    write,
)

ENTRY = "front-1"
CONTROL = "core-1"
ORDER_PATH = "/v1/config/replace"


async def check(callers: Crowd, most: Most) -> None:
    assert callers.is_alive
    assert most.memory_bytes <= MEMORY_MB * 1_000_000
    assert most.descriptors <= MAX_FDS
    assert await callers.is_ordinary_request_answered()
    assert callers.is_alive


def unfinished(size: int, piece_bytes: int = 65_536, path: str = "/checks/1"):
    """Return a caller that sends all but the last byte of a body."""

    async def send(connection: Connection, number: int) -> None:
        first = head(f"crowd-{number}", f"Content-Length: {size}", path=path)
        await write(connection, first)
        await write(connection, bytes(size - 1), piece_bytes)

    return send


async def test_bodies_that_stop_short_of_their_end(tmp_path: Path) -> None:
    """Guards against bodies that are held without a limit for all connections together."""
    async with crowd(tmp_path, ENTRY) as callers:
        await check(callers, await callers.send(30, unfinished(LARGEST_BODY)))


async def test_bodies_that_arrive_piece_by_piece(tmp_path: Path) -> None:
    """Guards against small pieces of large bodies that are not counted."""
    async with crowd(tmp_path, ENTRY) as callers:
        await check(callers, await callers.send(30, unfinished(LARGEST_BODY, 1024)))


async def test_many_bodies_of_moderate_size(tmp_path: Path) -> None:
    """Guards against a limit that only large bodies meet."""
    async with crowd(tmp_path, ENTRY) as callers:
        await check(callers, await callers.send(500, unfinished(256 * 1024)))


async def test_chunked_bodies_that_do_not_end(tmp_path: Path) -> None:
    """Guards against bodies of unknown length that are held without a limit."""

    async def send(connection: Connection, number: int) -> None:
        await write(connection, head(f"crowd-{number}", "Transfer-Encoding: chunked"))
        chunk = b"10000\r\n" + bytes(65_536) + b"\r\n"
        for _ in range(LARGEST_BODY // 65_536):
            await write(connection, chunk)

    async with crowd(tmp_path, ENTRY) as callers:
        await check(callers, await callers.send(30, send))


async def test_whole_bodies_for_a_slow_target(tmp_path: Path) -> None:
    """Guards against bodies that are held without a limit while targets work."""

    async def send(connection: Connection, number: int) -> None:
        await write(connection, head(f"crowd-{number}", f"Content-Length: {LARGEST_BODY}"))
        await write(connection, bytes(LARGEST_BODY))

    async with crowd(tmp_path, ENTRY, work_s=4.0) as callers:
        await check(callers, await callers.send(30, send))


async def test_requests_sent_ahead_whose_answers_are_not_read(tmp_path: Path) -> None:
    """Guards against requests that one connection sends ahead without a limit for all."""

    async def send(connection: Connection, number: int) -> None:
        for turn in range(32):
            first = head(f"crowd-{number}-{turn}", "Content-Length: 65536")
            await write(connection, first + bytes(65_536))

    async with crowd(tmp_path, ENTRY, work_s=0.5) as callers:
        await check(callers, await callers.send(100, send))


async def test_heads_without_an_end(tmp_path: Path) -> None:
    """Guards against unfinished heads that are held without a limit for all connections."""

    async def send(connection: Connection, number: int) -> None:
        await write(connection, head(f"crowd-{number}", "X-Long: " + 15_000 * "a")[:-2])

    async with crowd(tmp_path, ENTRY) as callers:
        await check(callers, await callers.send(2000, send))


async def test_connections_that_send_nothing(tmp_path: Path) -> None:
    """Guards against connections that use up a process's descriptors."""

    async def send(connection: Connection, number: int) -> None:
        await write(connection, b"")

    async with crowd(tmp_path, ENTRY) as callers:
        await check(callers, await callers.send(1500, send))


async def test_bodies_that_grow_when_decompressed(tmp_path: Path) -> None:
    """Guards against a process that decompresses bodies which it only forwards."""
    body = gzip.compress(bytes(64 * 1024 * 1024))

    async def send(connection: Connection, number: int) -> None:
        first = head(f"crowd-{number}", f"Content-Length: {len(body)}", "Content-Encoding: gzip")
        await write(connection, first + body)

    async with crowd(tmp_path, ENTRY) as callers:
        await check(callers, await callers.send(60, send))


@pytest.mark.parametrize("size", [LARGEST_BODY, 256 * 1024])
async def test_orders_that_stop_short_of_their_end(tmp_path: Path, size: int) -> None:
    """Guards against orders that a control host holds without a limit for all connections."""
    count = 30 * LARGEST_BODY // size
    async with crowd(tmp_path, CONTROL) as callers:
        await check(callers, await callers.send(count, unfinished(size, path=ORDER_PATH)))


@pytest.mark.parametrize("name", [ENTRY, CONTROL])
async def test_one_request_of_the_largest_size_is_served_in_calm(tmp_path: Path, name: str) -> None:
    """Guards against a limit for all requests that a single one meets."""
    async with crowd(tmp_path, name) as callers:
        status = await callers.status_of_one(LARGEST_BODY)
        assert status == (200 if name == ENTRY else 400)
