"""Change the configuration from the command line."""

from pathlib import Path

import pytest

from cranberrywall.commands.ctl._exits import Exit
from tests.commands.fleets import EXAMPLE, CtlFleet, configured_fleet


@pytest.fixture
def fleet() -> CtlFleet:
    return configured_fleet()


def exported(fleet: CtlFleet, tmp_path: Path, name: str, change: tuple[str, str]) -> str:
    path = tmp_path / name
    assert fleet.run("export", "--output", str(path)).exit_code == Exit.DONE
    text = path.read_text()
    assert change[0] in text
    path.write_text(text.replace(*change))
    return str(path)


def test_a_bad_document_is_named_with_its_field_and_remedy(tmp_path: Path):
    bad = tmp_path / "bad.yaml"
    bad.write_text(Path(EXAMPLE).read_text().replace("unit: tokens", "unit: coins", 1))
    result = CtlFleet().run("check", str(bad))
    assert result.exit_code == Exit.WRONG_INPUT
    assert ".unit" in result.stderr
    assert "remedy" in result.stderr
    assert CtlFleet().run("check", EXAMPLE).exit_code == Exit.DONE


def test_of_two_operators_with_equal_numbers_the_second_is_told_who_changed_what(
    fleet: CtlFleet, tmp_path: Path
):
    """Ann and Bob export revision 1 and change the same section; Bob applies second.

    Bob must learn that Ann changed it, when, and which section, and Ann's change stays.
    """
    anns = exported(fleet, tmp_path, "ann.yaml", ("concurrent: 8", "concurrent: 9"))
    bobs = exported(fleet, tmp_path, "bob.yaml", ("concurrent: 8", "concurrent: 7"))
    assert "concurrent: 9" in fleet.run("diff", anns).stdout
    assert fleet.run("apply", anns, "--change-id", "a1").exit_code == Exit.DONE
    refused = fleet.run("apply", bobs, operator="bob")
    assert refused.exit_code == Exit.CONFLICT
    assert "revision 2 by ann" in refused.stderr
    assert "workspaces" in refused.stderr
    again = fleet.run_json("apply", anns, "--change-id", "a1")
    assert again["revision"]["number"] == 2
    assert "concurrent: 9" in fleet.run("export").stdout


def test_a_first_change_that_is_resent_gets_its_first_answer():
    fleet = CtlFleet()
    for _ in range(2):
        answer = fleet.run_json("apply", EXAMPLE, "--based-on", "0", "--change-id", "first")
        assert answer["revision"]["number"] == 1
    clash = fleet.run("apply", EXAMPLE, "--based-on", "0")
    assert clash.exit_code in (Exit.CONFLICT, Exit.WRONG_INPUT)


def test_a_file_without_a_revision_must_say_what_it_is_based_on(fleet: CtlFleet):
    result = fleet.run("apply", EXAMPLE)
    assert result.exit_code == Exit.WRONG_INPUT
    assert "--based-on" in result.stderr


def test_history_lists_who_and_when(fleet: CtlFleet):
    (revision,) = fleet.run_json("history")["revisions"]
    assert (revision["number"], revision["operator"]) == (1, "ann")
    assert "ann" in fleet.run("history").stdout


def test_an_answer_that_was_lost_is_unknown_and_names_the_change_id(
    fleet: CtlFleet, tmp_path: Path
):
    path = exported(fleet, tmp_path, "a.yaml", ("concurrent: 8", "concurrent: 9"))
    fleet.groups["configuration"].answers_lost = 1
    lost = fleet.run("apply", path, "--change-id", "a1")
    assert lost.exit_code == Exit.UNKNOWN
    assert "--change-id a1" in lost.stderr


def test_control_hosts_out_of_reach_are_told_from_a_refusal(fleet: CtlFleet):
    fleet.groups["configuration"].reachable = False
    assert fleet.run("export").exit_code == Exit.UNREACHABLE
    error = fleet.run("--json", "export")
    assert '"kind": "unreachable"' in error.stdout
