"""Show, lift and add verdicts on requests from the command line."""

from typing import Any

from cranberrywall.commands.ctl._exits import Exit
from cranberrywall.quarantine import (
    QUARANTINE,
    Quarantine,
    RunTracker,
    fingerprint_of,
    register_quarantine,
)
from cranberrywall.targets import make_targets
from tests.commands.fleets import CtlFleet, configured_fleet, serve_dump
from tests.fakes.clock import ManualClock
from tests.fakes.spread import MemorySpread
from tests.quarantine.scene import ScriptedNetwork

ENTRY_1, ENTRY_2 = "127.0.0.21:17301", "127.0.0.22:17302"
BAD = fingerprint_of("desk", "/letters/1", b"bad")


class Entry:
    """Hold the quarantine of an entry host that answers operators."""

    def __init__(self, fleet: CtlFleet) -> None:
        clock: Any = ManualClock()
        network: Any = ScriptedNetwork()
        tracker = RunTracker(make_targets(), network, clock)
        self.quarantine = Quarantine("entry-1", tracker, MemorySpread(), clock)
        register_quarantine(self, self.quarantine)
        fleet.caller.handler_by_address[ENTRY_1, QUARANTINE.name] = self.answer

    def register(self, method: Any, answer: Any) -> None:
        self.answer = answer


def test_a_request_is_held_listed_and_lifted() -> None:
    """An operator holds a request back by its fingerprint in the log, and lets it run again."""
    fleet = configured_fleet()
    entry = Entry(fleet)
    assert fleet.run("quarantine", "hold", BAD.hex()).exit_code == Exit.DONE
    state = entry.quarantine.state()
    assert state["held"][BAD.hex()]["by"]
    serve_dump(fleet, ENTRY_1, {"quarantine": state})
    serve_dump(fleet, ENTRY_2, {"quarantine": {"held": {}}})
    listed = fleet.run_json("quarantine", "list")
    assert (listed["hosts_answered"], listed["held"][BAD.hex()]["known_by"]) == (2, 1)
    assert BAD.hex() in fleet.run("quarantine", "list").stdout
    assert fleet.run_json("quarantine", "lift", BAD.hex()[:10]) == {
        "fingerprint": BAD.hex(),
        "is_held": False,
    }
    assert entry.quarantine.state()["held"] == {}


def test_a_fingerprint_that_names_no_request_is_refused_with_a_remedy() -> None:
    fleet = configured_fleet()
    Entry(fleet)
    for command, given, remedy in (
        ("hold", "abc", "32 digits"),
        ("hold", "zz" * 16, "32 digits"),
        ("lift", "0123456789", "quarantine list"),
    ):
        refused = fleet.run("quarantine", command, given)
        assert refused.exit_code == Exit.WRONG_INPUT
        assert remedy in refused.stderr


def test_no_entry_host_answers() -> None:
    for arguments in (("list",), ("lift", "0123456789")):
        assert configured_fleet().run("quarantine", *arguments).exit_code == Exit.UNREACHABLE
