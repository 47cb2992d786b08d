"""A loss of power of all hosts withholds little of a budget."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import pairwise

import pytest
from result import Ok

from cranberrywall.budgets import BudgetAssignment, ReserveRequest, SpendPolicy
from cranberrywall.budgets._allotments import CONTACT_INTERVAL_S, MAX_CONTACTS_PER_S
from cranberrywall.budgets.ledger import make_ledger_machine
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.money import LEDGER, MoneyFleet, MoneyHost

PLACES = ("p0", "p1", "p2", "p3", "p4")
HOSTS = {f"h{number}": PLACES[number % len(PLACES)] for number in range(19)}
BUSY_PLACE = "p1"
BUSY_PLACE_SHARE = 0.6
CREDIT = 2_000_000
MEAN_COST = 8_000
REQUESTS_PER_S = 5.0
IDLE_S = 8.0
BUSY_S = 34.0
DOWN_S = 1.1
SETTLED_S = 5.0
MAX_BOOKED_SHARE = 0.05
TIMER_SLACK_S = 0.05
RARE_REQUESTS = 12


@asynccontextmanager
async def make_fleet(seed: int) -> AsyncIterator[MoneyFleet]:
    """Run a fleet whose one budget has a credit that no host has drawn from yet."""
    rng = random.Random(seed)
    fleet = MoneyFleet(
        HOSTS, make_ledger_machine(), VirtualClock(), rng, SpendPolicy(held_back=0.02)
    )
    fleet.budget_assignments = [BudgetAssignment("main", "clerks", CREDIT)]
    fleet.credit("main", CREDIT)
    await fleet.start()
    yield fleet
    await fleet.stop()


async def send_requests(fleet: MoneyFleet, seconds: float) -> None:
    """Send requests one after the other, most of them to the hosts of one place."""
    until = fleet.clock.now() + seconds
    count = 0
    while fleet.clock.now() < until:
        await fleet.clock.sleep(fleet.random.uniform(0.0, 2.0 / REQUESTS_PER_S))
        count += 1
        await send_request(fleet, draw_host(fleet), f"r{count}")


async def send_request(fleet: MoneyFleet, host: MoneyHost, request_id: str) -> None:
    now = host.clock.now()
    cost = round(fleet.random.uniform(0.2, 1.8) * MEAN_COST)
    request = ReserveRequest("clerks", "main", request_id, cost, now + 1.0)
    reserved = await host.allotments.reserve(request, now)
    if isinstance(reserved, Ok) and isinstance(await reserved.ok_value.begin(now), Ok):
        await reserved.ok_value.settle(cost, now)


def draw_host(fleet: MoneyFleet) -> MoneyHost:
    is_busy = fleet.random.random() < BUSY_PLACE_SHARE
    hosts = [
        host for host in fleet.host_by_name.values() if not is_busy or host.place == BUSY_PLACE
    ]
    return hosts[fleet.random.randrange(0, len(hosts))]


async def lose_power(fleet: MoneyFleet) -> None:
    """Let all hosts lose their power, and start them again."""
    for host in fleet.host_by_name.values():
        await host.kill()
        host.lose_power()
    await fleet.clock.sleep(DOWN_S)
    for host in fleet.host_by_name.values():
        await host.start()


def booked_to_lost_runs(fleet: MoneyFleet) -> int:
    """Return what the ledger books to incarnations that have ended."""
    return sum(
        held.outstanding
        for held in fleet.sums("main").held
        if held.holder.incarnation < fleet.host_by_name[held.holder.host].incarnation
    )


@pytest.mark.parametrize("seed", range(4))
def test_a_loss_of_power_of_all_hosts_withholds_at_most_a_twentieth_of_a_budget(seed: int) -> None:
    """Requests are refused for want of money that lost hosts have not spent.

    The ledger has to assume that they spent it out of its reach.
    """

    async def main() -> None:
        async with make_fleet(seed) as fleet:
            await fleet.clock.sleep(IDLE_S)
            await send_requests(fleet, BUSY_S)
            await lose_power(fleet)
            await fleet.clock.sleep(SETTLED_S)
            sums = fleet.sums("main")
            assert sums.charged >= 0.4 * CREDIT
            assert booked_to_lost_runs(fleet) <= MAX_BOOKED_SHARE * CREDIT

    run_virtual(main())


def test_a_host_contacts_the_ledger_once_per_interval() -> None:
    """A late contact: what the host held then is taken for spent if it is lost before the next."""

    async def main() -> None:
        async with make_fleet(seed=1) as fleet:
            await fleet.clock.sleep(IDLE_S)
            sent_at = record_commands(fleet, "h3")
            interval_s = max(CONTACT_INTERVAL_S, len(HOSTS) / MAX_CONTACTS_PER_S)
            for number in range(RARE_REQUESTS):
                await fleet.clock.sleep(fleet.random.uniform(0.5, 2.5) * interval_s)
                await send_request(fleet, fleet.host_by_name["h3"], f"r{number}")
            gaps_s = [later - earlier for earlier, later in pairwise(sent_at)]
            assert len(gaps_s) >= RARE_REQUESTS
            assert max(gaps_s) <= interval_s + TIMER_SLACK_S

    run_virtual(main())


def record_commands(fleet: MoneyFleet, host: str) -> list[float]:
    """Return a list that gets the time of each of the host's calls to the ledger."""
    sent_at: list[float] = []

    def record(source: str, sink: str, request: object) -> bool:
        if (source, sink) == (host, LEDGER):
            sent_at.append(fleet.clock.now())
        return False

    fleet.net.lose_request = record
    return sent_at
