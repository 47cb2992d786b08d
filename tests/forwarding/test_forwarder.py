"""Forwarding of calls and streams to targets that fail in different ways."""

import asyncio
from typing import Any

import pytest
from aiohttp import web
from result import Ok

from cranberrywall.errors import ErrorKind
from cranberrywall.forwarding._attempts import MAX_UNSENT_ATTEMPTS
from cranberrywall.quarantine import Run, RunEnd
from cranberrywall.routing import OutcomeKind
from tests.forwarding.scripted import (
    ForwardingHarness,
    RecordingReply,
    answers,
    arrival,
    drops_connection,
    event,
    streams,
    unresponsive,
    without_length,
)


async def test_a_call_goes_on_unchanged_and_its_answer_comes_back_unchanged() -> None:
    async with ForwardingHarness() as harness:
        await harness.target("a", answers(201, b"\x00whole", X_Server_Stamp="s"))
        reply, result = await harness.serve()
        assert result == Ok(None)
        assert (reply.status, reply.data, reply.is_complete) == (201, b"\x00whole", True)
        assert reply.headers["X-Server-Stamp"] == "s"
        [(_, headers)] = harness.received
        assert headers["X-Expect-Instance"] == "a"
        assert headers["X-Tenant"] == "desk"
        assert "Authorization" not in headers
        assert 0 < int(headers["X-Deadline-Ms"]) <= 2000


async def test_a_call_that_may_be_repeated_goes_to_another_target() -> None:
    """The first target drops the connection, maybe after it ran the call; the second answers."""
    async with ForwardingHarness() as harness:
        await harness.target("a", drops_connection())
        await harness.target("b", answers())
        reply, _ = await harness.serve()
        assert reply.status == 200
        assert [name for name, _ in harness.received] == ["a", "b"]
        assert harness.router.demands[1].retry


async def test_a_call_that_runs_at_most_once_is_never_sent_twice() -> None:
    """A target accepts a call and drops the connection, so it is unknown whether the call ran.

    If the forwarder sent it again, a confirmation could be issued twice. If it refused the call
    as not run, the caller would send it again.
    """
    async with ForwardingHarness(kind="non_idempotent") as harness:
        await harness.target("a", drops_connection())
        await harness.target("b", answers())
        reply, result = await harness.serve()
        assert not reply.has_started
        assert result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert len(harness.received) == 1


@pytest.mark.parametrize(
    ("status", "headers"), [(503, {"X_Not_Run": "1"}), (421, {}), (429, {"X_Not_Run": "1"})]
)
async def test_a_call_that_its_target_did_not_run_goes_elsewhere(
    status: int, headers: dict[str, Any]
) -> None:
    """A full target, or another target at the address, reports that it ran nothing."""
    async with ForwardingHarness(kind="non_idempotent") as harness:
        await harness.target("a", answers(status, **headers))
        await harness.target("b", answers())
        reply, _ = await harness.serve()
        assert reply.status == 200
        assert harness.spent == 150


async def test_a_call_is_sent_to_no_more_targets_than_its_route_allows() -> None:
    async with ForwardingHarness(attempts=2) as harness:
        for name in ("a", "b", "c"):
            await harness.target(name, answers(503, X_Not_Run="1"))
        _, result = await harness.serve()
        assert result.unwrap_err().kind is ErrorKind.NOT_RUN
        assert len(harness.received) == 2
        assert harness.spent == 0


async def test_a_targets_own_failure_goes_to_the_caller_if_no_other_has_a_better_answer() -> None:
    async with ForwardingHarness(attempts=2) as harness:
        await harness.target("a", answers(500, b"first"))
        await harness.target("b", answers(500, b"second"))
        reply, _ = await harness.serve()
        assert (reply.status, reply.data) == (500, b"second")


@pytest.mark.parametrize("kind", ["non_idempotent", "stream"])
@pytest.mark.parametrize("status", [408, 429, 503])
async def test_a_request_that_may_have_run_is_not_answered_as_if_it_had_not(
    status: int, kind: str
) -> None:
    """Guards against orders that run twice: a target ran one, failed, and answered 503."""
    async with ForwardingHarness(kind=kind) as harness:
        await harness.target("a", answers(status))
        await harness.target("b", answers())
        reply, result = await harness.serve()
        assert not reply.has_started
        assert result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert len(harness.received) == 1


