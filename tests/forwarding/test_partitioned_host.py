"""Requests at a host that is partitioned from all targets, beside neighbours that are not."""

import asyncio
from collections import Counter

import pytest
from aiohttp import web

from cranberrywall.errors import ErrorKind
from cranberrywall.forwarding import Generation
from tests.forwarding.partitioned import (
    TARGETS,
    FreezableLink,
    PartitionedPair,
    hanging_url,
    resetting_url,
)
from tests.forwarding.scripted import RecordingReply, arrival, event, streams, without_length

REQUESTS = 20
MIN_SERVED = 19
"""Number of requests at the partitioned host that must be served: 0.95 of them."""

MAX_LOST = 2
"""Number of requests that may be lost on connections that break after they are established."""

MAX_SECONDS = 0.5
"""Time in which a request must be served although its first connection hangs."""


async def serve_many(pair: PartitionedPair, count: int = REQUESTS) -> int:
    served = 0
    for number in range(count):
        request = arrival(request_id=f"id-{number}", generation=Generation(10, 5))
        reply, result = await pair.partitioned.serve(request)
        served += result.is_ok() and reply.status == 200
    return served


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_requests_at_a_host_partitioned_from_all_targets_are_served(kind: str) -> None:
    """Guards against refusing callers although a neighbour could connect to the targets."""
    async with PartitionedPair(kind=kind) as pair:
        await pair.start_targets()
        pair.partition()
        served = await serve_many(pair)
        assert served >= MIN_SERVED
        assert len(pair.neighbour.received) == served


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_requests_are_served_in_time_although_connections_hang(kind: str) -> None:
    """Guards against waiting for a connection that gets no answer until the deadline."""
    with hanging_url() as url:
        async with PartitionedPair(kind=kind) as pair:
            await pair.start_targets()
            pair.partition(url)
            started_at = asyncio.get_running_loop().time()
            assert await serve_many(pair) >= MIN_SERVED
            assert asyncio.get_running_loop().time() - started_at < MAX_SECONDS * REQUESTS / 10


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_connections_that_break_after_they_are_established_lose_few_requests(
    kind: str,
) -> None:
    """Guards against taking an established connection for proof that a target is reached."""
    async with resetting_url() as url, PartitionedPair(kind=kind) as pair:
        await pair.start_targets()
        pair.partition(url)
        count = 100
        served = await serve_many(pair, count)
        assert served >= count - MAX_LOST
        assert max(Counter(pair.received).values()) == 1


async def test_a_request_that_reached_no_target_is_refused_and_not_of_unknown_outcome() -> None:
    """Guards against forbidding a repeat of a request whose connection was never established."""
    with hanging_url() as url:
        async with PartitionedPair(kind="non_idempotent", timeout_s=0.3) as pair:
            await pair.start_targets()
            pair.partition(url)
            pair.switchboard.down.update(pair.tunnels_by_host)
            _, result = await pair.partitioned.serve(arrival(max_wait_s=0.3))
            assert result.unwrap_err().kind is ErrorKind.NOT_RUN
            assert not pair.received


async def test_open_connections_are_used_while_new_ones_are_refused() -> None:
    """Guards against giving up connections that work, and those of idempotent requests."""
    async with PartitionedPair() as pair:
        await pair.start_targets()
        assert await serve_many(pair, 1) == 1
        await pair.neighbour.stop_listening(TARGETS[0])
        assert await serve_many(pair) == REQUESTS
        served_by = [name for name, _ in pair.neighbour.received]
        assert served_by == [TARGETS[0]] * (REQUESTS + 1)


async def test_a_request_on_a_connection_that_hangs_goes_on_elsewhere() -> None:
    """Guards against requests in progress that wait on a lost connection for their deadline."""
    held = asyncio.Event()

    async def slow_once(request: web.Request) -> web.StreamResponse:
        await request.read()
        if request.headers["X-Request-Id"] == "id-held" and not held.is_set():
            held.set()
            await asyncio.sleep(0.1)
        return web.Response(headers={"X-Request-Id": request.headers["X-Request-Id"]})

    with hanging_url() as url:
        async with PartitionedPair(timeout_s=8.0, attempts=3) as pair:
            await pair.start_targets(slow_once)
            link = FreezableLink(pair.partitioned.router.url_by_id[TARGETS[0]])
            pair.use_urls({TARGETS[0]: await link.start()})
            request = arrival(request_id="id-held", max_wait_s=8.0)
            serving = asyncio.create_task(pair.partitioned.serve(request))
            await held.wait()
            link.freeze()
            pair.partition(url)
            for number in range(4):
                await pair.partitioned.serve(arrival(request_id=f"id-{number}"))
                await asyncio.sleep(0.3)
            async with asyncio.timeout(1.0):
                reply, result = await serving
            link.close()
            assert result.is_ok()
            assert reply.status == 200


