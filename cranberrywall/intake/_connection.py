"""HTTP connection of a caller that is bounded by the memory of all requests together."""

import asyncio
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestHandler

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.intake._memory import IntakeMemory, Limit
from cranberrywall.observability import EventLimiter

_EVICTED = Refusal(
    ErrorKind.OVERLOADED,
    "this process holds too many large requests",
    "body",
    "send the request again later, or send it to another host",
    retry_after=1.0,
)


class RequestEvictedError(web.HTTPServiceUnavailable):
    """Raised while a request is read that is evicted: it did not run."""

    refusal = _EVICTED

    def __init__(self) -> None:
        super().__init__(
            text=str(_EVICTED),
            headers={"Retry-After": f"{_EVICTED.retry_after:g}", "Connection": "close"},
        )


class BoundedConnection(RequestHandler):
    """Connection of a caller that counts the bytes of its requests until they have ended."""

    def __init__(
        self, memory: IntakeMemory, events: EventLimiter, *args: Any, **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self._memory = memory
        self._events = events
        self._content: StreamReader | None = None
        self._is_evicted = False
        self._ahead_bytes = 0
        self._since_end = 0
        self.held_bytes = 0

    @property
    def is_evictable(self) -> bool:
        """Return false if all that is held is one request that has arrived completely."""
        return not self._is_complete or bool(self._messages) or self._ahead_bytes > 0

    @property
    def _is_complete(self) -> bool:
        return self._content is not None and self._content.is_eof()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._memory.add_connection(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._memory.remove_connection(self)
        self.held_bytes = 0
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._is_evicted:
            return
        was_complete = self._is_complete
        super().data_received(data)
        # aiohttp calls this without data to parse requests that it has read before.
        if data:
            self._ahead_bytes += len(data) if was_complete else 0
            self._since_end = self._since_end + len(data) if was_complete else len(data)
            self.held_bytes += len(data)
            self._memory.add_bytes(self, len(data))

    def evict(self, limit: Limit) -> None:
        """Refuse the incomplete request, or close the connection if it has none."""
        self._is_evicted = True
        self._events.log("WARNING", "caller_evicted", limit, held_bytes=self.held_bytes)
        self.held_bytes = 0
        self._messages.clear()
        self._lingering_time = 0.0
        if self._content is None or self._is_complete:
            if self.transport is not None:
                self.transport.abort()
            return
        self._content.set_exception(RequestEvictedError())
        self.close()

    async def _handle_request(self, request: web.BaseRequest, *args: Any) -> Any:
        self._content = request.content
        self._ahead_bytes = 0
        try:
            return await super()._handle_request(request, *args)
        finally:
            self._content = None
            self._release(_size_of(request))

    def _release(self, size: int) -> None:
        # Framing of chunks isn't part of the size, so an idle connection may seem to hold more.
        left = max(0, self.held_bytes - size)
        if not self._messages:
            left = min(left, self._since_end)
        self._memory.release_bytes(self, self.held_bytes - left)
        self.held_bytes = left


def _size_of(request: web.BaseRequest) -> int:
    fields = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    line = len(request.method) + len(request.raw_path) + 12
    return line + fields + 2 + getattr(request.content, "total_bytes", 0)
