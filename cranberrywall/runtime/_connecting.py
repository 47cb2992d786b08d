"""Connect over TCP, and notice the end of a network partition at once."""

import asyncio
import socket

REPEAT_INTERVAL_S = 0.25
"""Interval in seconds between two attempts to connect while none has an answer.

TCP itself repeats the first packet of an attempt after 1 s, then at growing intervals. An attempt
that began in a partition would be of no use for as long after its end.
"""


async def connect(host: str, port: int) -> socket.socket:
    """Return a connected socket; start another attempt whenever the earlier ones have no answer.

    The caller limits the time. Raises ``OSError`` as soon as one attempt fails.
    """
    attempts: set[asyncio.Task[socket.socket]] = set()
    answered: set[asyncio.Task[socket.socket]] = set()
    try:
        while not answered:
            attempts.add(asyncio.create_task(_attempt(host, port)))
            answered, _ = await asyncio.wait(
                attempts, timeout=REPEAT_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
            )
        first = answered.pop()
        attempts.remove(first)
        return first.result()
    finally:
        for attempt in attempts:
            _abandon(attempt)


async def _attempt(host: str, port: int) -> socket.socket:
    loop = asyncio.get_running_loop()
    [(family, kind, protocol, _, address), *_] = await loop.getaddrinfo(
        host, port, type=socket.SOCK_STREAM
    )
    connection = socket.socket(family, kind, protocol)
    connection.setblocking(False)
    try:
        await loop.sock_connect(connection, address)
    except BaseException:
        connection.close()
        raise
    return connection


def _abandon(attempt: asyncio.Task[socket.socket]) -> None:
    """End an attempt that is not needed, and close its connection if it has one."""
    attempt.cancel()
    attempt.add_done_callback(_close_result)


def _close_result(attempt: asyncio.Task[socket.socket]) -> None:
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().close()
