"""Backoffs and leaving announcements in target answers of each kind."""

from typing import Any

import pytest

from tests.forwarding.scripted import ForwardingHarness, answers

ANNOUNCEMENTS: dict[str, Any] = {"Retry_After": "2.5", "Server_Leaving": "1"}
NOT_RUN_ANNOUNCEMENTS: dict[str, Any] = {**ANNOUNCEMENTS, "X_Not_Run": "1"}


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
@pytest.mark.parametrize("announced", [ANNOUNCEMENTS, NOT_RUN_ANNOUNCEMENTS])
async def test_a_backoff_is_read_from_each_503(kind: str, announced: dict[str, Any]) -> None:
    """The backoff in a 503 is ignored unless the 503 reports that the request did not run."""
    async with ForwardingHarness(kind=kind) as harness:
        await harness.target("a", answers(503, **announced))
        await harness.target("b", answers(503, **announced))
        await harness.serve()
        assert harness.router.backoffs[0] == ("a", 2.5)
        assert "a" in harness.router.announced_leaving


@pytest.mark.parametrize("status", [200, 204, 404, 429, 500, 502])
async def test_other_answers_name_no_backoff_and_may_announce_that_the_target_leaves(
    status: int,
) -> None:
    async with ForwardingHarness() as harness:
        await harness.target("a", answers(status, **ANNOUNCEMENTS))
        await harness.serve()
        assert harness.router.backoffs == []
        assert harness.router.announced_leaving == {"a"}


async def test_the_head_of_a_stream_announces_that_its_target_leaves() -> None:
    async with ForwardingHarness(kind="stream") as harness:
        await harness.target("a", answers(200, b"id: 1\ndata: x\n\n", **ANNOUNCEMENTS))
        reply, _ = await harness.serve()
        assert reply.is_complete
        assert harness.router.announced_leaving == {"a"}


async def test_what_another_target_announces_at_the_address_is_not_read() -> None:
    """A healthy target is treated as leaving because another one at its address leaves."""
    async with ForwardingHarness() as harness:
        await harness.target("a", answers(421, **ANNOUNCEMENTS))
        await harness.target("b", answers())
        await harness.serve()
        assert harness.router.backoffs == []
        assert harness.router.announced_leaving == set()


async def test_an_answer_to_another_request_is_not_read() -> None:
    """A duplicate 503 starts a backoff long after the target requested it."""
    async with ForwardingHarness() as harness:
        await harness.target("a", answers(503, X_Request_Id="another", **ANNOUNCEMENTS))
        await harness.target("b", answers())
        await harness.serve()
        assert harness.router.backoffs == []


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
async def test_a_rejection_by_a_brittle_target_is_read_from_its_answer(kind: str) -> None:
    """Guards against rejections that are not counted because of the status or kind of an answer."""
    async with ForwardingHarness(kind=kind) as harness:
        await harness.target("a", answers(503, Server_Brittle="4", X_Not_Run="1"))
        await harness.target("b", answers(200, Server_Brittle="4"))
        await harness.serve()
        assert harness.router.rejections == [("a", 4.0, True), ("b", 4.0, False)]
