"""Reading of whole bodies without copies that outlive an evicted request."""

from aiohttp import web


async def read_whole_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Return the body of a request.

    Raise ``HTTPRequestEntityTooLarge`` if it is over ``max_bytes``, and ``RequestEvictedError`` if
    the request is evicted. What was read is freed then at once: the error's traceback refers to
    this call for as long as the request.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > max_bytes:
                raise web.HTTPRequestEntityTooLarge(max_size=max_bytes, actual_size=size)
            chunks.append(chunk)
        return b"".join(chunks)
    finally:
        chunks.clear()
