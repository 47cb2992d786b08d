"""Connect to targets, and send nothing once a target is not offered any more."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any

import aiohttp
from aiohttp.connector import Connection

IsOffered = Callable[[], bool]

_is_offered: ContextVar[IsOffered | None] = ContextVar("is_offered", default=None)


class TargetWithdrawnError(Exception):
    """Report that no byte was sent, since the target left while the connection was made."""


@contextmanager
def while_offered(is_offered: IsOffered) -> Iterator[None]:
    """Let requests of this task fail with ``TargetWithdrawnError`` where ``is_offered`` is false.

    It is asked when the connection stands, just before the first byte.
    """
    token = _is_offered.set(is_offered)
    try:
        yield
    finally:
        _is_offered.reset(token)


class TargetConnector(aiohttp.TCPConnector):
    """Make or reuse connections for requests to targets that are still offered.

    A request has its place at a target before it has a connection, which may take over half a
    second. A target that says meanwhile that it leaves must not get it: it may end before the
    answer.
    """

    async def connect(self, *args: Any, **keywords: Any) -> Connection:
        """Return a connection, or close it again where the target left meanwhile."""
        connection = await super().connect(*args, **keywords)
        is_offered = _is_offered.get()
        if is_offered is not None and not is_offered():
            connection.close()
            raise TargetWithdrawnError("the target left while the connection was made")
        return connection
