"""Requests that wait for a connection to a target that leaves in the meantime."""

import asyncio
from typing import Any

import pytest

from tests.forwarding.scripted import ForwardingHarness, answers

CONNECTING_S = 0.2


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_a_request_that_waits_for_a_connection_is_not_sent_to_a_target_that_left(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A target receives a request although its leaving was acknowledged.

    The request has a slot there and waits for the connection, which may take over half a second.
    The failure occurs if the forwarder checks whether the target is still offered only before it
    connects.
    """
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    async with ForwardingHarness(kind=kind) as harness:
        await harness.target("a", answers())
        await harness.target("b", answers())

        async def slow_connect(sock: Any, address: Any) -> None:
            await asyncio.sleep(CONNECTING_S)
            harness.router.withdrawn.add("a")
            await connect(sock, address)

        monkeypatch.setattr(loop, "sock_connect", slow_connect)
        reply, _ = await harness.serve()
        assert reply.status == 200
        assert [name for name, _ in harness.received] == ["b"]
