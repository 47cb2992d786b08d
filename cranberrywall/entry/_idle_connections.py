"""Close the connections of callers that have no request while a host stops."""

import asyncio
from collections import Counter
from typing import Any

from aiohttp import web

from cranberrywall.runtime import Clock

CHECK_INTERVAL_S = 0.05

WRITING_S = 0.1
"""Time from the end of a request until its answer is written, in seconds."""


class IdleConnections:
    """Count the requests of each connection; connections are aiohttp's request handlers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requests_by_connection: Counter[Any] = Counter()

    def begin_request(self, connection: Any) -> None:
        """Record that a request was read."""
        self._requests_by_connection[connection] += 1

    def end_request(self, connection: Any) -> None:
        """Record that the answer to a request is ready to be written, or was written."""
        asyncio.get_running_loop().call_later(WRITING_S, self._forget_request, connection)

    async def close(self, server: web.Server | None) -> None:
        """Close the connections of ``server`` that have no request, until cancelled.

        A request that arrived on one later would be cut by the end of this process.
        """
        while server is not None:
            for connection in server.connections:
                if not self._requests_by_connection[connection] and connection.transport:
                    connection.transport.close()
            await self._clock.sleep(CHECK_INTERVAL_S)

    def _forget_request(self, connection: Any) -> None:
        self._requests_by_connection[connection] -= 1
        if not self._requests_by_connection[connection]:
            del self._requests_by_connection[connection]
