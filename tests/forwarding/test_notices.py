"""Read what targets say of themselves in answers of each kind."""

from typing import Any

import pytest

from tests.forwarding.scripted import Scene, answers

SAID: dict[str, Any] = {"Retry_After": "2.5", "Server_Leaving": "1"}
UNRUN: dict[str, Any] = {**SAID, "X_Not_Run": "1"}


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
@pytest.mark.parametrize("said", [SAID, UNRUN])
async def test_a_backoff_is_read_from_each_503(kind: str, said: dict[str, Any]) -> None:
    """A 503 that does not say that it did not run the request is not read for a backoff."""
    async with Scene(kind=kind) as scene:
        await scene.target("a", answers(503, **said))
        await scene.target("b", answers(503, **said))
        await scene.serve()
        assert scene.router.backoffs[0] == ("a", 2.5)
        assert "a" in scene.router.announced_leaving


@pytest.mark.parametrize("status", [200, 204, 404, 429, 500, 502])
async def test_other_answers_name_no_backoff_and_may_say_that_the_target_leaves(
    status: int,
) -> None:
    async with Scene() as scene:
        await scene.target("a", answers(status, **SAID))
        await scene.serve()
        assert scene.router.backoffs == []
        assert scene.router.announced_leaving == {"a"}


async def test_the_head_of_a_stream_says_that_its_target_leaves() -> None:
    async with Scene(kind="stream") as scene:
        await scene.target("a", answers(200, b"id: 1\ndata: x\n\n", **SAID))
        reply, _ = await scene.serve()
        assert reply.is_whole
        assert scene.router.announced_leaving == {"a"}


async def test_what_another_target_says_at_the_address_is_not_read() -> None:
    """A target that is well is taken for leaving, as another one at its address leaves."""
    async with Scene() as scene:
        await scene.target("a", answers(421, **SAID))
        await scene.target("b", answers())
        await scene.serve()
        assert scene.router.backoffs == []
        assert scene.router.announced_leaving == set()


async def test_an_answer_to_another_request_is_not_read() -> None:
    """A doubled 503 starts a backoff long after the target asked for it."""
    async with Scene() as scene:
        await scene.target("a", answers(503, X_Request_Id="another", **SAID))
        await scene.target("b", answers())
        await scene.serve()
        assert scene.router.backoffs == []
