"""Help the stories about money: small fleets, requests, and their checks."""

import random
from collections.abc import Awaitable, Callable, Collection
from typing import Any

from result import Err, Ok

from cranberrywall.budgets import Reservation, ReserveRequest, SpendPolicy, make_ledger_machine
from cranberrywall.errors import ErrorKind
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.money import MoneyFleet
from tests.fakes.storage import FakeStorage

PLACES = {"a1": "north", "a2": "north", "b1": "south", "b2": "south", "b3": "south"}
SOUTH_PARTITIONED = {"b1": 1, "b2": 1, "b3": 1}
Story = Callable[[MoneyFleet], Awaitable[None]]


def on_fleet(
    scenario: Story, disks: Collection[str] = (), policy: SpendPolicy | None = None
) -> None:
    """Tell a story on a fleet that has started, in virtual time."""

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
    """Return a request of the budget ``main``."""
    return ReserveRequest("clerks", "main", id_, bound, fleet.clock.now() + max_wait_s)


async def reserved(fleet: MoneyFleet, host: str, id_: str, bound: int) -> Reservation:
    """Reserve, which must succeed."""
    allotments = fleet.host_by_name[host].allotments
    answer = await allotments.reserve(make_request(fleet, id_, bound), fleet.clock.now())
    assert isinstance(answer, Ok), answer
    return answer.ok_value


async def refused(fleet: MoneyFleet, host: str, id_: str, bound: int) -> ErrorKind:
    """Reserve, which must be refused; gives the kind."""
    allotments = fleet.host_by_name[host].allotments
    answer = await allotments.reserve(make_request(fleet, id_, bound), fleet.clock.now())
    assert isinstance(answer, Err), "it was served"
    return answer.err_value.kind


async def spend(fleet: MoneyFleet, host: str, id_: str, amount: int) -> Any:
    """Reserve and settle; gives the result of settling."""
    reservation = await reserved(fleet, host, id_, amount)
    return await reservation.settle(amount, fleet.clock.now())


async def spend_all(fleet: MoneyFleet, host: str, name: str, amount: int) -> int:
    """Spend in steps of ``amount`` until refused; gives the sum spent."""
    spent = 0
    while True:
        allotments = fleet.host_by_name[host].allotments
        request = make_request(fleet, f"{name}-{spent}", amount)
        answer = await allotments.reserve(request, fleet.clock.now())
        if isinstance(answer, Err):
            return spent
        assert await answer.ok_value.settle(amount, fleet.clock.now()) == Ok(None)
        spent += amount
