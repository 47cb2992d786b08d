"""Tell a body that ended from one whose connection was reset.

An answer may come without a length and end with its connection. The library then reports a
reset as the body's end, so that half an answer looks whole.
"""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from aiohttp.connector import Connection


class EndingResponse(aiohttp.ClientResponse):
    """Keep how its connection was lost, which the library forgets at the body's end."""

    _lost: asyncio.Future[None] | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head; look at the connection before it may be lost."""
        protocol = connection.protocol
        self._lost = protocol.closed if protocol is not None else None
        if self._lost is not None:
            self._lost.add_done_callback(_mark_as_seen)
        return await super().start(connection)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Give the body piece by piece; raise ``aiohttp.ClientError`` where it isn't whole."""
        while not self.content.at_eof():
            yield await self.content.readany()
        error = self._loss()
        if error is not None and self._ends_with_connection():
            raise aiohttp.ClientPayloadError("reset before the body's end") from error

    def _loss(self) -> BaseException | None:
        lost = self._lost
        if lost is None or not lost.done() or lost.cancelled():
            return None
        return lost.exception()

    def _ends_with_connection(self) -> bool:
        return "Content-Length" not in self.headers and "Transfer-Encoding" not in self.headers


def _mark_as_seen(lost: asyncio.Future[None]) -> None:
    # Otherwise each loss that nobody asks for is logged as an error of the program.
    if not lost.cancelled():
        lost.exception()