async def test_a_host_connects_directly_again_once_it_can() -> None:
    """Guards against requests that take the way through a neighbour for ever."""
    async with PartitionedPair(kind="non_idempotent") as pair:
        await pair.start_targets()
        pair.partition()
        await serve_many(pair)
        assert pair.is_bypassed(TARGETS[0])
        pair.heal()
        await asyncio.sleep(0.3)
        await serve_many(pair)
        assert not pair.is_bypassed(TARGETS[0])
        opened = sum(tunnels.state()["opened"] for tunnels in pair.tunnels_by_host.values())
        await serve_many(pair)
        assert opened == sum(tunnels.state()["opened"] for tunnels in pair.tunnels_by_host.values())


async def test_a_stream_keeps_the_order_of_its_events_through_a_neighbour() -> None:
    """Guards against events that are lost, doubled or joined on the way through a neighbour."""
    async with PartitionedPair(kind="stream", is_resumable=True) as pair:
        await pair.start_targets(streams(1, 200))
        pair.partition()
        reply, result = await pair.partitioned.serve()
        assert result.is_ok()
        assert reply.data == b"".join(event(number) for number in range(1, 201))


async def test_a_stream_goes_on_elsewhere_when_the_neighbour_that_carries_it_is_lost() -> None:
    """Guards against streams that end with the neighbour that carries them."""
    async with PartitionedPair(kind="stream", is_resumable=True) as pair:
        await pair.start_targets(streams(1, 3, holds=True), streams(4, 6))
        pair.partition()
        serving = asyncio.create_task(pair.partitioned.serve())
        await asyncio.sleep(0.2)
        assert pair.carried == 1
        for tunnels in pair.tunnels_by_host.values():
            tunnels.close()
        reply, result = await serving
        assert result.is_ok()
        assert reply.data == b"".join(event(number) for number in range(1, 7))


async def test_a_call_that_may_run_once_is_not_repeated_when_its_neighbour_is_lost() -> None:
    """Guards against running a call twice because the answer was lost at a neighbour."""
    started = asyncio.Event()

    async def slow(request: web.Request) -> web.StreamResponse:
        started.set()
        await asyncio.sleep(5.0)
        return web.Response()

    async with PartitionedPair(kind="non_idempotent") as pair:
        await pair.start_targets(slow)
        pair.partition()
        serving = asyncio.create_task(pair.partitioned.serve())
        await started.wait()
        for tunnels in pair.tunnels_by_host.values():
            tunnels.close()
        _, result = await serving
        assert result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert len(pair.received) == 1


async def test_a_call_through_a_neighbour_that_stops_is_answered() -> None:
    """Guards against calls of other hosts that a stopping host cuts before its own."""
    started = asyncio.Event()

    async def slow_once(request: web.Request) -> web.StreamResponse:
        if not started.is_set():
            started.set()
            await asyncio.sleep(2.5)
        return web.Response(headers={"X-Request-Id": request.headers["X-Request-Id"]})

    async with PartitionedPair(kind="non_idempotent", timeout_s=4.0) as pair:
        await pair.start_targets(slow_once)
        pair.partition()
        serving = asyncio.create_task(pair.partitioned.serve(arrival(max_wait_s=4.0)))
        await started.wait()
        (stopping,) = (tunnels for tunnels in pair.tunnels_by_host.values() if tunnels.running)
        finishing = asyncio.create_task(stopping.finish(3.0))
        await asyncio.sleep(0.1)
        assert await serve_many(pair) == REQUESTS
        assert stopping.state()["opened"] == 1
        _, result = await serving
        assert result.is_ok()
        await finishing


