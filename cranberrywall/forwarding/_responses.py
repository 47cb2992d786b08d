"""Response class that distinguishes a complete body from one whose connection was reset.

An answer without a length ends when its connection is closed. aiohttp reports a reset of the
connection as the end of the body, too, so that a truncated answer looks complete.
"""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from aiohttp.connector import Connection


class ResetAwareResponse(aiohttp.ClientResponse):
    """Response that remembers how its connection was closed.

    aiohttp discards this information at the end of the body.
    """

    _connection_closed: asyncio.Future[None] | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head; store the connection's close future while the connection is available."""
        protocol = connection.protocol
        self._connection_closed = protocol.closed if protocol is not None else None
        if self._connection_closed is not None:
            self._connection_closed.add_done_callback(_retrieve_exception)
        return await super().start(connection)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; raise ``aiohttp.ClientError`` if it is incomplete."""
        while not self.content.at_eof():
            yield await self.content.readany()
        error = self._connection_error()
        if error is not None and self._ends_with_connection():
            raise aiohttp.ClientPayloadError(
                "connection reset before the end of the body"
            ) from error

    def _connection_error(self) -> BaseException | None:
        closed = self._connection_closed
        if closed is None or not closed.done() or closed.cancelled():
            return None
        return closed.exception()

    def _ends_with_connection(self) -> bool:
        return "Content-Length" not in self.headers and "Transfer-Encoding" not in self.headers


def _retrieve_exception(closed: asyncio.Future[None]) -> None:
    # asyncio logs an exception that is never retrieved as an error of the program.
    if not closed.cancelled():
        closed.exception()
