"""Connections to targets that are checked again before the first byte is sent."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any

import aiohttp
from aiohttp.connector import Connection

IsOffered = Callable[[], bool]

_is_offered: ContextVar[IsOffered | None] = ContextVar("is_offered", default=None)


class TargetWithdrawnError(Exception):
    """Raised if the target was withdrawn during connection setup; no byte was sent."""


@contextmanager
def while_offered(is_offered: IsOffered) -> Iterator[None]:
    """Make requests of this task raise ``TargetWithdrawnError`` if ``is_offered`` returns false.

    ``is_offered`` is called once the connection is established, just before the first byte is sent.
    """
    token = _is_offered.set(is_offered)
    try:
        yield
    finally:
        _is_offered.reset(token)


class TargetConnector(aiohttp.TCPConnector):
    """Connector that returns connections only to targets that are still offered.

    A request is assigned to a target before it has a connection, and connection setup may take over
    half a second. If the target announces during this time that it leaves, the request must not be
    sent to it: the target may stop before it has answered.
    """

    async def connect(self, *args: Any, **keywords: Any) -> Connection:
        """Return a connection; close it and raise if the target was withdrawn meanwhile."""
        connection = await super().connect(*args, **keywords)
        is_offered = _is_offered.get()
        if is_offered is not None and not is_offered():
            connection.close()
            raise TargetWithdrawnError("the target was withdrawn during connection setup")
        return connection
