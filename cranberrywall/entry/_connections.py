"""Connections of callers to a host that stops listening."""

from typing import Any

from aiohttp import web

from cranberrywall.runtime import Clock

CHECK_INTERVAL_S = 0.05


async def close_idle_connections(server: web.Server, clock: Clock) -> None:
    """Close each connection of ``server`` while no request was read on it, until cancelled.

    A request that arrives later would be cut by the end of this process.
    """
    while True:
        for connection in server.connections:
            if _is_idle(connection):
                connection.force_close()
        await clock.sleep(CHECK_INTERVAL_S)


async def wait_for_answers(server: web.Server, clock: Clock, until: float) -> None:
    """Return once all answers are written and their connections closed, or at ``until``."""
    while server.connections and clock.now() < until:
        await clock.sleep(CHECK_INTERVAL_S)


def has_unread_request(connection: Any) -> bool:
    """Return whether a caller sent a further request before the answer to the current one."""
    return bool(connection._messages)


def _is_idle(connection: Any) -> bool:
    # aiohttp's request handler waits for this future exactly while it has no request.
    waiter = connection._waiter
    return waiter is not None and not waiter.done()
