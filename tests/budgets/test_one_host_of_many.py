"""All callers of a workspace use one of 70 hosts, before the hosts lose the ledger and after."""

import asyncio
import random
from typing import NamedTuple

import pytest
from result import Err, Ok

from cranberrywall.budgets import BudgetAssignment, ReserveRequest, SpendPolicy
from cranberrywall.budgets.ledger import make_ledger_machine
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.money import MoneyFleet

HOSTS = 70
PLACE_COUNT = 5
BUSY_HOST = "h07"
SETTLE_S = 14.0
"""Time after a start in which hosts draw their parts, in seconds."""

REQUESTS_PER_S = 40.0
BOUND = 11_000
COST = 7_000
RUN_S = 1.5
DEADLINE_S = 6.0
WAIT_SHARE = 0.4
"""Share of a request's time that it waits for money, as in ``forwarding``."""

CREDIT = 9_700_000
FULL_LINK_QUEUE_S = 0.15
"""Time that a message waits at a full link, in seconds."""

SERVED_SHARE = 0.95
MAX_CALLS = 6.0
"""Messages a request: its charge, the correction, and two copies of each in a cut."""

CONNECTED_S = 6.0
CUT_S = 8.7


class Phase(NamedTuple):
    """Requests of one phase: how many arrived and were served, and messages for each of them."""

    arrived: int
    served: int
    calls: float


def make_fleet() -> MoneyFleet:
    hosts = {f"h{number:02}": f"p{number % PLACE_COUNT}" for number in range(HOSTS)}
    fleet = MoneyFleet(
        hosts, make_ledger_machine(), VirtualClock(), random.Random(2), SpendPolicy(held_back=0.02)
    )
    fleet.budget_assignments = [BudgetAssignment("main", "clerks", CREDIT)]
    fleet.credit("main", CREDIT)
    return fleet


async def serve(fleet: MoneyFleet, name: str) -> bool:
    """Spend for one request at the busy host, and return whether it was served."""
    now = fleet.clock.now()
    request = ReserveRequest("clerks", "main", name, BOUND, now + WAIT_SHARE * DEADLINE_S)
    reserved = await fleet.host_by_name[BUSY_HOST].allotments.reserve(request, now)
    if isinstance(reserved, Err):
        return False
    reservation = reserved.ok_value
    begun = await reservation.begin(fleet.clock.now())
    if isinstance(begun, Err):
        reservation.release(fleet.clock.now())
        return False
    await fleet.clock.sleep(RUN_S)
    settled = await reservation.settle(COST, fleet.clock.now())
    return isinstance(settled, Ok)


async def play(fleet: MoneyFleet, draws: random.Random, name: str, seconds: float) -> Phase:
    """Send requests for some seconds and return their outcomes."""
    calls, until = fleet.net.calls, fleet.clock.now() + seconds
    tasks: list[asyncio.Future[bool]] = []
    while fleet.clock.now() < until:
        tasks.append(asyncio.ensure_future(serve(fleet, f"{name}{len(tasks)}")))
        await fleet.clock.sleep(draws.expovariate(REQUESTS_PER_S))
    calls = fleet.net.calls - calls
    return Phase(len(tasks), sum(await asyncio.gather(*tasks)), calls / len(tasks))


def play_days(seed: int, queue_s: float) -> tuple[Phase, Phase]:
    """Return the requests before and during a cut of all hosts from the ledger.

    Each message of the busy host waits ``queue_s`` seconds at its link.
    """

    async def main() -> tuple[Phase, Phase]:
        draws = random.Random(seed)
        fleet = make_fleet()
        await fleet.start()
        await fleet.clock.sleep(SETTLE_S)
        fleet.net.queue_s_by_node[BUSY_HOST] = queue_s
        before = await play(fleet, draws, "before", CONNECTED_S)
        fleet.net.cut(dict.fromkeys(fleet.host_by_name, 1))
        during = await play(fleet, draws, "cut", CUT_S)
        assert fleet.sums("main").charged <= CREDIT
        await fleet.stop()
        return before, during

    return run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
def test_a_host_with_a_full_link_serves_while_the_ledger_answers(seed: int) -> None:
    """It took slow answers for a lost ledger, and refused what it could have paid for."""
    before, _ = play_days(seed, FULL_LINK_QUEUE_S)
    assert before.served >= SERVED_SHARE * before.arrived


@pytest.mark.parametrize("seed", range(2))
def test_a_host_with_a_full_link_serves_in_a_cut(seed: int) -> None:
    """It held an even part of its place's money, and collected the rest request by request."""
    _, during = play_days(seed, FULL_LINK_QUEUE_S)
    assert during.served >= SERVED_SHARE * during.arrived


def test_money_is_collected_in_few_messages() -> None:
    """A host asked dozens of others again and again, each time for the money of one request."""
    before, during = play_days(0, queue_s=0.0)
    assert before.calls < MAX_CALLS
    assert during.calls < MAX_CALLS
