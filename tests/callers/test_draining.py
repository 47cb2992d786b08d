"""A draining host continues to serve and closes the connections of its callers."""

from tests.requests.fleet import Fleet, chat


async def test_a_caller_with_an_old_address_is_served_and_let_go() -> None:
    """A caller uses the cached address of a draining host.

    The host serves the request and closes the connection after the answer, so that the caller
    requests new addresses before its next call.
    """
    async with Fleet() as fleet:
        await fleet.engine()
        entry = await fleet.entry()
        assert entry.stack.idle_duration_s(fleet.clock.now()) == float("inf")
        _, headers, _ = await fleet.post(entry, chat())
        assert "Connection" not in headers
        entry.stack.start_draining()
        status, headers, _ = await fleet.post(entry, chat())
        assert (status, headers["Connection"]) == (200, "close")
        assert entry.stack.idle_duration_s(fleet.clock.now()) < 60
