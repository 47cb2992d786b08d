"""Forward calls and streams to targets that fail in every way."""

import asyncio
from typing import Any

import pytest
from aiohttp import web
from result import Ok

from cranberrywall.errors import ErrorKind
from cranberrywall.forwarding._attempts import MOST_UNSENT
from tests.forwarding.scripted import (
    HeldReply,
    Scene,
    answers,
    arrival,
    breaks_off,
    event,
    silent,
    streams,
    without_length,
)


async def test_a_call_goes_on_unchanged_and_its_answer_comes_back_unchanged() -> None:
    async with Scene() as scene:
        await scene.target("a", answers(201, b"\x00whole", X_Server_Stamp="s"))
        reply, result = await scene.serve()
        assert result == Ok(None)
        assert (reply.status, reply.data, reply.is_whole) == (201, b"\x00whole", True)
        assert reply.headers["X-Server-Stamp"] == "s"
        [(_, headers)] = scene.seen
        assert headers["X-Expect-Instance"] == "a"
        assert headers["X-Tenant"] == "desk"
        assert "Authorization" not in headers
        assert 0 < int(headers["X-Deadline-Ms"]) <= 2000


async def test_a_call_that_may_be_repeated_goes_to_another_target() -> None:
    """The first target breaks off, which may be after it ran the call; the second answers."""
    async with Scene() as scene:
        await scene.target("a", breaks_off())
        await scene.target("b", answers())
        reply, _ = await scene.serve()
        assert reply.status == 200
        assert [name for name, _ in scene.seen] == ["a", "b"]
        assert scene.router.demands[1].retry


async def test_a_call_that_runs_at_most_once_is_never_sent_twice() -> None:
    """The target takes the call and breaks off. Whether it ran is not known.

    Sent again, a confirmation could be issued twice; refused as not run, the caller would send
    it again itself.
    """
    async with Scene(kind="non_idempotent") as scene:
        await scene.target("a", breaks_off())
        await scene.target("b", answers())
        reply, result = await scene.serve()
        assert not reply.has_started
        assert result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert len(scene.seen) == 1


@pytest.mark.parametrize(
    ("status", "headers"), [(503, {"X_Not_Run": "1"}), (421, {}), (429, {"X_Not_Run": "1"})]
)
async def test_a_call_that_its_target_did_not_run_goes_elsewhere(
    status: int, headers: dict[str, Any]
) -> None:
    """A full target, or another one at the address, says that it ran nothing."""
    async with Scene(kind="non_idempotent") as scene:
        await scene.target("a", answers(status, **headers))
        await scene.target("b", answers())
        reply, _ = await scene.serve()
        assert reply.status == 200
        assert scene.spent == 150


async def test_a_call_is_sent_to_no_more_targets_than_its_route_allows() -> None:
    async with Scene(attempts=2) as scene:
        for name in ("a", "b", "c"):
            await scene.target(name, answers(503, X_Not_Run="1"))
        _, result = await scene.serve()
        assert result.unwrap_err().kind is ErrorKind.NOT_RUN
        assert len(scene.seen) == 2
        assert scene.spent == 0


async def test_a_targets_own_failure_goes_to_the_caller_where_no_other_has_a_better_answer() -> (
    None
):
    async with Scene(attempts=2) as scene:
        await scene.target("a", answers(500, b"first"))
        await scene.target("b", answers(500, b"second"))
        reply, _ = await scene.serve()
        assert (reply.status, reply.data) == (500, b"second")


async def test_an_answer_to_another_request_is_not_passed_on() -> None:
    """A target answers twice, and the second answer stands where the next one is expected."""
    async with Scene() as scene:
        await scene.target("a", answers(200, b"another's", X_Request_Id="another"))
        await scene.target("b", answers())
        reply, _ = await scene.serve()
        assert reply.data == b"answer"


