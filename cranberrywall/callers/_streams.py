"""Sending of a run's frames to a caller as server-sent events, at the caller's speed."""

import asyncio

from aiohttp import web

from cranberrywall.callers._answers import answer_headers, error_frame, error_response
from cranberrywall.errors import ErrorKind, Ran, Refusal
from cranberrywall.requests import DONE_FRAME, Run, RunState

_STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}

_SMALL_WRITE_BYTES = 16 * 1024


async def stream_run(request: web.Request, run: Run, write_timeout_s: float) -> web.StreamResponse:
    """Send the run's frames, then the end mark or an explicit error.

    The connection of a caller that accepts no data for ``write_timeout_s`` seconds is closed. A
    slow caller does not occupy the target, because the run reads the target's answer at its own
    speed.
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
        # An orderly close would wait for the caller to read the remaining data.
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
    # If the write buffer is empty, the caller has accepted all data so far and the write does not
    # wait. A timeout is set only if the write may wait, because it costs as much as the write.
    is_drained = transport is not None and transport.get_write_buffer_size() == 0
    if is_drained and len(data) < _SMALL_WRITE_BYTES:
        await response.write(data)
        return
    async with asyncio.timeout(write_timeout_s):
        await response.write(data)


def _last_frame(run: Run) -> bytes:
    if run.state is RunState.ANSWERED:
        return DONE_FRAME
    return error_frame(run.refusal or Refusal(ErrorKind.INTERNAL))
