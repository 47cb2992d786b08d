"""Response class that knows how the end of a body is marked, and how it came.

An answer without a length ends when its connection is closed. aiohttp reports a reset of the
connection as the end of the body, too, so that a truncated answer looks complete.
"""

from collections.abc import AsyncIterator
from enum import StrEnum

import aiohttp
from aiohttp.connector import Connection

from cranberrywall.targets import TargetProtocol

_NO_BODY_STATUSES = frozenset({204, 304})


class Framing(StrEnum):
    """How an answer marks the end of its body (RFC 9112, section 6.3).

    The end of a body with the framing ``CONNECTION`` is the end of its connection, whole or not.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class BodyEnd(StrEnum):
    """How a body ended.

    ``MARKED``: where its framing marks the end. ``CLOSED``: its connection was closed in order, and
    nothing else marks the end. ``BROKEN``: before the marked end, or by a reset. ``OPEN``: this
    host has not read the end.
    """

    MARKED = "marked"
    CLOSED = "closed"
    BROKEN = "broken"
    OPEN = "open"


class ResetAwareResponse(aiohttp.ClientResponse):
    """Response that remembers how its connection was closed.

    aiohttp discards this information at the end of the body. ``body_end`` is how the body ended.
    """

    _target_protocol: TargetProtocol | None = None
    body_end = BodyEnd.OPEN

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head; store the connection's protocol while the connection is available."""
        protocol = connection.protocol
        assert isinstance(protocol, TargetProtocol)
        self._target_protocol = protocol
        return await super().start(connection)

    @property
    def framing(self) -> Framing:
        """Return how the answer marks the end of its body.

        With an encoding other than chunked as the last one, a length does not count.
        """
        if self.method == "HEAD" or self.status in _NO_BODY_STATUSES:
            return Framing.LENGTH
        encodings = self.headers.getall("Transfer-Encoding", [])
        if encodings:
            is_chunked = encodings[-1].rpartition(",")[2].strip().lower() == "chunked"
            return Framing.CHUNKS if is_chunked else Framing.CONNECTION
        return Framing.LENGTH if "Content-Length" in self.headers else Framing.CONNECTION

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; raise ``aiohttp.ClientError`` if it is known to be truncated.

        Whether a body whose ``body_end`` is ``CLOSED`` is complete is not known.
        """
        try:
            while not self.content.at_eof():
                yield await self.content.readany()
            self._raise_if_reset()
        except (aiohttp.ClientError, ConnectionError):
            self.body_end = BodyEnd.BROKEN
            raise
        self.body_end = BodyEnd.CLOSED if self._ends_with_connection() else BodyEnd.MARKED

    def _ends_with_connection(self) -> bool:
        """Return whether the connection was lost before a mark of the body's end.

        The header may name chunks which the parser does not recognize.
        """
        protocol = self._target_protocol
        is_cut = protocol is not None and protocol.cut_body is self.content
        return is_cut or self.framing is Framing.CONNECTION

    def _raise_if_reset(self) -> None:
        loss = self._target_protocol.loss if self._target_protocol is not None else None
        if loss is not None and self._ends_with_connection():
            raise aiohttp.ClientPayloadError(
                "connection reset before the end of the body"
            ) from loss
