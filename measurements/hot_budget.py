"""Measure one budget that 7, 50 and 200 hosts draw on at once, down to its last unit."""

import asyncio
import random
from typing import NamedTuple

from loguru import logger
from result import Err

from cranberrywall.budgets import ReserveRequest
from cranberrywall.budgets.ledger import make_ledger_machine
from measurements._figures import report_figures
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.money import MoneyFleet

SIZES = (7, 50, 200)
PLACES = 4
REQUESTS_PER_HOST = 150
RATE_PER_HOST = 0.5
BOUND_LOW, BOUND_HIGH = 50, 150
SPENT_PART = 0.5
TAKES_S = 0.5
# The budget covers this part of the demand, so that it runs out under full load.
COVERED = 0.9
LAST_PART = 0.01


class Figures(NamedTuple):
    """Hold one size's sums; messages are to the ledger, ``charges`` are batches of them."""

    requests: int
    messages: int
    charges: int
    refusals: int
    false_refusals: int
    false_in_last_part: int
    overspend: int


class _Run:
    def __init__(self, size: int) -> None:
        self._size = size
        self._clock = VirtualClock()
        names = {f"e{number}": f"p{number % PLACES}" for number in range(size)}
        self._machine = make_ledger_machine()
        self._fleet = MoneyFleet(names, self._machine, self._clock, random.Random(1))
        mean = (BOUND_LOW + BOUND_HIGH) / 2.0 * SPENT_PART
        self._credit = round(size * REQUESTS_PER_HOST * mean * COVERED)
        self._spent = 0
        self._held = 0
        self._refusals = 0
        self._false = 0
        self._false_in_last_part = 0

    async def run(self) -> Figures:
        fleet = self._fleet
        await fleet.start()
        await self._clock.sleep(10.0)
        fleet.credit("hot", self._credit)
        fleet.net.ledger_calls = 0
        await asyncio.gather(*(self._load(host) for host in fleet.host_by_name))
        messages, charges = fleet.net.ledger_calls, fleet.net.charge_calls
        await self._clock.sleep(5.0)
        await fleet.stop()
        return Figures(
            self._size * REQUESTS_PER_HOST,
            messages - charges,
            charges,
            self._refusals,
            self._false,
            self._false_in_last_part,
            max(0, self._spent - self._credit),
        )

    async def _load(self, host: str) -> None:
        chance = random.Random(f"hot {host}")
        requests = []
        for number in range(REQUESTS_PER_HOST):
            await self._clock.sleep(chance.expovariate(RATE_PER_HOST))
            bound = chance.randint(BOUND_LOW, BOUND_HIGH)
            actual = max(1, round(bound * chance.uniform(0.0, 2.0 * SPENT_PART)))
            requests.append(
                asyncio.ensure_future(self._serve(host, f"{host}-{number}", bound, actual))
            )
        await asyncio.gather(*requests)

    async def _serve(self, host: str, id_: str, bound: int, actual: int) -> None:
        now = self._clock.now()
        allotments = self._fleet.host_by_name[host].allotments
        answer = await allotments.reserve(ReserveRequest("w", "hot", id_, bound, now + 5.0), now)
        if isinstance(answer, Err):
            self._refuse(bound)
            return
        self._held += bound
        await self._clock.sleep(TAKES_S)
        self._held -= bound
        self._spent += actual
        await answer.ok_value.settle(actual, self._clock.now())

    def _refuse(self, bound: int) -> None:
        self._refusals += 1
        left = self._credit - self._spent
        if bound > left - self._held:
            return
        self._false += 1
        if left <= LAST_PART * self._credit:
            self._false_in_last_part += 1


def main() -> None:
    """Print the measurement's line."""
    logger.remove()
    by_size = {size: run_virtual(_Run(size).run()) for size in SIZES}
    figures: dict[str, int | float | str] = {}
    for size, one in by_size.items():
        figures[f"ledger_messages_per_request_{size}"] = one.messages / one.requests
        figures[f"charge_batches_per_request_{size}"] = one.charges / one.requests
        figures[f"refusals_{size}"] = one.refusals
        figures[f"false_refusals_{size}"] = one.false_refusals
        figures[f"false_refusals_last_percent_{size}"] = one.false_in_last_part
    figures["requests"] = sum(one.requests for one in by_size.values())
    figures["overspend"] = sum(one.overspend for one in by_size.values())
    report_figures("hot_budget", figures)


if __name__ == "__main__":
    main()
