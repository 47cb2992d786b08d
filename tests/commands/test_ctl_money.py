"""Top up, close, report and decide from the command line."""

import csv
from pathlib import Path

import pytest

from cranberrywall.budgets.messages import Charge, ChargeBatch, Draw, Holder, ReportRow
from cranberrywall.commands.ctl._exits import Exit
from cranberrywall.commands.ctl._reports import check_row
from tests.commands.fleets import CtlFleet, configured_fleet, serve_dump

DESK, LETTERS = "renewal-desk", "maturity-letters"
ENTRY = Holder("entry-1", 5)


@pytest.fixture
def fleet() -> CtlFleet:
    fleet = configured_fleet()
    for budget in (DESK, LETTERS):
        assert fleet.run("top-up", budget, "1000").exit_code == Exit.DONE
    return fleet


def spend(fleet: CtlFleet, request: str, number: int, amount: int, holder: Holder = ENTRY) -> None:
    now = fleet.clock.wall()
    fleet.apply(DESK, Draw(DESK, holder, number, amount, 1, now))
    charge = Charge(DESK, DESK, request, number, amount, now)
    fleet.apply(DESK, ChargeBatch(holder, (charge,), now))


def test_a_top_up_is_sent_again_by_its_change_id_and_credited_once(fleet: CtlFleet):
    fleet.groups["ledger-0"].answers_lost = fleet.groups["ledger-1"].answers_lost = 1
    lost = fleet.run("top-up", DESK, "500", "--change-id", "t1")
    assert lost.exit_code == Exit.UNKNOWN
    assert "--change-id t1" in lost.stderr
    for _ in range(2):
        answer = fleet.run_json("top-up", DESK, "500", "--change-id", "t1")
        assert answer["budget"]["credited"] == 1500
    reused = fleet.run("top-up", DESK, "600", "--change-id", "t1")
    assert reused.exit_code == Exit.CONFLICT
    assert "t1" in fleet.run("budgets", "show", DESK).stdout


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        (["nobody", "5"], Exit.REFUSED, "renewal-desk"),
        ([DESK, "0"], Exit.WRONG_INPUT, "amount"),
        ([DESK, "5", "--workspace", "nobody"], Exit.WRONG_INPUT, "--workspace"),
    ],
)
def test_a_top_up_that_cannot_be_says_what_to_give(
    fleet: CtlFleet, arguments: list[str], code: Exit, text: str
):
    result = fleet.run("top-up", *arguments)
    assert result.exit_code == code
    assert text in result.stderr


def test_a_report_adds_up_in_table_json_csv_and_plot(fleet: CtlFleet, tmp_path: Path):
    spend(fleet, "r1", 1, 30)
    spend(fleet, "r1", 1, 40, Holder("entry-2", 5))
    table = fleet.run("report", "--csv", str(tmp_path), "--plot", str(tmp_path / "spend.png"))
    assert table.exit_code == Exit.DONE
    assert "adds up: yes" in table.stdout
    assert "duplicate" in table.stdout
    report = fleet.run_json("report", "--workspace", DESK)
    (row,) = report["rows"]
    assert (row["credited"], row["charged"], row["outstanding"], row["free"]) == (1000, 30, 40, 930)
    assert report["workspaces"] == [
        {"workspace": DESK, "unit": "tokens", "charged": 30, "requests": 1}
    ]
    with (tmp_path / "budgets.csv").open() as file:
        lines = {line["budget"]: line for line in csv.DictReader(file)}
    assert (lines[DESK]["charged"], lines[LETTERS]["free"]) == ("30", "1000")
    assert (tmp_path / "exceptions.csv").read_text().count("duplicate") == 1
    assert (tmp_path / "spend.png").read_bytes().startswith(b"\x89PNG")


def test_a_closing_that_failed_half_way_is_finished_by_the_same_command(fleet: CtlFleet):
    """The second group is out of reach when the operator closes the month.

    The command says which group was done. Given again it finishes, and both groups show
    the same end; a third time changes nothing.
    """
    spend(fleet, "r1", 1, 30)
    end = fleet.run_json("report", "--periods")["ledger-0"]["open_periods"][0]
    fleet.clock.step(end["through"] - fleet.clock.wall() + 60.0)
    fleet.groups["ledger-1"].answers_lost = 1
    half = fleet.run("close", end["period"])
    assert half.exit_code == Exit.UNKNOWN
    assert "ledger-0" in half.stderr
    closed = [fleet.run_json("close", end["period"]) for _ in range(2)]
    assert closed[0] == closed[1]
    report = fleet.run_json("report", "--period", end["period"])
    assert sum(row["charged"] for row in report["rows"]) == 30
    assert report["digest_by_group"] == closed[0]["digests"]
    assert fleet.run("close", "1999-01").exit_code == Exit.REFUSED


@pytest.mark.parametrize(("error", "code"), [(31 * 86_400.0, Exit.REFUSED), (5.0, Exit.DONE)])
def test_a_month_is_not_closed_by_a_clock_that_is_wrong(fleet: CtlFleet, error: float, code: Exit):
    """The operator's machine is a month ahead, and the present month looks as if over.

    A closing cannot be undone: all of the month's later charges would be late.
    """
    end = fleet.run_json("report", "--periods")["ledger-0"]["open_periods"][0]
    fleet.clock.step(end["through"] - fleet.clock.wall() + 60.0)
    wall = fleet.clock.wall() - error
    serve_dump(fleet, "127.0.0.11:17101", {"host": {"wall": wall}})
    result = fleet.run("close", end["period"])
    assert result.exit_code == code
    assert ("ahead of control-1" in result.stderr) == (code is Exit.REFUSED)


