"""Check that a draining host goes on serving, and sends callers off its connections."""

from tests.requests.fleet import Fleet, chat


async def test_a_caller_with_an_old_address_is_served_and_let_go() -> None:
    """A caller keeps the address of a host that leaves, and uses it once more.

    It is served as before; its connection ends with the answer, so that its next call asks
    for an address again.
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
