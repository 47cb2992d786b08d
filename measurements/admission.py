"""Measure what an entry host spends on admitting a request from its allotment."""

import asyncio
import gc
import random
import time
import tracemalloc
from typing import Any

import uvloop
from loguru import logger
from result import Err, Ok, Result

from cranberrywall.budgets import (
    EntryHost,
    HostAllotments,
    ReserveRequest,
    SpendPolicy,
    make_ledger_client,
)
from cranberrywall.budgets.allotments import make_allotments
from cranberrywall.budgets.ledger import make_ledger_machine
from cranberrywall.budgets.messages import (
    LEDGER_CODEC,
    ChargeBatch,
    ChargeBatchResult,
    ChargeOutcome,
    Credit,
    Holder,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Runtime, make_clock
from measurements._figures import report_figures
from tests.fakes.money import FakeHostView, FakePolicies

CALLERS = 2000
ROUNDS = 100
WARM_ROUNDS = 10
COMMIT_S = 0.005
BUDGETS = 20
IDLE_BUDGETS = 10_000
CREDIT = 10**9


_CHARGES = ChargeBatch.__name__.encode()


class _Control:
    """Answer as a ledger group does, after the time of a commit.

    Batches of charges are answered as billed without the ledger's own work, which another
    host does; everything else goes to the real ledger machine.
    """

    def __init__(self) -> None:
        self.machine = make_ledger_machine()
        self.messages = 0

    async def propose(self, group: str, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        self.messages += 1
        await asyncio.sleep(COMMIT_S)
        if _CHARGES in command[: len(_CHARGES) + 2]:
            batch: ChargeBatch = LEDGER_CODEC.decode(command)
            outcomes = (ChargeOutcome.BILLED,) * len(batch.charges)
            return Ok(LEDGER_CODEC.encode(ChargeBatchResult(outcomes)))
        return Ok(self.machine.apply(command))

    async def query(self, group: str, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        self.messages += 1
        await asyncio.sleep(COMMIT_S)
        return Ok(self.machine.query(query))

    async def supports(self, group: str, feature: str, timeout: float) -> Result[bool, Refusal]:
        return Ok(True)


class _Alone:
    """Be the only host of the fleet; nobody calls."""

    def alive(self) -> list[FakeHostView]:
        return [FakeHostView("e1", "p", "127.0.0.1:1", 1)]

    def register(self, method: object, handler: object) -> None:
        pass

    async def call(self, *_: object) -> Result[object, Refusal]:
        return Err(Refusal(ErrorKind.UNREACHABLE, "there is no peer"))


def _make(control: _Control) -> HostAllotments:
    alone: Any = _Alone()  # a caller that is never called
    no_network: Any = None
    runtime = Runtime(make_clock(), no_network, random.Random(1), None)
    return make_allotments(
        Holder("e1", 1),
        "p",
        make_ledger_client(control, 1),
        alone,
        lambda: [EntryHost("e1", "p", False)],
        FakePolicies(SpendPolicy()),
        alone,
        alone,
        runtime,
    )


def _credit(control: _Control, budget: str) -> None:
    credit = Credit(budget, "w", "tokens", CREDIT, f"c-{budget}", "op", time.time())
    control.machine.apply(LEDGER_CODEC.encode(credit))


async def _caller(allotments: HostAllotments, number: int, rounds: int) -> None:
    budget = f"budget-{number % BUDGETS}"
    for turn in range(rounds):
        now = time.monotonic()
        request = ReserveRequest("w", budget, f"{number}-{turn}-{rounds}", 700, now + 60.0)
        reservation = allotments.try_reserve(request, now)
        if reservation is None:
            answer = await allotments.reserve(request, now)
            assert isinstance(answer, Ok), answer
            reservation = answer.ok_value
        settled = await reservation.settle(400, now)
        assert isinstance(settled, Ok), settled


async def _admit(allotments: HostAllotments, rounds: int) -> None:
    await asyncio.gather(*(_caller(allotments, number, rounds) for number in range(CALLERS)))


async def _rate() -> tuple[float, float]:
    """Return admissions a second of processor time, and messages an admission."""
    control = _Control()
    for number in range(BUDGETS):
        _credit(control, f"budget-{number}")
    allotments = _make(control)
    await allotments.start()
    await _admit(allotments, WARM_ROUNDS)
    before = control.messages
    started = time.process_time()
    await _admit(allotments, ROUNDS)
    took = time.process_time() - started
    messages = control.messages - before
    await allotments.stop()
    admissions = CALLERS * ROUNDS
    return admissions / took, messages / admissions


async def _memory_per_budget() -> float:
    """Return the bytes that a budget costs which the host holds a share of."""
    control = _Control()
    for number in range(IDLE_BUDGETS):
        _credit(control, f"idle-{number}")
    allotments = _make(control)
    await allotments.start()
    gc.collect()
    tracemalloc.start()

    async def touch(first: int) -> None:
        for number in range(first, IDLE_BUDGETS, CALLERS):
            now = time.monotonic()
            request = ReserveRequest("w", f"idle-{number}", f"r{number}", 1, now + 60.0)
            answer = await allotments.reserve(request, now)
            assert isinstance(answer, Ok), answer
            answer.ok_value.release(now)

    before = tracemalloc.get_traced_memory()[0]
    machine_before = len(control.machine.snapshot())
    await asyncio.gather(*(touch(first) for first in range(CALLERS)))
    gc.collect()
    snapshot = tracemalloc.take_snapshot().filter_traces(
        [tracemalloc.Filter(False, "*_ledger_*"), tracemalloc.Filter(False, "*/tracemalloc.py")]
    )
    held = sum(statistic.size for statistic in snapshot.statistics("filename"))
    tracemalloc.stop()
    assert len(control.machine.snapshot()) > machine_before
    await allotments.stop()
    return (held - before) / IDLE_BUDGETS


def main() -> None:
    """Print the measurement's line."""
    logger.remove()
    per_second, messages = uvloop.run(_rate())
    report_figures(
        "admission",
        {
            "admissions_per_s": round(per_second),
            "messages_per_admission": messages,
            "memory_per_budget_bytes": round(uvloop.run(_memory_per_budget())),
        },
    )


if __name__ == "__main__":
    main()
