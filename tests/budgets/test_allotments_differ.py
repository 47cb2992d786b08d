"""Compare a fleet's allotments with one naive central ledger that receives every step.

Requests, top-ups, network partitions and host failures come in any order. The fleet never admits
what the central ledger would refuse. Without a partition, it refuses nothing that the central
ledger would admit. Once all connections are restored, it has billed exactly what was settled.
"""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from tests.budgets.money_stories import PLACES, SOUTH_PARTITIONED, make_request, on_fleet
from tests.fakes.money import MoneyFleet
from tests.naive.budget_schemes import Hold, Oracle

HOSTS = st.sampled_from(sorted(PLACES))
AMOUNTS = st.integers(1, 400)
STEPS = st.one_of(
    st.tuples(st.just("request"), HOSTS, AMOUNTS, st.integers(0, 100)),
    st.tuples(st.just("request"), HOSTS, AMOUNTS, st.integers(0, 100)),
    st.tuples(st.just("hold"), HOSTS, AMOUNTS),
    st.tuples(st.just("end"), st.booleans()),
    st.tuples(st.just("credit"), st.integers(1, 2000)),
    st.tuples(st.just("cut"), st.booleans()),
    st.tuples(st.just("heal")),
    st.tuples(st.just("restart"), HOSTS),
    st.tuples(st.just("wait"), st.sampled_from([1.0, 20.0, 120.0])),
)


class _FleetAndOracle:
    """Apply each step to the fleet and to the oracle."""

    def __init__(self, fleet: MoneyFleet) -> None:
        self.fleet = fleet
        self.oracle = Oracle(sorted(PLACES))
        self.settled = 0
        self.number = 0
        self.open: list[tuple[str, Any, Hold]] = []
        self.is_connected = True

    async def step(self, kind: str, *values: Any) -> None:
        await getattr(self, kind)(*values)

    async def reserve(self, host: str, bound: int) -> tuple[Any, Hold] | None:
        self.number += 1
        request = make_request(self.fleet, f"r{self.number}", bound)
        now = self.fleet.clock.now()
        answer = await self.fleet.host_by_name[host].allotments.reserve(request, now)
        hold = self.oracle.reserve(host, "main", bound, now)
        if isinstance(answer, Ok):
            assert hold is not None, "the fleet admitted a request that no host has the money for"
            return answer.ok_value, hold
        if hold is not None:
            self.oracle.settle(hold, 0, now)
            assert not self.is_connected, f"refused although there is money: {answer.err_value}"
        return None

    async def request(self, host: str, bound: int, percent: int) -> None:
        pair = await self.reserve(host, bound)
        if pair is not None:
            await self.settle(*pair, bound * percent // 100)

    async def settle(self, reservation: Any, hold: Hold, actual: int) -> None:
        assert await reservation.settle(actual, self.fleet.clock.now()) == Ok(None)
        self.oracle.settle(hold, actual, 0.0)
        self.settled += actual

    async def hold(self, host: str, bound: int) -> None:
        pair = await self.reserve(host, bound)
        if pair is not None:
            self.open.append((host, *pair))

    async def end(self, is_settled: bool) -> None:
        if not self.open:
            return
        _, reservation, hold = self.open.pop(0)
        if is_settled:
            await self.settle(reservation, hold, hold.bound // 2)
        else:
            reservation.release(self.fleet.clock.now())
            self.oracle.settle(hold, 0, 0.0)

    async def credit(self, amount: int) -> None:
        self.fleet.credit("main", amount)
        self.oracle.credit("main", amount, 0.0)

    async def cut(self, is_south: bool) -> None:
        self.fleet.net.cut(SOUTH_PARTITIONED if is_south else {"a1": 1, "a2": 1})
        self.is_connected = False

    async def heal(self) -> None:
        self.fleet.net.heal()

    async def restart(self, host: str) -> None:
        self.is_connected = False
        for entry in [entry for entry in self.open if entry[0] == host]:
            self.open.remove(entry)
            self.oracle.settle(entry[2], 0, 0.0)
        await self.fleet.host_by_name[host].kill()
        await self.fleet.host_by_name[host].start()

    async def wait(self, seconds: float) -> None:
        await self.fleet.clock.sleep(seconds)

    async def finish(self) -> None:
        """Restore all connections: the ledger has billed all that was settled, and no more."""
        self.fleet.net.heal()
        while self.open:
            await self.end(False)
        await self.fleet.clock.sleep(180.0)
        sums = self.fleet.sums("main")
        assert (sums.charged, sums.in_doubt) == (self.settled, 0)
        self.is_connected = True
        left = self.oracle.left["main"]
        if left > 0:
            await self.request("a1", left, 100)
            assert self.oracle.left["main"] == 0


@settings(derandomize=True, max_examples=40, deadline=None)
@given(steps=st.lists(STEPS, min_size=5, max_size=30))
def test_the_fleet_agrees_with_one_central_ledger(steps: list[tuple[Any, ...]]) -> None:
    async def scenario(fleet: MoneyFleet) -> None:
        pair = _FleetAndOracle(fleet)
        await pair.credit(3000)
        for step in steps:
            await pair.step(*step)
        await pair.finish()

    on_fleet(scenario, disks=("a1", "a2", "b1"))


RESTARTS_AND_PARTITION: list[tuple[Any, ...]] = [
    ("request", "b2", 186, 9),
    ("request", "a1", 2, 81),
    ("hold", "b3", 240),
    ("hold", "b3", 37),
    ("restart", "b2"),
    ("request", "b3", 12, 53),
    ("request", "b2", 47, 21),
    ("restart", "b3"),
    ("end", False),
    ("request", "a2", 362, 94),
    ("cut", True),
    ("request", "b2", 333, 55),
    ("credit", 19),
    ("credit", 377),
    ("end", False),
]


def test_money_of_restarted_hosts_is_available_soon_after_a_partition() -> None:
    """Hosts restart just before a partition, and their budget is refused 180 s after its end."""

    async def scenario(fleet: MoneyFleet) -> None:
        pair = _FleetAndOracle(fleet)
        await pair.credit(3000)
        for step in RESTARTS_AND_PARTITION:
            await pair.step(*step)
        await pair.finish()

    on_fleet(scenario, disks=("a1", "a2", "b1"))
