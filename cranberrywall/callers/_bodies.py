"""Read the bodies of calls within limits of size and time."""

import asyncio
from typing import NamedTuple

from aiohttp import web
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal


class BodyLimits(NamedTuple):
    """Limit a body: ``max_bytes``, and ``read_timeout_s`` seconds for all of it to arrive."""

    max_bytes: int = 1024 * 1024
    read_timeout_s: float = 15.0


async def read_body(request: web.Request, limits: BodyLimits) -> Result[bytes, Refusal]:
    """Return the whole body, or refuse one that is too large or too slow."""
    if (request.content_length or 0) > limits.max_bytes:
        return Err(_too_large(limits))
    try:
        async with asyncio.timeout(limits.read_timeout_s):
            return await _read(request, limits)
    except TimeoutError:
        # A caller that sends a byte now and then would hold the connection for ever.
        message = f"did not arrive within {limits.read_timeout_s:g} s"
        return Err(Refusal(ErrorKind.BAD_REQUEST, message, field="body"))


async def _read(request: web.Request, limits: BodyLimits) -> Result[bytes, Refusal]:
    parts: list[bytes] = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        # Chunked bodies do not tell their size beforehand.
        if size > limits.max_bytes:
            return Err(_too_large(limits))
        parts.append(part)
    return Ok(b"".join(parts))


def _too_large(limits: BodyLimits) -> Refusal:
    return Refusal(
        ErrorKind.TOO_LARGE,
        f"is over {limits.max_bytes} bytes",
        field="body",
        remedy="send a smaller body",
    )
