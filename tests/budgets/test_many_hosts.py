"""Requests that are larger than one host's part of a budget arrive at many of 191 hosts at once."""

import asyncio
import random
from typing import NamedTuple

from result import Ok

from cranberrywall.budgets import BudgetAssignment, ReserveRequest, SpendPolicy
from cranberrywall.budgets._sizing import MAX_FIRST_PARTS
from cranberrywall.budgets.ledger import make_ledger_machine
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.money import MoneyFleet

HOSTS = 191
PLACE_COUNT = 5
BOUND = 17_000
MAX_WAIT_S = 2.0
SETTLE_S = 12.0
"""Time after a start in which hosts draw their parts, in seconds."""

MEAN_BOUNDS = (17_000, 17_000, 9_000, 1_600, 1_600)
MIXED_REQUESTS_PER_S = 5.9
MIXED_MAX_WAIT_S = 4.0
RUN_S = 1.0
CONNECTED_S = 6.4
CUT_S = 7.6
MIN_SERVED_SHARE = 0.95


class Herd(NamedTuple):
    """Result of requests that arrived together; ``calls`` are messages a request."""

    served: int
    slowest_s: float
    calls: float


def make_fleet(credit: int) -> MoneyFleet:
    hosts = {f"h{number:03}": f"p{number % PLACE_COUNT}" for number in range(HOSTS)}
    policy = SpendPolicy(held_back=0.02)
    fleet = MoneyFleet(hosts, make_ledger_machine(), VirtualClock(), random.Random(2), policy)
    fleet.budget_assignments = [BudgetAssignment("main", "clerks", credit)]
    fleet.credit("main", credit)
    return fleet


def send_herd(requests: int, credit: int, gap_s: float) -> Herd:
    """Send requests to random hosts, ``gap_s`` apart on average, before any other request."""

    async def main() -> Herd:
        draws = random.Random(1)
        fleet = make_fleet(credit)
        await fleet.start()
        await fleet.clock.sleep(SETTLE_S)
        calls_before = fleet.net.calls

        async def reserve(number: int) -> float | None:
            await fleet.clock.sleep(draws.uniform(0.0, 2.0 * gap_s * requests))
            now = fleet.clock.now()
            request = ReserveRequest("clerks", "main", f"r{number}", BOUND, now + MAX_WAIT_S)
            host = fleet.host_by_name[draws.choice(list(fleet.host_by_name))]
            answer = await host.allotments.reserve(request, now)
            return fleet.clock.now() - now if isinstance(answer, Ok) else None

        waits = await asyncio.gather(*(reserve(number) for number in range(requests)))
        calls = (fleet.net.calls - calls_before) / requests
        await fleet.stop()
        served = [wait for wait in waits if wait is not None]
        return Herd(len(served), max(served), calls)

    return run_virtual(main())


def test_hosts_that_start_together_do_not_all_draw_from_each_budget() -> None:
    """191 hosts drew a part of each budget as they started, and returned most of it later."""

    async def main() -> int:
        fleet = make_fleet(500_000)
        await fleet.start()
        await fleet.clock.sleep(SETTLE_S)
        sums = fleet.sums("main")
        assert sums.outstanding > 0.9 * sums.credited
        commands = fleet.net.ledger_calls
        await fleet.stop()
        return commands

    # A registration, two draws of each holder of a part, and some contacts a second.
    assert run_virtual(main()) < HOSTS + 3 * MAX_FIRST_PARTS + 16 * SETTLE_S


def test_hosts_that_search_at_once_do_not_all_refuse() -> None:
    """Each host collected a part of the money, and refused as the others withheld theirs."""
    herd = send_herd(requests=28, credit=500_000, gap_s=0.0005)
    assert herd.served == 28
    assert herd.slowest_s < MAX_WAIT_S / 4


def test_a_first_request_does_not_collect_from_most_hosts() -> None:
    """Every host held a 191st, and a request took dozens of messages to collect what it needed."""
    herd = send_herd(requests=20, credit=2_000_000, gap_s=0.001)
    assert herd.served == 20
    assert herd.calls < 10


def test_isolated_hosts_find_the_money_that_others_hold() -> None:
    """Half of the requests were refused in a partition, though most of the money was not spent.

    A budget has a part at each of over a hundred hosts. All other hosts asked the same 16 of them.
    """

    async def main() -> float:
        fleet = make_fleet(2_400_000)
        draws = random.Random(3)
        await fleet.start()
        await fleet.clock.sleep(SETTLE_S)
        await send_mixed_requests(fleet, draws, CONNECTED_S)
        fleet.net.cut(dict.fromkeys(fleet.host_by_name, 1))
        served_share = await send_mixed_requests(fleet, draws, CUT_S)
        await fleet.stop()
        return served_share

    assert run_virtual(main()) >= MIN_SERVED_SHARE


async def send_mixed_requests(fleet: MoneyFleet, draws: random.Random, seconds: float) -> float:
    """Send requests of all sizes to random hosts, and return the share that is served."""
    until = fleet.clock.now() + seconds
    requests: list[asyncio.Future[bool]] = []
    while fleet.clock.now() < until:
        host = draws.choice(list(fleet.host_by_name))
        bound = round(draws.choice(MEAN_BOUNDS) * draws.uniform(0.4, 1.6))
        requests.append(asyncio.ensure_future(spend(fleet, host, f"{host} {until}", bound)))
        await fleet.clock.sleep(draws.expovariate(MIXED_REQUESTS_PER_S))
    served = sum(await asyncio.gather(*requests))
    return served / len(requests)


async def spend(fleet: MoneyFleet, host: str, request_id: str, bound: int) -> bool:
    allotments, now = fleet.host_by_name[host].allotments, fleet.clock.now()
    reserved = await allotments.reserve(
        ReserveRequest("clerks", "main", f"{request_id} {now}", bound, now + MIXED_MAX_WAIT_S), now
    )
    if not isinstance(reserved, Ok):
        return False
    if not isinstance(await reserved.ok_value.begin(fleet.clock.now()), Ok):
        return False
    await fleet.clock.sleep(RUN_S)
    await reserved.ok_value.settle(bound, fleet.clock.now())
    return True
