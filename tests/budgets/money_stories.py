"""Helpers for tests of allotments: a small fleet, its requests, and common steps."""

import random
from collections.abc import Awaitable, Callable, Collection
from typing import Any

from result import Err, Ok

from cranberrywall.budgets import Reservation, ReserveRequest, SpendPolicy
from cranberrywall.budgets.ledger import make_ledger_machine
from cranberrywall.errors import ErrorKind
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.money import MoneyFleet
from tests.fakes.storage import FakeStorage

PLACES = {"a1": "north", "a2": "north", "b1": "south", "b2": "south", "b3": "south"}
SOUTH_PARTITIONED = {"b1": 1, "b2": 1, "b3": 1}
Scenario = Callable[[MoneyFleet], Awaitable[None]]


def on_fleet(
    scenario: Scenario, disks: Collection[str] = (), policy: SpendPolicy | None = None
) -> None:
    """Run a test scenario on a started fleet, in virtual time."""

    async def main() -> None:
        storages = {host: FakeStorage(random.Random(7)) for host in disks}
        fleet = MoneyFleet(
            PLACES, make_ledger_machine(), VirtualClock(), random.Random(5), policy, storages
        )
        await fleet.start()
        await scenario(fleet)
        await fleet.stop()

    run_virtual(main())


def make_request(
    fleet: MoneyFleet, id_: str, bound: int, max_wait_s: float = 3.0
) -> ReserveRequest:
    """Return a request against the budget ``main``."""
    return ReserveRequest("clerks", "main", id_, bound, fleet.clock.now() + max_wait_s)


async def reserved(fleet: MoneyFleet, host: str, id_: str, bound: int) -> Reservation:
    """Reserve, and assert that it succeeds; return the reservation."""
    allotments = fleet.host_by_name[host].allotments
    answer = await allotments.reserve(make_request(fleet, id_, bound), fleet.clock.now())
    assert isinstance(answer, Ok), answer
    return answer.ok_value


async def refused(fleet: MoneyFleet, host: str, id_: str, bound: int) -> ErrorKind:
    """Reserve, and assert that it is refused; return the kind of the refusal."""
    allotments = fleet.host_by_name[host].allotments
    answer = await allotments.reserve(make_request(fleet, id_, bound), fleet.clock.now())
    assert isinstance(answer, Err), "the reservation was granted"
    return answer.err_value.kind


async def spend(fleet: MoneyFleet, host: str, id_: str, amount: int) -> Any:
    """Reserve and settle; return the result of settling."""
    reservation = await reserved(fleet, host, id_, amount)
    return await reservation.settle(amount, fleet.clock.now())


async def spend_all(fleet: MoneyFleet, host: str, name: str, amount: int) -> int:
    """Spend in steps of ``amount`` until a reservation is refused; return the sum."""
    spent = 0
    while True:
        allotments = fleet.host_by_name[host].allotments
        request = make_request(fleet, f"{name}-{spent}", amount)
        answer = await allotments.reserve(request, fleet.clock.now())
        if isinstance(answer, Err):
            return spent
        assert await answer.ok_value.settle(amount, fleet.clock.now()) == Ok(None)
        spent += amount
