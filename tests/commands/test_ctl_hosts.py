"""Ask the fleet's hosts from the command line."""

from cranberrywall.commands.ctl._exits import Exit
from tests.commands.fleets import configured_fleet, serve_dump

ENTRY_1, ENTRY_2 = "127.0.0.21:17301", "127.0.0.22:17302"
TARGET = {
    "kind": "engine",
    "name": "drafting-llm",
    "place": "kolonnawa-dc",
    "url": "http://127.0.0.1:9001",
    "versions": ["2026-10"],
    "capacity": 8,
    "running": 3,
    "waiting": 0,
}


def test_a_target_that_a_host_does_not_know_is_seen():
    fleet = configured_fleet()
    serve_dump(fleet, ENTRY_1, {"targets": {"engine-1": TARGET, "engine-2": TARGET}})
    serve_dump(fleet, ENTRY_2, {"targets": {"engine-1": TARGET}})
    answer = fleet.run_json("targets")
    assert (answer["hosts_asked"], answer["hosts_answered"]) == (7, 2)
    assert {one["target"]: one["known_by"] for one in answer["targets"]} == {
        "engine-1": 2,
        "engine-2": 1,
    }
    assert "1 of 2" in fleet.run("targets").stdout
    assert configured_fleet().run("targets").exit_code == Exit.UNREACHABLE


def test_the_revision_in_force_is_asked_of_each_host():
    fleet = configured_fleet()
    serve_dump(fleet, ENTRY_1, {"configuration": {"revision": 1}})
    rows = {row["host"]: row["revision"] for row in fleet.run_json("hosts", "--live")["hosts"]}
    assert (rows["entry-1"], rows["entry-2"]) == (1, -1)
    assert fleet.run("hosts", "--live").stdout.splitlines()[0].endswith("revision")


def test_a_state_is_dumped_by_the_hosts_name():
    fleet = configured_fleet()
    serve_dump(fleet, ENTRY_1, {"requests": {"running": 2}})
    assert fleet.run_json("state", "entry-1", "--section", "requests") == {"running": 2}
    assert "requests" in fleet.run("state", "entry-1", "--section", "other").stderr
    assert fleet.run("state", "entry-9").exit_code == Exit.REFUSED
    assert fleet.run("state", "entry-2").exit_code == Exit.UNREACHABLE
