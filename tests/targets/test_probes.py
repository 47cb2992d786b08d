"""Probes of targets over HTTP."""

import asyncio
import random

import aiohttp
import pytest

from cranberrywall.runtime import make_clock
from cranberrywall.targets import Backoffs, TargetConnector
from cranberrywall.targets._probes import make_http_probe
from tests.targets.announcements import announce


@pytest.mark.parametrize(("status", "is_healthy"), [("200", True), ("404", True), ("000", False)])
async def test_a_probe_with_an_invalid_status_is_not_healthy(status: str, is_healthy: bool) -> None:
    """Guards against requests to a target that answers with status 000."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} S\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connector = TargetConnector(paths=None, clock=make_clock())
    async with server, aiohttp.ClientSession(connector=connector) as session:
        probe = make_http_probe(session, Backoffs(make_clock(), random.Random(1)), make_clock())
        assert await probe(announce(url=f"http://{host}:{port}")) is is_healthy