def test_no_group_closes_with_an_end_that_another_must_refuse(fleet: CtlFleet):
    """One group has charges of two open months, the other has none.

    An operator closes with an end of their own. The quiet group could take it, and the
    other must not split what it has booked: neither may close.
    """
    spend(fleet, "r1", 1, 30)
    fleet.clock.step(40 * 86_400.0)
    spend(fleet, "r2", 2, 30)
    refused = fleet.run("close", "half", "--through", "2026-10-20T00:00:00+00:00")
    assert refused.exit_code == Exit.CONFLICT
    assert "nothing was closed" in refused.stderr
    periods = fleet.run_json("report", "--periods")
    assert [answer["periods"] for answer in periods.values()] == [[], []]


def test_a_host_that_was_not_heard_since_the_end_is_named_at_the_closing(fleet: CtlFleet):
    fleet.apply(DESK, Draw(DESK, ENTRY, 1, 100, 1, fleet.clock.wall()))
    end = ("--through", "2026-10-01T05:30:00+05:30")
    closed = fleet.run("close", "2026-09", *end)
    assert closed.exit_code == Exit.WRONG_INPUT
    assert "not over" in closed.stderr
    fleet.clock.step(30 * 86_400.0)
    closed = fleet.run("close", "2026-09", *end)
    assert closed.exit_code == Exit.DONE, closed.output
    assert "entry-1 (incarnation 5) holds 100" in closed.stdout


def test_months_are_planned_for_a_time_zone(fleet: CtlFleet):
    planned = fleet.run("plan", "--timezone", "Asia/Colombo", "--first", "2026-11", "--months", "2")
    assert planned.exit_code == Exit.DONE
    assert "2026-11  2026-11-30 18:30:00Z" in planned.stdout
    assert fleet.run("plan", "--timezone", "Colombo").exit_code == Exit.WRONG_INPUT


def test_an_amount_in_doubt_is_listed_and_decided_by_two_persons(fleet: CtlFleet):
    """A host is confirmed dead by mistake, and its money is spent elsewhere.

    Its late charge is set aside. The list names it with its id, the reason and the way
    out; after a top-up it is billed, and the report adds up throughout.
    """
    fleet.apply(DESK, Draw(DESK, ENTRY, 1, 1000, 1, fleet.clock.wall()))
    confirm = ("confirm-dead", "entry-1", "--incarnation", "5", "--yes", "--approver")
    assert fleet.run(*confirm, "ann").exit_code == Exit.REFUSED
    assert fleet.run_json(*confirm, "bob") == {"released": 1000}
    other = Holder("entry-2", 5)
    fleet.apply(DESK, Draw(DESK, other, 1, 1000, 1, fleet.clock.wall()))
    spend(fleet, "late", 1, 300)
    (doubt,) = fleet.run_json("budgets", "doubts")["exceptions"]
    assert (doubt["row"]["kind"], doubt["row"]["amount"]) == ("unfunded", 300)
    assert "way out" in fleet.run("budgets", "doubts").stdout
    resolve = ("budgets", "resolve", doubt["id"], "--bill", "--approver", "bob")
    assert fleet.run(*resolve).exit_code == Exit.REFUSED
    fleet.run("top-up", DESK, "300")
    assert fleet.run(*resolve).exit_code == Exit.DONE
    assert fleet.run("budgets", "doubts").stdout == "nothing is in doubt\n"
    assert "adds up: yes" in fleet.run("report").stdout


def test_a_row_that_does_not_add_up_is_found():
    row = ReportRow("desk", "tokens", 100, 100, 0, 10, 0, 20, 0, 60, ())
    faults = check_row(row)
    assert ["sum to 90" in faults[0], "workspaces sum to 0" in faults[1]] == [True, True]
    assert check_row(row._replace(credited=90, charged=0, free=70)) == []


def test_hosts_are_listed_with_what_they_hold(fleet: CtlFleet):
    fleet.apply(DESK, Draw(DESK, ENTRY, 1, 100, 1, fleet.clock.wall()))
    rows = {row["host"]: row for row in fleet.run_json("hosts")["hosts"]}
    assert (rows["entry-1"]["incarnation"], rows["entry-1"]["outstanding"]) == (5, 100)
    assert rows["entry-2"]["incarnation"] == 0
    assert "kolonnawa-dc" in fleet.run("hosts").stdout


def test_an_unsafe_step_is_refused_unless_the_host_is_named_twice(fleet: CtlFleet):
    assert "it is the last" in fleet.run("groups", "show").stdout
    step = ("groups", "remove", "ledger-0", "control-1")
    refused = fleet.run(*step)
    assert refused.exit_code == Exit.REFUSED
    assert "--unsafe control-1" in refused.stderr
    assert fleet.run(*step, "--unsafe", "control-2").exit_code == Exit.WRONG_INPUT
    assert fleet.control.changes == []
    assert fleet.run(*step, "--unsafe", "control-1").exit_code == Exit.DONE
    assert [change.forced for change in fleet.control.changes] == [True]
