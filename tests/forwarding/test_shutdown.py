"""Requests of a host that stops."""

import asyncio
from typing import Any

import pytest
from aiohttp import web
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal, answer_for
from cranberrywall.routing import Demand
from cranberrywall.runtime import make_clock
from tests.forwarding.scripted import (
    ForwardingHarness,
    OrderedRouter,
    Script,
    answers,
    arrival,
    event,
    streams,
    unresponsive,
)

INPUT_TOKENS = 100
AT_ONCE_S = 0.1


class FullRouter(OrderedRouter):
    """Let each request wait for a target until it is cancelled."""

    async def acquire(self, demand: Demand, now: float) -> Result[Any, Refusal]:
        await asyncio.sleep(5.0)
        return Err(Refusal(ErrorKind.OVERLOADED))


def slow(seconds: float) -> Script:
    answer = answers()

    async def script(request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(seconds)
        return await answer(request)

    return script


def start_shutdown(harness: ForwardingHarness, seconds: float) -> None:
    """Let the host end its requests in so many seconds."""
    harness.forwarder.start_shutdown(make_clock().now() + seconds)


async def test_a_request_that_can_end_in_time_is_served() -> None:
    """Guards against refusals of requests that a stopping host can serve."""
    async with ForwardingHarness(goal_s=0.1) as harness:
        await harness.target("t-1", slow(0.2))
        serving = asyncio.ensure_future(harness.serve())
        await asyncio.sleep(0.05)
        start_shutdown(harness, 1.0)
        _, result = await serving
        assert result.is_ok()
        _, result = await harness.serve(arrival(request_id="id-2"))
        assert result.is_ok()


async def test_an_arrival_that_cannot_end_in_time_is_refused_at_once() -> None:
    """Guards against requests that a stopping host accepts and cuts; their route is slow."""
    async with ForwardingHarness(goal_s=0.1) as harness:
        await harness.target("t-1", slow(0.5))
        assert (await harness.serve())[1].is_ok()
        start_shutdown(harness, 0.4)
        started_at = make_clock().now()
        _, result = await harness.serve(arrival(request_id="id-2"))
        assert make_clock().now() - started_at < AT_ONCE_S
        assert result.err().kind is ErrorKind.DRAINING
        assert answer_for(result.err()).retry_after == 0.0
        assert len(harness.received) == 1


async def test_a_request_that_waits_is_refused_while_others_can_still_serve_it() -> None:
    """Guards against requests that wait for a target until the end of their host."""
    async with ForwardingHarness(goal_s=0.3) as harness:
        harness.forwarder._router = FullRouter()
        serving = asyncio.ensure_future(harness.serve())
        await asyncio.sleep(0.05)
        started_at = make_clock().now()
        start_shutdown(harness, 0.5)
        _, result = await serving
        assert 0.1 < make_clock().now() - started_at < 0.4
        assert result.err().kind is ErrorKind.DRAINING
        assert harness.spent == 0


@pytest.mark.parametrize(
    ("kind", "expected"),
    [("idempotent", ErrorKind.ANSWER_CUT), ("non_idempotent", ErrorKind.OUTCOME_UNKNOWN)],
)
async def test_a_call_in_progress_at_the_end_is_answered(kind: str, expected: ErrorKind) -> None:
    """Guards against calls that end with their connection, or are said not to have run."""
    async with ForwardingHarness(kind=kind) as harness:
        await harness.target("t-1", unresponsive)
        serving = asyncio.ensure_future(harness.serve())
        await asyncio.sleep(0.1)
        start_shutdown(harness, 0.3)
        _, result = await serving
        assert result.err().kind is expected
        await harness.forwarder.wait_idle()
        assert harness.spent == INPUT_TOKENS


async def test_a_stream_in_progress_at_the_end_is_cut_visibly() -> None:
    """Guards against a cut stream that looks complete."""
    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("t-1", streams(1, 2, holds=True))
        serving = asyncio.ensure_future(harness.serve())
        await asyncio.sleep(0.2)
        start_shutdown(harness, 0.3)
        reply, result = await serving
        assert result.is_err()
        assert reply.is_aborted
        assert not reply.is_complete


async def test_a_stream_is_resumed_after_the_latest_start() -> None:
    """Guards against a stream that is given up though another target could finish it."""
    async with ForwardingHarness(kind="stream", is_resumable=True, goal_s=0.5) as harness:
        await harness.target("t-1", streams(1, 2, drops=True, drops_after_s=0.3))
        await harness.target("t-2", streams(3, 4))
        serving = asyncio.ensure_future(harness.serve())
        await asyncio.sleep(0.1)
        start_shutdown(harness, 0.4)
        reply, result = await serving
        assert result.is_ok()
        assert reply.is_complete
        assert reply.data == b"".join(map(event, range(1, 5)))


async def test_a_failed_attempt_is_not_repeated_too_late() -> None:
    """Guards against a second attempt that the end of the host cuts."""

    async def fails_later(request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(0.3)
        return await answers(status=500)(request)

    async with ForwardingHarness(goal_s=0.3) as harness:
        await harness.target("t-1", fails_later)
        await harness.target("t-2", slow(1.0))
        serving = asyncio.ensure_future(harness.serve())
        await asyncio.sleep(0.05)
        start_shutdown(harness, 0.5)
        reply, result = await serving
        assert result == Ok(None)
        assert reply.status == 500
        assert [name for name, _ in harness.received] == ["t-1"]
