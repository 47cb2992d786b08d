"""Answer a caller through the HTTP library."""

from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from cranberrywall.forwarding import Headers

_LENGTH = "content-length"


class HttpReply:
    """Hold one caller's request until its answer has gone out."""

    def __init__(
        self,
        request: web.BaseRequest,
        closes: Callable[[], bool],
        record_sent: Callable[[int], None],
    ) -> None:
        """``closes`` returns whether to close the caller's connection after the answer.

        ``record_sent`` is called with the size of each piece of the answer's body, in bytes.
        """
        self._request = request
        self._closes = closes
        self._record_sent = record_sent
        self._response: web.StreamResponse | None = None

    @property
    def has_started(self) -> bool:
        """Say whether the caller has got the head of an answer."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """Return what was sent, for the library to end the request by."""
        return self._response

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        response = web.Response(status=status, headers=_without_length(headers), body=body)
        self._record_sent(len(body))
        await self._prepare(response)
        await response.write_eof()

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in pieces."""
        response = web.StreamResponse(status=status, headers=_without_length(headers))
        response.enable_chunked_encoding()
        await self._prepare(response)

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        assert self._response is not None
        self._record_sent(len(data))
        await self._response.write(data)

    async def finish(self) -> None:
        """Send the end of the body."""
        assert self._response is not None
        if self._closes():
            self._response.force_close()
        await self._response.write_eof()

    def abort(self) -> None:
        """Close the connection; what was written still goes out, and no end mark behind it."""
        if self._request.transport is not None:
            self._request.transport.close()

    async def _prepare(self, response: web.StreamResponse) -> None:
        if self._closes():
            response.force_close()
            response.headers["Connection"] = "close"
        self._response = response
        await response.prepare(self._request)


def _without_length(headers: Headers) -> CIMultiDict[str]:
    return CIMultiDict(pair for pair in headers if pair[0].lower() != _LENGTH)
