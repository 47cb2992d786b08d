"""Send nothing to a target that left while its connection was being made."""

import asyncio
from typing import Any

import pytest

from tests.forwarding.scripted import Scene, answers

CONNECTING_S = 0.2


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_a_request_that_waits_for_a_connection_is_not_sent_to_a_target_that_left(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A target says that it leaves, is acknowledged, and gets a request all the same.

    The request had its place there and waited for the connection, which may take over half a
    second. Cause: whether the target is still offered is asked before the connection only.
    """
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    async with Scene(kind=kind) as scene:
        await scene.target("a", answers())
        await scene.target("b", answers())

        async def slow_connect(sock: Any, address: Any) -> None:
            await asyncio.sleep(CONNECTING_S)
            scene.router.left.add("a")
            await connect(sock, address)

        monkeypatch.setattr(loop, "sock_connect", slow_connect)
        reply, _ = await scene.serve()
        assert reply.status == 200
        assert [name for name, _ in scene.seen] == ["b"]
