"""Write a run's frames to a caller as server-sent events, at the caller's own speed."""

import asyncio

from aiohttp import web

from cranberrywall.callers._answers import answer_headers, error_frame, error_response
from cranberrywall.errors import ErrorKind, Ran, Refusal
from cranberrywall.requests import DONE_FRAME, Run, RunState

_STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}

_SMALL_WRITE_BYTES = 16 * 1024


async def stream_run(request: web.Request, run: Run, write_timeout_s: float) -> web.StreamResponse:
    """Send the run's frames, then the end mark or an explicit error.

    A caller that takes nothing for ``write_timeout_s`` seconds is cut off. Its run has long left
    the target: the run reads the target at its own speed.
    """
    await run.wait_for_frame(0)
    if run.released == 0 and run.refusal is not None:
        return error_response(run.refusal, run.name.request_id)
    headers = {**_STREAM_HEADERS, **answer_headers(run.name.request_id, Ran.YES)}
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    try:
        await _send(response, request.transport, run, write_timeout_s)
    except TimeoutError:
        # A gentle close would wait for the caller to read what it does not read.
        if request.transport is not None:
            request.transport.abort()
    return response


async def _send(
    response: web.StreamResponse,
    transport: asyncio.Transport | None,
    run: Run,
    write_timeout_s: float,
) -> None:
    sent = 0
    while True:
        await run.wait_for_frame(sent)
        ended = run.state is not RunState.RUNNING
        frames = run.frames[sent : run.released]
        sent += len(frames)
        if ended and sent == run.released:
            frames.append(_last_frame(run))
        await _write(response, transport, b"".join(frames), write_timeout_s)
        if ended:
            break
    async with asyncio.timeout(write_timeout_s):
        await response.write_eof()


async def _write(
    response: web.StreamResponse,
    transport: asyncio.Transport | None,
    data: bytes,
    write_timeout_s: float,
) -> None:
    # A caller that keeps up has taken all that was written before. Only for others,
    # where the write may wait, is a limit set: it costs as much as the write.
    keeps_up = transport is not None and transport.get_write_buffer_size() == 0
    if keeps_up and len(data) < _SMALL_WRITE_BYTES:
        await response.write(data)
        return
    async with asyncio.timeout(write_timeout_s):
        await response.write(data)


def _last_frame(run: Run) -> bytes:
    if run.state is RunState.ANSWERED:
        return DONE_FRAME
    return error_frame(run.refusal or Refusal(ErrorKind.INTERNAL))