async def test_other_failures_of_a_request_that_may_have_run_are_not_changed() -> None:
    async with ForwardingHarness(kind="non_idempotent") as harness:
        await harness.target("a", answers(500, b"failed"))
        reply, _ = await harness.serve()
        assert (reply.status, reply.data) == (500, b"failed")


async def test_an_answer_to_another_request_is_not_passed_on() -> None:
    """A target sends an answer twice, and the copy arrives in place of the next answer."""
    async with ForwardingHarness() as harness:
        await harness.target("a", answers(200, b"another's", X_Request_Id="another"))
        await harness.target("b", answers())
        reply, _ = await harness.serve()
        assert reply.data == b"answer"


async def test_an_answer_that_ends_early_is_not_delivered_as_complete() -> None:
    async def abort(request: web.Request) -> web.StreamResponse:
        await request.read()
        headers = {"X-Request-Id": request.headers["X-Request-Id"], "Content-Length": "100"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(b"only a part")
        assert request.transport is not None
        request.transport.close()
        return response

    async with ForwardingHarness(kind="non_idempotent") as harness:
        await harness.target("a", abort)
        reply, result = await harness.serve()
        assert not reply.has_started
        assert result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN


async def test_an_answer_without_length_whose_connection_is_reset_is_not_complete() -> None:
    """A truncated answer is delivered as complete.

    The target sends no length, so its answer ends with the connection. The target dies while it
    sends the body, and the connection is reset. aiohttp reports every end of such a body alike.
    """
    async with ForwardingHarness() as harness:
        await harness.target("a", without_length(b"half", is_reset=True))
        await harness.target("b", answers())
        reply, _ = await harness.serve()
        assert (reply.data, reply.is_complete) == (b"answer", True)
        assert [name for name, _ in harness.received] == ["a", "b"]


async def test_an_answer_without_length_whose_connection_is_closed_is_complete() -> None:
    async with ForwardingHarness() as harness:
        await harness.target("a", without_length(b"all", is_reset=False))
        reply, _ = await harness.serve()
        assert (reply.status, reply.data, reply.is_complete) == (200, b"all", True)


async def test_a_stream_without_length_whose_connection_is_reset_goes_on_elsewhere() -> None:
    async with ForwardingHarness(kind="stream", is_resumable=True) as harness:
        await harness.target("a", without_length(event(1), is_reset=True))
        await harness.target("b", streams(2, 2))
        reply, _ = await harness.serve()
        assert (reply.data, reply.is_complete) == (event(1) + event(2), True)


async def test_a_stream_without_length_that_closes_within_an_event_goes_on_elsewhere() -> None:
    """Guards against a piece of an event that is sent as one, and a cut stream that looks whole."""
    async with ForwardingHarness(kind="stream", is_resumable=True) as harness:
        await harness.target("a", without_length(event(1) + b"id: 2\nda", is_reset=False))
        await harness.target("b", streams(2, 2))
        reply, _ = await harness.serve()
        assert (reply.data, reply.is_complete) == (event(1) + event(2), True)
        assert [outcome.kind for outcome in harness.router.outcomes] == [
            OutcomeKind.FAILED_AFTER,
            OutcomeKind.ANSWERED,
        ]


async def test_a_stream_that_closes_within_an_event_and_may_not_be_resumed_is_cut() -> None:
    """Guards against a stream that is billed and ended as whole without its last event."""
    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("a", without_length(event(1) + b"id: 2\nda", is_reset=False))
        reply, _ = await harness.serve()
        assert (reply.data, reply.is_complete, reply.is_aborted) == (event(1), False, True)
        assert harness.spent == 100 + 4


async def test_whole_streams_without_length_arrive_whole() -> None:
    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("a", without_length(event(1) + event(2), is_reset=False))
        reply, _ = await harness.serve()
        assert (reply.data, reply.is_complete) == (event(1) + event(2), True)


async def test_a_stream_is_charged_for_its_input_and_what_was_delivered() -> None:
    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("a", streams(1, 5))
        reply, _ = await harness.serve()
        assert reply.data == b"".join(event(number) for number in range(1, 6))
        assert reply.is_complete
        assert harness.spent == 100 + 5 * 4


async def test_a_stream_that_breaks_off_goes_on_at_another_target() -> None:
    """A target is lost in the middle of an event.

    The caller receives one stream with the head of the first target, without missing, repeated
    or incomplete events.
    """
    async with ForwardingHarness(kind="stream", is_resumable=True) as harness:
        await harness.target("a", streams(1, 3, b"id: 4\nda", drops=True))
        await harness.target("b", streams(3, 6))
        reply, result = await harness.serve()
        assert result == Ok(None)
        assert reply.data == b"".join(event(number) for number in range(1, 7))
        assert reply.headers["X-Server-Stamp"] == "stamp-of-1"
        assert harness.received[1][1]["Last-Event-Id"] == "3"
        assert harness.spent == 100 + 6 * 4


async def test_a_stream_that_may_not_be_resumed_is_truncated_and_charged() -> None:
    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("a", streams(1, 3, drops=True))
        await harness.target("b", streams(1, 6))
        reply, _ = await harness.serve()
        assert reply.data == event(1) + event(2) + event(3)
        assert reply.is_aborted
        assert not reply.is_complete
        assert len(harness.received) == 1
        assert harness.spent == 100 + 3 * 4


async def test_a_caller_that_leaves_frees_the_target_and_pays_for_what_ran() -> None:
    """A caller disconnects while its stream runs; the target's connection closes immediately."""
    streaming, disconnected = asyncio.Event(), asyncio.Event()

    async def endless(request: web.Request) -> web.StreamResponse:
        await request.read()
        response = web.StreamResponse(headers={"X-Request-Id": request.headers["X-Request-Id"]})
        await response.prepare(request)
        try:
            for number in range(1, 1000):
                await response.write(event(number))
                streaming.set()
                await asyncio.sleep(0.01)
        except ConnectionError:
            disconnected.set()
        return response

    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("a", endless)
        task = asyncio.ensure_future(harness.serve())
        # If the task were cancelled before the request reached the target, there would be no
        # connection to close.
        async with asyncio.timeout(5.0):
            await streaming.wait()
        task.cancel()
        async with asyncio.timeout(0.5):
            await disconnected.wait()
        await harness.forwarder.wait_idle()
        assert harness.spent >= 100


async def test_a_request_whose_target_was_unresponsive_costs_its_input() -> None:
    """A workspace spends more than its total.

    A target starts to run a request and becomes unresponsive before it answers. If the request
    cost nothing, the tokens that it used would be spent a second time.
    """
    async with ForwardingHarness(timeout_s=0.2) as harness:
        await harness.target("a", unresponsive)
        _, result = await harness.serve()
        assert result.is_err()
        assert harness.spent == 100


async def test_a_request_whose_answer_was_lost_costs_its_input_once() -> None:
    """A workspace spends more than its total.

    The target runs the request, and its answer is lost in transit. If the request cost nothing,
    the tokens that it used would be spent a second time.
    """
    async with ForwardingHarness() as harness:
        await harness.target("a", drops_connection())
        await harness.target("b", drops_connection())
        _, result = await harness.serve()
        assert result.is_err()
        assert harness.spent == 100
    async with ForwardingHarness() as harness:
        await harness.target("a", drops_connection())
        await harness.target("b", answers())
        await harness.serve()
        assert harness.spent == 150


@pytest.mark.parametrize("is_resumable", [False, True])
@pytest.mark.parametrize("body", [None, b""])
async def test_a_stream_that_broke_before_its_first_event_costs_nothing(
    is_resumable: bool, body: bytes | None
) -> None:
    """Guards against refusals because of tokens that were not delivered."""
    script = drops_connection() if body is None else without_length(body, is_reset=True)
    async with ForwardingHarness(kind="stream", is_resumable=is_resumable) as harness:
        await harness.target("a", script)
        await harness.target("b", script)
        reply, _ = await harness.serve()
        assert reply.data == b""
        assert not reply.is_complete
        assert harness.spent == 0


async def test_a_stream_that_broke_before_its_first_event_costs_its_input_once_it_goes_on() -> None:
    """Guards against a workspace that spends more than its total."""
    async with ForwardingHarness(kind="stream", is_resumable=True) as harness:
        await harness.target("a", drops_connection())
        await harness.target("b", streams(1, 3))
        reply, _ = await harness.serve()
        assert reply.is_complete
        assert harness.spent == 100 + 3 * 4


async def test_a_stream_that_broke_within_its_first_event_costs_its_input() -> None:
    """Guards against a workspace that spends more than its total: a token was made."""
    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("a", without_length(b"id: 1\nda", is_reset=True))
        await harness.serve()
        assert harness.spent == 100


async def test_a_stream_with_an_invalid_head_costs_its_input() -> None:
    """Guards against a workspace that spends more than its total: the target may have run it."""
    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("a", without_length(b"odd", is_reset=False, status="000"))
        await harness.serve()
        assert harness.spent == 100


async def test_a_targets_own_failure_costs_the_input() -> None:
    async with ForwardingHarness(attempts=1) as harness:
        await harness.target("a", answers(500))
        await harness.serve()
        assert harness.spent == 100


async def test_a_caller_that_leaves_before_any_answer_pays_the_input() -> None:
    """The target may have started; this host cannot detect a token that is still in flight."""
    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("a", unresponsive)
        task = asyncio.ensure_future(harness.serve())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait([task])
        await harness.forwarder.wait_idle()
        assert harness.spent == 100


async def test_a_late_target_is_abandoned_at_the_routes_timeout() -> None:
    async with ForwardingHarness(timeout_s=0.2) as harness:
        await harness.target("a", unresponsive)
        _, result = await harness.serve()
        assert result.unwrap_err().kind is ErrorKind.TIMEOUT


async def test_a_request_beyond_the_budget_is_refused_before_anything_is_sent() -> None:
    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("a", streams(1, 2))
        harness.allotments.free = 149
        _, result = await harness.serve()
        assert result.unwrap_err().kind is ErrorKind.BUDGET_EXHAUSTED
        assert harness.received == []


async def test_unknown_keys_and_routes_are_refused_for_good_only_by_a_host_that_is_current() -> (
    None
):
    """An isolated host may lack a key or a route that was added recently."""
    async with ForwardingHarness() as harness:
        for request, kind in (
            (arrival(key="unknown"), ErrorKind.UNAUTHENTICATED),
            (arrival(key=None), ErrorKind.UNAUTHENTICATED),
            (arrival(path="/y/"), ErrorKind.NOT_FOUND),
            (arrival(host="b.example"), ErrorKind.NOT_FOUND),
        ):
            _, result = await harness.serve(request)
            assert result.unwrap_err().kind is kind
            stale = await harness.forwarder.serve(request, RecordingReply(), False)
            assert stale.unwrap_err().kind is ErrorKind.NOT_READY


async def test_a_target_that_takes_no_connection_uses_up_no_attempt() -> None:
    """A target has just ended, and the route allows one attempt. Another target is healthy.

    Nothing was sent to the first target. If this attempt counted, the request would be refused
    although a target can serve it. The second attempt is not a retry and does not increase the
    number of retries that are allowed.
    """
    async with ForwardingHarness(kind="non_idempotent", attempts=1) as harness:
        harness.router.url_by_id["a"] = "http://127.0.0.1:9"
        await harness.target("b", answers())
        reply, _ = await harness.serve()
        assert reply.status == 200
        second = harness.router.demands[1]
        assert (second.retry, second.is_resend) == (False, True)


async def test_a_host_whose_every_connection_fails_stops_trying() -> None:
    """No target accepts a connection: after a few attempts the request is refused as not run."""
    async with ForwardingHarness(attempts=1) as harness:
        for number in range(10):
            harness.router.url_by_id[f"t{number}"] = "http://127.0.0.1:9"
        _, result = await harness.serve()
        assert result.unwrap_err().kind is ErrorKind.NOT_RUN
        assert len(harness.router.demands) == 1 + MAX_UNSENT_ATTEMPTS


@pytest.mark.parametrize(("status", "end"), [(200, RunEnd.WHOLE), (404, RunEnd.REFUSED)])
async def test_an_answer_with_an_error_of_the_caller_is_recorded_as_such(
    status: int, end: RunEnd
) -> None:
    """Guards against a refusal that proves the parts of its prompt harmless."""
    ended: list[Run] = []
    async with ForwardingHarness() as harness:
        harness.quarantine.tracker.on_complete = ended.append
        await harness.target("a", answers(status))
        await harness.serve()
    assert [run.end for run in ended] == [end]
