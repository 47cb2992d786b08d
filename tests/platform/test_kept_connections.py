"""Connections that callers keep open while their host stops."""

import asyncio
import socket

from cranberrywall.platform._boot import Boot, decode_boot
from cranberrywall.platform._front import PlatformFront
from cranberrywall.runtime import make_clock

REQUEST = b"GET /x/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 1\r\n\r\n"


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
    }
    return decode_boot(fields).unwrap()


async def test_a_stopping_host_closes_the_connections_that_callers_keep_open() -> None:
    """Guards against requests that arrive on a kept connection and are cut as the process ends."""
    boot = make_boot()
    front = PlatformFront(boot, make_clock())
    await front.listen()
    try:
        host, _, port = boot.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"503" in head
        await front.stop_listening()
        async with asyncio.timeout(1.0):
            while await reader.read(4096):
                pass
        writer.close()
    finally:
        await front.close()
