"""Closing of a period while charges are in flight and the leader loses power."""

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
from tests.control.hosts import ControlCluster, run_controls

END = 1_796_083_200.0
HOLDERS = [Holder("entry-a", 1), Holder("entry-b", 1), Holder("entry-c", 1)]
REQUESTS = 30
BEFORE, MEANWHILE, AFTER = range(1, 11), range(11, 21), range(21, 31)
CLOSING = ClosePeriod("2026-11", END, "ann", END + 1.0)


async def spend(cluster: ControlCluster, holder: Holder, numbers: range) -> None:
    """Charge requests reserved just before the period ends; the client resends lost calls."""
    for number in numbers:
        # Several hosts charge the same request id, as after a retry by the caller.
        charge = Charge("desk", "clerks", f"r{number}", number, 10, END - 30.0 + number / 10)
        batch = ChargeBatch(holder, (charge,), END)
        answer = await cluster.ledger.charge(batch, 60.0)
        assert answer.unwrap().outcomes[0] in (ChargeOutcome.BILLED, ChargeOutcome.DUPLICATE)


async def spend_all(cluster: ControlCluster, numbers: range) -> None:
    await asyncio.gather(*(spend(cluster, holder, numbers) for holder in HOLDERS))


async def row(cluster: ControlCluster, period: str) -> ReportRow:
    query = ReportQuery(period, "", "", 10)
    (found,) = (await cluster.ledger.report("ledger-0", query, 60.0)).unwrap().rows
    spent = found.charged_before + found.charged + found.charged_after
    assert found.credited == spent + found.outstanding + found.in_doubt + found.free
    return found


@pytest.mark.parametrize("seed", range(3))
def test_every_request_is_in_one_period_and_billed_once(seed: int):
    """Three hosts deliver charges of the last minute of a month, most ids more than once.

    An operator closes the month meanwhile, and the ledger's leader loses power during the
    closing. The operator sends the closing again. Each request must be in exactly one of the two
    reports, and the report of the closed period must not change any more.
    """

    async def test(cluster: ControlCluster) -> None:
        await cluster.ledger.credit(
            Credit("desk", "clerks", "tokens", 5_000, "c1", "ann", END - 100.0), 60.0
        )
        for holder in HOLDERS:
            await cluster.ledger.draw(Draw("desk", holder, 1, 1_000, 1, END - 60.0), 60.0)
        await spend_all(cluster, BEFORE)
        spending = asyncio.create_task(spend_all(cluster, MEANWHILE))
        leader = await cluster.wait_for_leader()
        closing = asyncio.create_task(cluster.ledger.close_period("ledger-0", CLOSING, 60.0))
        await asyncio.sleep(0.002 * seed)
        await cluster.kill(leader)
        first = (await closing).unwrap()
        closed = await row(cluster, "2026-11")
        assert 0 < closed.charged < REQUESTS * 10
        await spending
        await spend_all(cluster, AFTER)
        assert (await cluster.ledger.close_period("ledger-0", CLOSING, 60.0)).unwrap() == first
        assert await row(cluster, "2026-11") == closed
        now_open = await row(cluster, "")
        assert (now_open.charged_before, now_open.charged) == (
            closed.charged,
            REQUESTS * 10 - closed.charged,
        )
        query = ExceptionsQuery("", False, END, 0, 1_000)
        exceptions = (await cluster.ledger.exceptions("ledger-0", query, 60.0)).unwrap().rows
        late = [one for one in exceptions if one.kind is ExceptionKind.LATE_PERIOD]
        assert sum(one.amount for one in late) == now_open.charged

    run_controls(test, seed)
