"""Check that money is credited once, as previewed."""

from cranberrywall.budgets import make_ledger_client
from cranberrywall.budgets.messages import BudgetQuery


async def credited(control) -> int:
    result = await make_ledger_client(control, 2).budget(BudgetQuery("desk"), 1.0)
    return result.unwrap().credited if result.is_ok() else 0


async def test_a_top_up_is_previewed_and_credited(browse, control) -> None:
    browser = await browse("omar")
    await browser.get("/budgets/desk")
    await browser.post("/budgets/desk", [*browser.hidden(), ("amount", "1 500")])
    assert "credited 1\N{NO-BREAK SPACE}500" in browser.text
    assert await credited(control) == 0
    await browser.post("/budgets/desk", [*browser.hidden(), ("step", "apply")])
    assert await credited(control) == 1500
    assert "desk" in await browser.get("/budgets")


async def test_a_top_up_sent_again_after_a_lost_answer_counts_once(browse, control) -> None:
    """An operator tops up, sees that no answer came back and sends it again. The first
    one was committed, only its answer got lost; the budget must not get the sum twice.
    """
    browser = await browse("omar")
    await browser.get("/budgets/desk")
    await browser.post("/budgets/desk", [*browser.hidden(), ("amount", "1500")])
    for group in control.group_by_name.values():
        group.answers_lost = 1
    await browser.post("/budgets/desk", [*browser.hidden(), ("step", "apply")])
    assert browser.status == 503
    await browser.post("/budgets/desk", [*browser.hidden(), ("step", "apply")])
    assert browser.status == 200
    assert await credited(control) == 1500


async def test_a_wrong_amount_is_named_and_kept(browse) -> None:
    browser = await browse("omar")
    await browser.get("/budgets/desk")
    for typed in ("-5", "1.5", "many", "0"):
        await browser.post("/budgets/desk", [*browser.hidden(), ("amount", typed)])
        assert browser.status == 400
        assert f'value="{typed}"' in browser.text


async def test_a_top_up_of_a_budget_that_is_gone_is_not_found(browse) -> None:
    """An operator has a budget's page open while another removes the budget, and then
    tops it up. The document that is read for the top-up has no such budget any more.
    """
    browser = await browse("omar")
    await browser.get("/budgets/desk")
    form = [*browser.hidden(), ("amount", "1500")]
    for step in ("", "apply"):
        await browser.post("/budgets/gone", [*form, ("step", step)])
        assert browser.status == 404
        assert "There is no budget gone." in browser.text
