"""Check that money moves by two persons only, and that the report adds up."""

from cranberrywall.budgets import make_ledger_client
from cranberrywall.budgets.messages import (
    BudgetQuery,
    Charge,
    ChargeBatch,
    Credit,
    Draw,
    Holder,
    ReportRow,
)
from cranberrywall.console._report import adds_up, draw_charges

OLD = 1000.0
DEAD = Holder("entry-1", 7)


async def hold_money(control) -> None:
    ledger = make_ledger_client(control, 2)
    await ledger.credit(Credit("desk", "desk", "tokens", 500, "c1", "omar", OLD), 1.0)
    await ledger.draw(Draw("desk", DEAD, 1, 200, 1, OLD), 1.0)
    charge = Charge("desk", "desk", "r1", 1, 30, OLD)
    await ledger.charge(ChargeBatch(DEAD, (charge,), OLD), 1.0)


async def outstanding(control) -> int:
    result = await make_ledger_client(control, 2).budget(BudgetQuery("desk"), 1.0)
    return result.unwrap().outstanding


async def test_a_dead_host_is_confirmed_by_two_persons(browse, control) -> None:
    """An entry host holds money and has not been heard for long. An operator asks to
    confirm its death and cannot approve it alone; another person does, and the money
    comes back. One person's error must not free money that a living host still spends.
    """
    await hold_money(control)
    asker = await browse("ana")
    await asker.get("/decisions")
    assert "silent holder" in asker.text
    asked = [*asker.hidden(), ("action", "confirm that a host is dead")]
    await asker.post("/decisions", [*asked, ("evidence", "")])
    assert asker.status == 400
    await asker.post("/decisions", [*asked, ("evidence", "the rack is off")])
    assert "Approve" not in asker.text
    wanted = dict(asker.hidden())["id"]
    forced = [("csrf", asker.csrf()), ("id", wanted)]
    await asker.post("/decisions/approve", forced)
    assert asker.status == 403
    operator = await browse("omar")
    await operator.get("/decisions")
    await operator.post("/decisions/approve", [("csrf", operator.csrf()), ("id", wanted)])
    assert operator.status == 403
    assert await outstanding(control) == 170


async def test_an_approval_frees_the_money_and_is_written_down(browse, control) -> None:
    await hold_money(control)
    operator = await browse("omar")
    await operator.get("/decisions")
    asked = [*operator.hidden(), ("action", "confirm that a host is dead")]
    await operator.post("/decisions", [*asked, ("evidence", "the rack is off")])
    approver = await browse("ana")
    await approver.get("/decisions")
    assert "the rack is off" in approver.text
    await approver.post("/decisions/approve", approver.hidden())
    assert "170 came back" in approver.text
    assert await outstanding(control) == 0
    assert "the rack is off" in await approver.get("/audit")


async def test_the_report_adds_up_and_has_a_plot(browse, control) -> None:
    await hold_money(control)
    browser = await browse("rhea")
    await browser.get("/report")
    assert "Every budget adds up" in browser.text
    assert ">500<" in browser.text.replace(" ", "")
    assert "silent holder" in browser.text
    assert "<svg" in await browser.get("/report.svg")


def test_a_row_that_does_not_add_up_is_found() -> None:
    row = ReportRow("desk", "tokens", 500, 500, 0, 30, 0, 170, 0, 300, ())
    assert adds_up(row)
    assert not adds_up(row._replace(free=301))
    assert draw_charges([]).startswith(b"<?xml")
