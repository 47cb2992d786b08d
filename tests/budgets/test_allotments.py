"""Test how money is reserved and settled for one request while the ledger is in reach."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from result import Err, Ok

from cranberrywall.budgets import Reservation, ReserveRequest
from cranberrywall.budgets.ledger import make_ledger_machine
from cranberrywall.errors import ErrorKind
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.money import MoneyFleet

PLACES = {"a1": "north", "a2": "north", "b1": "south"}


def on_fleet(scenario: Callable[[MoneyFleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = MoneyFleet(PLACES, make_ledger_machine(), VirtualClock(), random.Random(5))
        await fleet.start()
        await scenario(fleet)
        await fleet.stop()

    run_virtual(main())


def make_request(number: int, bound: int, deadline: float = 1e9) -> ReserveRequest:
    return ReserveRequest("clerks", "main", f"r{number}", bound, deadline)


async def reserved(fleet: MoneyFleet, host: str, request: ReserveRequest) -> Reservation:
    answer = await fleet.host_by_name[host].allotments.reserve(request, fleet.clock.now())
    assert isinstance(answer, Ok), answer
    return answer.ok_value


def test_a_settled_request_is_charged_once_and_the_rest_is_free_again() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 1000)
        held = await reserved(fleet, "a1", make_request(1, 400))
        assert await held.settle(150, fleet.clock.now()) == Ok(None)
        assert await held.settle(150, fleet.clock.now()) == Ok(None)
        assert fleet.sums("main").charged == 150
        assert isinstance(await reserved(fleet, "a1", make_request(2, 850)), object)

    on_fleet(scenario)


def test_a_target_past_its_bound_costs_no_more_than_was_reserved() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 1000)
        held = await reserved(fleet, "a1", make_request(1, 100))
        assert await held.settle(170, fleet.clock.now()) == Ok(None)
        assert fleet.sums("main").charged == 100

    on_fleet(scenario)


def test_a_released_request_costs_nothing() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 100)
        (await reserved(fleet, "a1", make_request(1, 100))).release(fleet.clock.now())
        (await reserved(fleet, "a1", make_request(2, 100))).release(fleet.clock.now())
        assert fleet.sums("main").charged == 0

    on_fleet(scenario)


def test_requests_after_the_first_need_no_message_until_the_allotment_is_spent() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 1_000_000)
        await reserved(fleet, "a1", make_request(0, 10))
        await fleet.clock.sleep(1.0)
        calls = fleet.net.calls
        allotments = fleet.host_by_name["a1"].allotments
        for number in range(1, 100):
            assert allotments.try_reserve(make_request(number, 10), fleet.clock.now()) is not None
        assert fleet.net.calls == calls

    on_fleet(scenario)


def test_an_unknown_budget_is_exhausted() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        answer = await fleet.host_by_name["a1"].allotments.reserve(
            make_request(1, 1), fleet.clock.now()
        )
        assert isinstance(answer, Err)
        assert answer.err_value.kind is ErrorKind.BUDGET_EXHAUSTED

    on_fleet(scenario)


def test_money_that_idle_hosts_hold_serves_the_last_request() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 300)
        for host in PLACES:
            held = await reserved(fleet, host, make_request(hash(host), 10))
            held.release(fleet.clock.now())
        held = await reserved(fleet, "b1", make_request(1, 300))
        assert await held.settle(300, fleet.clock.now()) == Ok(None)
        assert fleet.sums("main").charged == 300

    on_fleet(scenario)


def test_a_request_waits_for_an_open_reservation_that_would_cover_it() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 100)
        first = await reserved(fleet, "a1", make_request(1, 100))
        second = asyncio.create_task(reserved(fleet, "a1", make_request(2, 60)))
        await fleet.clock.sleep(2.0)
        assert not second.done()
        await first.settle(30, fleet.clock.now())
        assert (await second).bound == 60

    on_fleet(scenario)


def test_a_request_that_no_reservation_could_cover_is_refused_immediately() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 100)
        await reserved(fleet, "a1", make_request(1, 100))
        started_at = fleet.clock.now()
        answer = await fleet.host_by_name["a1"].allotments.reserve(make_request(2, 101), started_at)
        assert isinstance(answer, Err)
        assert answer.err_value.kind is ErrorKind.BUDGET_EXHAUSTED
        assert fleet.clock.now() - started_at < 0.1

    on_fleet(scenario)


def test_a_caller_that_goes_away_while_waiting_leaves_nothing_reserved() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 100)
        first = await reserved(fleet, "a1", make_request(1, 100))
        second = asyncio.create_task(reserved(fleet, "a1", make_request(2, 60)))
        await fleet.clock.sleep(1.0)
        first.release(fleet.clock.now())
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        assert (await reserved(fleet, "a1", make_request(3, 100))).bound == 100

    on_fleet(scenario)


def test_an_isolated_host_can_still_stop() -> None:
    """A host is stopped while the ledger is out of reach: it reports an error in good time."""

    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 1000)
        held = await reserved(fleet, "a1", make_request(1, 100))
        fleet.net.cut({"a1": 1})
        await held.settle(40, fleet.clock.now())
        started_at = fleet.clock.now()
        assert isinstance(await fleet.host_by_name["a1"].allotments.hand_back(), Err)
        assert fleet.clock.now() - started_at < 30.0

    on_fleet(scenario)


def test_the_state_names_what_is_held_and_what_waits() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 1000)
        await reserved(fleet, "a1", make_request(1, 100))
        state = fleet.host_by_name["a1"].allotments.state()
        assert state["largest"]["main"]["reserved"] == 100
        assert state["groups"]["ledger-0"]["in_reach"] is True

    on_fleet(scenario)


def test_handing_back_returns_all_that_is_held() -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 1000)
        held = await reserved(fleet, "a1", make_request(1, 100))
        await held.settle(40, fleet.clock.now())
        assert await fleet.host_by_name["a1"].allotments.hand_back() == Ok(None)
        assert fleet.sums("main")[2:7] == (1000, 40, 0, 0, 960)

    on_fleet(scenario)
