"""Drain an entry host from the command line."""

from cranberrywall.commands.ctl._exits import Exit
from tests.commands.fleets import configured_fleet

ENTRY_1 = "127.0.0.21:17301"


def test_a_host_is_drained_once_however_often_it_is_asked():
    fleet, drained = configured_fleet(), []
    fleet.caller.listen(ENTRY_1, 5, lambda: drained.append("entry-1"))
    for _ in range(2):
        assert fleet.run_json("drain", "entry-1") == {"host": "entry-1", "incarnation": 5}
    assert drained == ["entry-1"]


def test_waiting_does_not_drain_the_process_that_was_started_anew(monkeypatch):
    """The drained process ends, and its machine starts it again at the same address.

    The command still waits and asks; the new process must not end because of it.
    """
    fleet, drained = configured_fleet(), []

    async def restart(seconds: float) -> None:
        fleet.caller.listen(ENTRY_1, 6, lambda: drained.append(6))

    monkeypatch.setattr(fleet.clock, "sleep", restart)
    fleet.caller.listen(ENTRY_1, 5, lambda: drained.append(5))
    result = fleet.run("drain", "entry-1", "--wait", "30")
    assert result.exit_code == Exit.DONE
    assert "has ended" in result.stdout
    assert drained == [5]


def test_a_host_that_does_not_answer_or_is_not_configured_is_told_apart():
    fleet = configured_fleet()
    silent = fleet.run("drain", "entry-1")
    assert (silent.exit_code, "SIGTERM" in silent.stderr) == (Exit.UNREACHABLE, True)
    unknown = fleet.run("drain", "control-1")
    assert (unknown.exit_code, "entry-7" in unknown.stderr) == (Exit.REFUSED, True)