async def test_a_host_that_stops_cuts_a_call_of_its_neighbour_at_the_limit() -> None:
    """Guards against a host that is killed since it waits for a call of another host."""
    started = asyncio.Event()

    async def endless(request: web.Request) -> web.StreamResponse:
        started.set()
        await asyncio.Event().wait()
        return web.Response()

    async with PartitionedPair(kind="non_idempotent", timeout_s=4.0) as pair:
        await pair.start_targets(endless)
        pair.partition()
        serving = asyncio.create_task(pair.partitioned.serve(arrival(max_wait_s=4.0)))
        await started.wait()
        for tunnels in pair.tunnels_by_host.values():
            await tunnels.finish(0.2)
        _, result = await serving
        assert result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN


async def test_an_answer_that_the_target_breaks_off_is_not_complete_through_a_neighbour() -> None:
    """Guards against an answer without a length that looks complete though it was reset."""
    async with PartitionedPair(kind="non_idempotent") as pair:
        await pair.start_targets(without_length(b"half", is_reset=True))
        pair.partition()
        reply, result = await pair.partitioned.serve()
        assert result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert not reply.is_complete


async def test_a_stream_that_breaks_at_a_neighbour_before_its_first_event_costs_its_input() -> None:
    """Guards against a workspace that spends more than its total: an event may be lost there."""
    async with PartitionedPair(kind="stream") as pair:
        await pair.start_targets(without_length(b"", is_reset=True))
        pair.partition()
        reply, _ = await pair.partitioned.serve()
        assert not reply.is_complete
        assert pair.partitioned.spent == 100


async def test_a_stream_on_a_connection_that_hangs_before_its_first_event_costs_its_input() -> None:
    """Guards against a workspace that spends more than its total: an event may be on its way."""
    held = asyncio.Event()

    async def unresponsive(request: web.Request) -> web.StreamResponse:
        await request.read()
        held.set()
        await asyncio.sleep(0.1)
        return await streams(1, 2)(request)

    with hanging_url() as url:
        fields = {"timeout_s": 8.0, "attempts": 1, "is_resumable": True}
        async with PartitionedPair(kind="stream", **fields) as pair:
            await pair.start_targets(unresponsive)
            link = FreezableLink(pair.partitioned.router.url_by_id[TARGETS[0]])
            pair.use_urls({TARGETS[0]: await link.start()})
            request = arrival(request_id="id-held", max_wait_s=8.0)
            serving = asyncio.create_task(pair.partitioned.serve(request))
            await held.wait()
            link.freeze()
            pair.partition(url)
            for number in range(4):
                await pair.partitioned.serve(arrival(request_id=f"id-{number}", generation=None))
                await asyncio.sleep(0.3)
            async with asyncio.timeout(1.0):
                await serving
            link.close()
            assert pair.partitioned.spent == 100


async def test_a_caller_that_leaves_ends_the_neighbours_connection_to_the_target() -> None:
    """Guards against targets that work for callers who have left, unnoticed by a neighbour."""
    started, ended = asyncio.Event(), asyncio.Event()

    async def endless(request: web.Request) -> web.StreamResponse:
        started.set()
        try:
            await asyncio.sleep(5.0)
        finally:
            ended.set()
        return web.Response()

    async with PartitionedPair() as pair:
        await pair.start_targets(endless)
        pair.partition()
        serving = asyncio.create_task(pair.partitioned.serve())
        await started.wait()
        assert pair.carried == 1
        serving.cancel()
        async with asyncio.timeout(MAX_SECONDS):
            while pair.carried:
                await asyncio.sleep(0.01)


async def test_a_slow_caller_makes_the_target_wait_through_a_neighbour() -> None:
    """Guards against buffering a whole stream in the memory of either host."""
    size, sent = 64 * 1024, 0

    async def large(request: web.Request) -> web.StreamResponse:
        nonlocal sent
        await request.read()
        response = web.StreamResponse(headers={"X-Request-Id": request.headers["X-Request-Id"]})
        await response.prepare(request)
        for number in range(1, 257):
            await response.write(event(number)[:-1] + b":" + b"x" * size + b"\n\n")
            sent = number
        return response

    class SlowReply(RecordingReply):
        async def write(self, data: bytes) -> None:
            await blocked.wait()
            await super().write(data)

    blocked = asyncio.Event()
    async with PartitionedPair(kind="stream", is_resumable=True) as pair:
        await pair.start_targets(large)
        pair.partition()
        reply = SlowReply()
        serving = asyncio.create_task(
            pair.partitioned.forwarder.serve(arrival(), reply, is_current=True)
        )
        await asyncio.sleep(0.5)
        assert sent < 200
        blocked.set()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
