"""Answers of targets that are not answers of the protocol."""

import asyncio

import pytest
import uvloop
from aiohttp import web
from result import Ok

from cranberrywall.errors import ErrorKind
from cranberrywall.routing import OutcomeKind
from tests.forwarding.scripted import (
    ForwardingHarness,
    RecordingReply,
    answers,
    arrival,
    event,
    streams,
    without_length,
)

INVALID_STATUSES = ("000", "001", "099", "600", "999")
UPLOAD = b"x" * 4_000_000


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_an_invalid_status_of_a_call_that_may_be_repeated_is_no_answer(status: str) -> None:
    """Guards against a caller that gets status 000 as an answer."""
    async with ForwardingHarness() as harness:
        await harness.target("a", without_length(b"odd", is_reset=False, status=status))
        await harness.target("b", answers())
        reply, result = await harness.serve()
        assert result == Ok(None)
        assert (reply.status, reply.data) == (200, b"answer")
        assert harness.router.outcomes[0].kind is OutcomeKind.FAILED_AFTER


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_an_invalid_status_of_a_call_that_runs_once_is_an_unknown_outcome(
    status: str,
) -> None:
    """Guards against a call that runs twice, or is refused as not run, after status 000."""
    async with ForwardingHarness(kind="non_idempotent") as harness:
        await harness.target("a", without_length(b"odd", is_reset=False, status=status))
        await harness.target("b", answers())
        reply, result = await harness.serve()
        assert result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert not reply.has_started
        assert [name for name, _ in harness.received] == ["a"]


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_a_stream_with_an_invalid_status_goes_on_at_another_target(status: str) -> None:
    """Guards against a stream that begins with status 000."""
    async with ForwardingHarness(kind="stream", is_resumable=True) as harness:
        await harness.target("a", without_length(event(1), is_reset=False, status=status))
        await harness.target("b", streams(1, 2))
        reply, _ = await harness.serve()
        assert (reply.status, reply.data) == (200, event(1) + event(2))
        assert reply.is_complete


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_a_status_that_is_invalid_after_an_informational_one_is_no_answer(
    status: str,
) -> None:
    """Guards against a check of the first head only."""

    async def continues(request: web.Request) -> web.StreamResponse:
        assert isinstance(request.transport, asyncio.Transport)
        request.transport.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        return await without_length(b"odd", is_reset=False, status=status)(request)

    async with ForwardingHarness() as harness:
        await harness.target("a", continues)
        await harness.target("b", answers())
        reply, _ = await harness.serve()
        assert (reply.status, reply.data) == (200, b"answer")


async def cut_upload(kind: str, body: bytes, reads_upload: bool) -> RecordingReply:
    """Return what a caller gets of an answer that is reset around the end of an upload."""
    async with ForwardingHarness(kind=kind) as harness:
        odd = without_length(body, is_reset=True, reads_upload=reads_upload)
        await harness.target("a", odd)
        reply, _ = await harness.serve(arrival(body=UPLOAD))
        return reply


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
@pytest.mark.parametrize("reads_upload", [False, True])
@pytest.mark.parametrize("on_uvloop", [False, True])
def test_an_answer_that_is_reset_around_an_upload_is_never_complete(
    kind: str, reads_upload: bool, on_uvloop: bool
) -> None:
    """Guards against a part of an answer that a caller takes for the whole one."""
    make_loop = uvloop.new_event_loop if on_uvloop else asyncio.new_event_loop
    with asyncio.Runner(loop_factory=make_loop) as runner:
        for body in (b"", event(1), event(1) + b"id: 2\nda", b"part" * 5_000):
            reply = runner.run(cut_upload(kind, body, reads_upload))
            assert not reply.is_complete, body[:20]
