"""Roll the configuration back and look at orders from the command line."""

from pathlib import Path

from cranberrywall.commands.ctl._exits import Exit
from cranberrywall.orders import ORDERS_CODEC, Action, Issuer
from cranberrywall.orders.messages import Issue
from tests.commands.fleets import configured_fleet


def test_a_roll_back_is_a_new_revision_and_may_be_sent_again(tmp_path: Path):
    fleet = configured_fleet()
    path = tmp_path / "changed.yaml"
    fleet.run("export", "--output", str(path))
    path.write_text(path.read_text().replace("concurrent: 8", "concurrent: 9"))
    assert fleet.run("apply", str(path)).exit_code == Exit.DONE
    refused = fleet.run("roll-back", "1", "--based-on", "1", operator="bob")
    assert refused.exit_code == Exit.CONFLICT
    assert "revision 2 by ann" in refused.stderr
    for _ in range(2):
        done = fleet.run_json("roll-back", "1", "--based-on", "2", "--change-id", "back")
        assert done["revision"]["number"] == 3
    assert "concurrent: 9" not in fleet.run("export").stdout


def test_open_orders_are_listed_and_those_of_a_dead_host_closed_by_two_persons():
    fleet = configured_fleet()
    load = Action("load", "drafting-llm", "2026-11")
    order = Issue("a", Issuer("control-1", 7), "engine-1", 1, 1, False, load, 2, 1.0)
    fleet.groups["configuration"].machine.apply(ORDERS_CODEC.encode(order))
    shown = fleet.run("orders", "show").stdout
    assert "engine-1" in shown
    assert "open" in shown
    confirm = ["orders", "confirm-dead", "control-1", "--incarnation", "7", "--yes"]
    alone = fleet.run(*confirm, "--approver", "ann")
    assert alone.exit_code == Exit.WRONG_INPUT
    assert fleet.run_json(*confirm, "--approver", "bob") == {"closed": 1}
    (closed,) = fleet.run_json("orders", "show")["closed_orders"]
    assert (closed["evidence"], closed["closed_by"]) == ("confirmed", "ann and bob")
