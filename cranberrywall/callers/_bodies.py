"""Reading of request bodies within limits of size and time."""

import asyncio
from typing import NamedTuple

from aiohttp import web
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal


class BodyLimits(NamedTuple):
    """Limits of a request body: its size, and the time in seconds for all of it to arrive."""

    max_bytes: int = 1024 * 1024
    read_timeout_s: float = 15.0


async def read_body(request: web.Request, limits: BodyLimits) -> Result[bytes, Refusal]:
    """Return the complete body, or refuse one that is too large or arrives too slowly."""
    if (request.content_length or 0) > limits.max_bytes:
        return Err(_too_large(limits))
    try:
        async with asyncio.timeout(limits.read_timeout_s):
            return await _read(request, limits)
    except TimeoutError:
        # Without a timeout, a caller that sends a byte now and then would occupy the connection
        # indefinitely.
        message = f"did not arrive completely within {limits.read_timeout_s:g} s"
        return Err(Refusal(ErrorKind.BAD_REQUEST, message, field="body"))


async def _read(request: web.Request, limits: BodyLimits) -> Result[bytes, Refusal]:
    chunks: list[bytes] = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        # The size of a chunked body is not announced in advance.
        if size > limits.max_bytes:
            return Err(_too_large(limits))
        chunks.append(part)
    return Ok(b"".join(chunks))


def _too_large(limits: BodyLimits) -> Refusal:
    return Refusal(
        ErrorKind.TOO_LARGE,
        f"is larger than {limits.max_bytes} bytes",
        field="body",
        remedy="send a smaller body",
    )
