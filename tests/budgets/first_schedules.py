"""Run a random schedule of requests and failures on a fleet, and track overspending.

The fleet consists of the real allotments and the real ledger, on fake connections in virtual time.
A request may have consumed money from the moment when its charge is durable: its full bound until
it is settled, the amount used after that, and its full bound if its host was killed.

This module stays as it was when its seeds revealed faults: other random draws would give other
schedules for the same seeds.
"""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from result import Err

from cranberrywall.budgets import ReserveRequest, SpendPolicy
from cranberrywall.budgets.ledger import make_ledger_machine
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.money import MoneyFleet

PLACE_COUNT = 4
FIRST_CREDIT = 40_000
CREDIT_RAISE = 8_000
BOUNDS = (50, 400, 3_000)
MAX_DOWNTIME_S = 3.0
MAX_WAIT_S = 1.0


class ScheduleResult(NamedTuple):
    """Result of a schedule; ``max_overspend`` is the maximum overspend at any moment."""

    delivered: int
    credited: int
    max_overspend: int
    served: int
    refused: int


class Schedule:
    """Run one fleet with one seed for ``length_s`` seconds of virtual time."""

    def __init__(self, seed: int, hosts: int, length_s: float) -> None:
        self._random = random.Random(seed)
        self._length_s = length_s
        places = {f"h{number}": f"p{number % PLACE_COUNT}" for number in range(hosts)}
        self._fleet = MoneyFleet(
            places,
            make_ledger_machine(),
            VirtualClock(),
            random.Random(seed + 1),
            SpendPolicy(held_back=0.1),
        )
        self._incarnation_by_host = dict.fromkeys(places, 0)
        self._credited = 0
        self._delivered = 0
        self._max_overspend = 0
        self._served = 0
        self._refused = 0
        self._is_over = False
        self._requests: set[asyncio.Task[None]] = set()

    async def play(self) -> ScheduleResult:
        """Run the schedule to its end, and return what was delivered and credited."""
        fleet = self._fleet
        fleet.net.extra_delay_s = self._delay_s
        await fleet.start()
        await fleet.clock.sleep(self._random.uniform(0.0, 8.0))
        self._credit(FIRST_CREDIT)
        callers = [asyncio.create_task(self._call(host)) for host in fleet.host_by_name]
        await self._cause_failures()
        fleet.net.heal()
        await fleet.clock.sleep(10.0)
        self._is_over = True
        await asyncio.gather(*callers)
        await asyncio.gather(*self._requests)
        await fleet.stop()
        return ScheduleResult(
            self._delivered, self._credited, self._max_overspend, self._served, self._refused
        )

    def _delay_s(self) -> float:
        # Usually some milliseconds; sometimes long enough for other steps to overtake.
        return self._random.choice((0.0, 0.001, 0.005, 0.1))

    def _credit(self, amount: int) -> None:
        self._credited += amount
        self._fleet.credit("main", amount)

    async def _call(self, host: str) -> None:
        while not self._is_over:
            await self._fleet.clock.sleep(self._random.expovariate(5.0))
            if self._fleet.host_by_name[host].is_up:
                task = asyncio.create_task(self._request(host))
                self._requests.add(task)
                task.add_done_callback(self._requests.discard)

    async def _request(self, host: str) -> None:
        fleet, incarnation = self._fleet, self._incarnation_by_host[host]
        allotments = fleet.host_by_name[host].allotments
        bound = self._random.choice(BOUNDS) + self._random.randrange(50)
        id_ = f"r{self._random.getrandbits(60):x}"
        now = fleet.clock.now()
        request = ReserveRequest("clerks", "main", id_, bound, now + MAX_WAIT_S)
        answer = await allotments.reserve(request, now)
        if self._incarnation_by_host[host] != incarnation:
            return
        if isinstance(answer, Err):
            self._refused += 1
            return
        reservation = answer.ok_value
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                started = await reservation.begin(fleet.clock.now())
        except TimeoutError:
            started = None
        if self._incarnation_by_host[host] != incarnation:
            return
        if started is None or isinstance(started, Err):
            reservation.release(fleet.clock.now())
            return
        self._served += 1
        self._deliver(bound)
        await fleet.clock.sleep(self._random.uniform(0.02, 1.0))
        if self._incarnation_by_host[host] != incarnation:
            return
        used = self._random.choice((bound, bound * 3 // 4, 0))
        self._deliver(used - bound)
        await reservation.settle(used, fleet.clock.now())

    def _deliver(self, amount: int) -> None:
        self._delivered += amount
        self._max_overspend = max(self._max_overspend, self._delivered - self._credited)

    async def _cause_failures(self) -> None:
        failures: list[Callable[[], object]] = [
            self._partition_all,
            self._partition_some,
            self._partition_all_and_kill_all,
            self._kill_some,
            self._lose_messages,
            lambda: self._credit(CREDIT_RAISE),
        ]
        until = self._fleet.clock.now() + self._length_s
        while self._fleet.clock.now() < until:
            await self._fleet.clock.sleep(self._random.uniform(0.0, 3.0))
            done = self._random.choice(failures)()
            if asyncio.iscoroutine(done):
                await done

    async def _partition_all(self) -> None:
        self._fleet.net.cut(dict.fromkeys(self._fleet.host_by_name, 1))
        await self._fleet.clock.sleep(self._random.uniform(0.2, 9.0))
        self._fleet.net.heal()

    async def _partition_some(self) -> None:
        self._fleet.net.cut(dict.fromkeys(self._some(), 1))
        await self._fleet.clock.sleep(self._random.uniform(0.2, 9.0))
        self._fleet.net.heal()

    async def _partition_all_and_kill_all(self) -> None:
        self._fleet.net.cut(dict.fromkeys(self._fleet.host_by_name, 1))
        await self._fleet.clock.sleep(self._random.uniform(0.2, 9.0))
        if self._random.random() < 0.5:
            self._fleet.net.heal()
            await self._fleet.clock.sleep(self._random.uniform(0.0, 1.5))
        await self._kill(list(self._fleet.host_by_name))
        self._fleet.net.heal()

    async def _kill_some(self) -> None:
        await self._kill(self._some())

    async def _kill(self, hosts: list[str]) -> None:
        for host in hosts:
            self._incarnation_by_host[host] += 1
            await self._fleet.host_by_name[host].kill()
        await self._fleet.clock.sleep(self._random.uniform(0.0, MAX_DOWNTIME_S))
        for host in hosts:
            await self._fleet.host_by_name[host].start()

    async def _lose_messages(self) -> None:
        share = self._random.choice((0.05, 0.3))
        net = self._fleet.net
        net.lose_request = net.lose_reply = lambda *_: self._random.random() < share
        await self._fleet.clock.sleep(self._random.uniform(0.5, 5.0))
        net.lose_request = net.lose_reply = lambda *_: False

    def _some(self) -> list[str]:
        names = sorted(self._fleet.host_by_name)
        return self._random.sample(names, self._random.randrange(1, len(names)))


def play(seed: int, hosts: int = 5, length_s: float = 60.0) -> ScheduleResult:
    """Run one schedule."""
    return run_virtual(Schedule(seed, hosts, length_s).play())
