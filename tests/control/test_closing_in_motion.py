"""Close a period while charges are on their way and leaders die."""

import asyncio

import pytest

from cranberrywall.budgets.messages import (
    Charge,
    ChargeBatch,
    ChargeOutcome,
    ClosePeriod,
    Credit,
    Draw,
    ExceptionKind,
    ExceptionsQuery,
    Holder,
    ReportQuery,
    ReportRow,
)
from tests.control.hosts import Controls, run_controls

END = 1_796_083_200.0
HOLDERS = [Holder("entry-a", 1), Holder("entry-b", 1), Holder("entry-c", 1)]
REQUESTS = 30
BEFORE, MEANWHILE, AFTER = range(1, 11), range(11, 21), range(21, 31)
CLOSING = ClosePeriod("2026-11", END, "ann", END + 1.0)


async def spend(controls: Controls, holder: Holder, numbers: range) -> None:
    """Charge requests that were reserved just before the end, resending what got lost."""
    for number in numbers:
        # Each id is charged by two hosts, as after a caller's retry.
        charge = Charge("desk", "clerks", f"r{number}", number, 10, END - 30.0 + number / 10)
        batch = ChargeBatch(holder, (charge,), END)
        answer = await controls.ledger.charge(batch, 60.0)
        assert answer.unwrap().outcomes[0] in (ChargeOutcome.BILLED, ChargeOutcome.DUPLICATE)


async def spend_all(controls: Controls, numbers: range) -> None:
    await asyncio.gather(*(spend(controls, holder, numbers) for holder in HOLDERS))


async def row(controls: Controls, period: str) -> ReportRow:
    query = ReportQuery(period, "", "", 10)
    (found,) = (await controls.ledger.report("ledger-0", query, 60.0)).unwrap().rows
    spent = found.charged_before + found.charged + found.charged_after
    assert found.credited == spent + found.outstanding + found.in_doubt + found.free
    return found


@pytest.mark.parametrize("seed", range(3))
def test_every_request_is_in_one_period_and_billed_once(seed: int):
    """Three hosts deliver charges of the month's last minute, most ids twice.

    An operator closes the month in the middle of it, and the ledger's leader loses power
    just then. The operator sends the closing again. No request may be missing from both
    reports or stand in both, and the closed one must not change any more.
    """

    async def test(controls: Controls) -> None:
        await controls.ledger.credit(
            Credit("desk", "clerks", "tokens", 5_000, "c1", "ann", END - 100.0), 60.0
        )
        for holder in HOLDERS:
            await controls.ledger.draw(Draw("desk", holder, 1, 1_000, 1, END - 60.0), 60.0)
        await spend_all(controls, BEFORE)
        spending = asyncio.create_task(spend_all(controls, MEANWHILE))
        leader = await controls.leader()
        closing = asyncio.create_task(controls.ledger.close_period("ledger-0", CLOSING, 60.0))
        await asyncio.sleep(0.002 * seed)
        await controls.kill(leader)
        first = (await closing).unwrap()
        closed = await row(controls, "2026-11")
        assert 0 < closed.charged < REQUESTS * 10
        await spending
        await spend_all(controls, AFTER)
        assert (await controls.ledger.close_period("ledger-0", CLOSING, 60.0)).unwrap() == first
        assert await row(controls, "2026-11") == closed
        now_open = await row(controls, "")
        assert (now_open.charged_before, now_open.charged) == (
            closed.charged,
            REQUESTS * 10 - closed.charged,
        )
        query = ExceptionsQuery("", False, END, 0, 1_000)
        named = (await controls.ledger.exceptions("ledger-0", query, 60.0)).unwrap().rows
        late = [one for one in named if one.kind is ExceptionKind.LATE_PERIOD]
        assert sum(one.amount for one in late) == now_open.charged

    run_controls(test, seed)