async def test_an_answer_that_ends_early_does_not_look_whole() -> None:
    async def abort(request: web.Request) -> web.StreamResponse:
        await request.read()
        headers = {"X-Request-Id": request.headers["X-Request-Id"], "Content-Length": "100"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(b"only a part")
        assert request.transport is not None
        request.transport.close()
        return response

    async with Scene(kind="non_idempotent") as scene:
        await scene.target("a", abort)
        reply, result = await scene.serve()
        assert not reply.has_started
        assert result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN


async def test_an_answer_without_length_whose_connection_is_reset_is_not_whole() -> None:
    """A clerk reads half of a maturity date and takes it for all.

    The target sends no length: its answer ends with the connection. It dies in the middle,
    and the connection is reset. Cause: the library reports any end of such a body alike.
    """
    async with Scene() as scene:
        await scene.target("a", without_length(b"half", is_reset=True))
        await scene.target("b", answers())
        reply, _ = await scene.serve()
        assert (reply.data, reply.is_whole) == (b"answer", True)
        assert [name for name, _ in scene.seen] == ["a", "b"]


async def test_an_answer_without_length_whose_connection_is_closed_is_whole() -> None:
    async with Scene() as scene:
        await scene.target("a", without_length(b"all", is_reset=False))
        reply, _ = await scene.serve()
        assert (reply.status, reply.data, reply.is_whole) == (200, b"all", True)


async def test_a_stream_without_length_whose_connection_is_reset_goes_on_elsewhere() -> None:
    async with Scene(kind="stream", is_resumable=True) as scene:
        await scene.target("a", without_length(event(1), is_reset=True))
        await scene.target("b", streams(2, 2))
        reply, _ = await scene.serve()
        assert (reply.data, reply.is_whole) == (event(1) + event(2), True)


async def test_a_stream_is_charged_for_its_input_and_what_was_delivered() -> None:
    async with Scene(kind="stream") as scene:
        await scene.target("a", streams(1, 5))
        reply, _ = await scene.serve()
        assert reply.data == b"".join(event(number) for number in range(1, 6))
        assert reply.is_whole
        assert scene.spent == 100 + 5 * 4


async def test_a_stream_that_breaks_off_goes_on_at_another_target() -> None:
    """A target is lost in the middle of an event. The caller sees one stream, without a gap,
    a repeated event or a part of one, and with the head of the first target."""
    async with Scene(kind="stream", is_resumable=True) as scene:
        await scene.target("a", streams(1, 3, b"id: 4\nda", breaks=True))
        await scene.target("b", streams(3, 6))
        reply, result = await scene.serve()
        assert result == Ok(None)
        assert reply.data == b"".join(event(number) for number in range(1, 7))
        assert reply.headers["X-Server-Stamp"] == "stamp-of-1"
        assert scene.seen[1][1]["Last-Event-Id"] == "3"
        assert scene.spent == 100 + 6 * 4


async def test_a_stream_that_may_not_be_resumed_is_cut_and_charged() -> None:
    async with Scene(kind="stream") as scene:
        await scene.target("a", streams(1, 3, breaks=True))
        await scene.target("b", streams(1, 6))
        reply, _ = await scene.serve()
        assert reply.data == event(1) + event(2) + event(3)
        assert reply.is_cut
        assert not reply.is_whole
        assert len(scene.seen) == 1
        assert scene.spent == 100 + 3 * 4


async def test_a_caller_that_leaves_frees_the_target_and_pays_for_what_ran() -> None:
    """A caller gives up while its stream runs; the target's connection ends at once."""
    begun, left = asyncio.Event(), asyncio.Event()

    async def endless(request: web.Request) -> web.StreamResponse:
        await request.read()
        response = web.StreamResponse(headers={"X-Request-Id": request.headers["X-Request-Id"]})
        await response.prepare(request)
        try:
            for number in range(1, 1000):
                await response.write(event(number))
                begun.set()
                await asyncio.sleep(0.01)
        except ConnectionError:
            left.set()
        return response

    async with Scene(kind="stream") as scene:
        await scene.target("a", endless)
        task = asyncio.ensure_future(scene.serve())
        # Given up before it reached the target, the stream would have nothing to free.
        async with asyncio.timeout(5.0):
            await begun.wait()
        task.cancel()
        async with asyncio.timeout(0.5):
            await left.wait()
        await scene.forwarder.wait_idle()
        assert scene.spent >= 100


async def test_a_request_whose_target_was_silent_costs_its_input() -> None:
    """A workspace gets more than its total.

    A target begins to run a request and falls silent before its answer has left it. Counted as
    nothing, what it ran is spent a second time.
    """
    async with Scene(timeout_s=0.2) as scene:
        await scene.target("a", silent)
        _, result = await scene.serve()
        assert result.is_err()
        assert scene.spent == 100


async def test_a_request_whose_answer_was_lost_costs_its_input_once() -> None:
    """The target runs the request, and its answer is lost on the way.

    Counted as nothing, a workspace got more than its total allows.
    """
    async with Scene() as scene:
        await scene.target("a", breaks_off())
        await scene.target("b", breaks_off())
        _, result = await scene.serve()
        assert result.is_err()
        assert scene.spent == 100
    async with Scene() as scene:
        await scene.target("a", breaks_off())
        await scene.target("b", answers())
        await scene.serve()
        assert scene.spent == 150


async def test_a_targets_own_failure_costs_the_input() -> None:
    async with Scene(attempts=1) as scene:
        await scene.target("a", answers(500))
        await scene.serve()
        assert scene.spent == 100


async def test_a_caller_that_leaves_before_any_answer_pays_the_input() -> None:
    """The target may have begun; that its first token was on its way is known to nobody."""
    async with Scene(kind="stream") as scene:
        await scene.target("a", silent)
        task = asyncio.ensure_future(scene.serve())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait([task])
        await scene.forwarder.wait_idle()
        assert scene.spent == 100


async def test_a_late_target_is_given_up_at_the_routes_timeout() -> None:
    async with Scene(timeout_s=0.2) as scene:
        await scene.target("a", silent)
        _, result = await scene.serve()
        assert result.unwrap_err().kind is ErrorKind.TIMEOUT


async def test_a_request_beyond_the_budget_is_refused_before_anything_is_sent() -> None:
    async with Scene(kind="stream") as scene:
        await scene.target("a", streams(1, 2))
        scene.money.free = 149
        _, result = await scene.serve()
        assert result.unwrap_err().kind is ErrorKind.BUDGET_EXHAUSTED
        assert scene.seen == []


async def test_unknown_keys_and_routes_are_refused_for_good_only_by_a_host_that_is_current() -> (
    None
):
    """A host that is cut off may lack a key or a route that was added since."""
    async with Scene() as scene:
        for request, kind in (
            (arrival(key="unknown"), ErrorKind.UNAUTHENTICATED),
            (arrival(key=None), ErrorKind.UNAUTHENTICATED),
            (arrival(path="/y/"), ErrorKind.NOT_FOUND),
            (arrival(host="b.example"), ErrorKind.NOT_FOUND),
        ):
            _, result = await scene.serve(request)
            assert result.unwrap_err().kind is kind
            stale = await scene.forwarder.serve(request, HeldReply(), False)
            assert stale.unwrap_err().kind is ErrorKind.NOT_READY


async def test_a_target_that_takes_no_connection_uses_up_no_attempt() -> None:
    """A target ended a moment ago, and its route allows one attempt. Another target is well.

    Nothing was sent: the caller would else be refused for a target that was merely gone. It is
    no retry either, and adds nothing to what retries may be made.
    """
    async with Scene(kind="non_idempotent", attempts=1) as scene:
        scene.router.url_by_id["a"] = "http://127.0.0.1:9"
        await scene.target("b", answers())
        reply, _ = await scene.serve()
        assert reply.status == 200
        second = scene.router.demands[1]
        assert (second.retry, second.is_resend) == (False, True)


async def test_a_host_whose_every_connection_fails_gives_up() -> None:
    """All targets seem gone: after a few the request is refused, as not run."""
    async with Scene(attempts=1) as scene:
        for number in range(10):
            scene.router.url_by_id[f"t{number}"] = "http://127.0.0.1:9"
        _, result = await scene.serve()
        assert result.unwrap_err().kind is ErrorKind.NOT_RUN
        assert len(scene.router.demands) == 1 + MOST_UNSENT
