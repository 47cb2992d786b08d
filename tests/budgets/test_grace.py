"""Check what a host without a disk may spend before it counts as cut off."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok, Result

from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._messages_holders import DETACH_AFTER_S
from cranberrywall.budgets.messages import (
    Charge,
    ChargeBatch,
    ChargeBatchResult,
    ChargeOutcome,
    Holder,
)
from cranberrywall.errors import ErrorKind, Refusal
from tests.fakes.clock import VirtualClock, run_virtual

GRACE = 20
LOST = Err(Refusal(ErrorKind.TIMEOUT, "no answer"))
Answer = Callable[[ChargeBatch], Awaitable[Result[Any, Refusal]]]


class Allotment:
    """Allow a grace, and forget the rest."""

    grace = GRACE

    def committed(self, amount: int) -> None:
        pass

    granted = refunded = drop = committed

    def take_charge_number(self) -> int:
        return 0


class OneByOne:
    """Answer each batch of charges as the next of ``answers`` does, then not at all."""

    def __init__(self, answers: list[Answer]) -> None:
        self._answers = answers

    async def charge(self, batch: ChargeBatch, timeout: float) -> Result[Any, Refusal]:
        return await self._answers.pop(0)(batch) if self._answers else LOST

    async def recalls(self, group: str, query: Any, timeout: float) -> Result[Any, Refusal]:
        return LOST


class AnyPeer:
    """Keep all."""

    def choose(self, now: float) -> tuple[Holder, ...]:
        return ()

    async def keep(self, kept: Any, at: Any) -> Result[None, Refusal]:
        return Ok(None)

    async def committed(self, kept: Any) -> None:
        pass


async def lost(batch: ChargeBatch) -> Result[Any, Refusal]:
    return LOST


def test_a_grace_is_not_spent_again_before_the_ledger_has_what_was_spent_of_it() -> None:
    """A workspace gets more than its total: a host spent its grace twice and was killed.

    The ledger is back for one answer and silent again. What was spent meanwhile was on its way
    when that happened. Cause: the grace counted as new as soon as the command had gone out. The
    ledger keeps back one grace of a host that is lost, and frees the rest.
    """

    async def main() -> None:
        clock = VirtualClock()
        charges: list[asyncio.Task[Any]] = []

        def spend(number: int, amount: int) -> asyncio.Task[Any]:
            charge = Charge("main", "clerks", f"id-{number}", number, amount, 0.0)
            charges.append(asyncio.ensure_future(queue.add(charge, Allotment())))
            return charges[-1]

        async def billed_slowly(batch: ChargeBatch) -> Result[Any, Refusal]:
            spend(2, 5)
            await clock.sleep(0.2)
            return Ok(ChargeBatchResult((ChargeOutcome.BILLED,) * len(batch.charges)))

        ledger: Any = OneByOne([lost, billed_slowly, lost])
        peer: Any = AnyPeer()
        queue = ChargeQueue("ledger-0", Holder("b1", 1), ledger, peer, clock, DETACH_AFTER_S)
        queue.start()
        assert await spend(1, 15) == Ok(None)
        await clock.sleep(0.7)
        assert not queue.in_reach
        assert charges[1].done()
        third = spend(3, GRACE)
        await clock.sleep(0.5)
        assert not third.done()
        await clock.sleep(DETACH_AFTER_S)
        assert third.done()
        await queue.stop()

    run_virtual(main())


def test_a_command_that_overtakes_kept_charges_does_not_say_that_nothing_is_kept() -> None:
    """A workspace gets more than its total: a host is killed as a cut ends.

    Charges kept in the cut are on their way when a draw overtakes them and says that nothing
    is kept any more. The charges are lost with the host, and the ledger frees their money.
    """

    async def main() -> None:
        clock = VirtualClock()
        said: list[bool] = []

        async def billed_slowly(batch: ChargeBatch) -> Result[Any, Refusal]:
            second = Charge("main", "clerks", "id-2", 2, 5, 0.0)
            waits.append(asyncio.ensure_future(queue.add(second, Allotment())))
            await clock.sleep(0.2)
            return Ok(ChargeBatchResult((ChargeOutcome.BILLED,) * len(batch.charges)))

        async def overtaken(batch: ChargeBatch) -> Result[Any, Refusal]:
            said.append(queue.contact().is_detached)
            return Ok(ChargeBatchResult((ChargeOutcome.BILLED,) * len(batch.charges)))

        waits: list[asyncio.Task[Any]] = []
        ledger: Any = OneByOne([lost, billed_slowly, overtaken])
        peer: Any = AnyPeer()
        queue = ChargeQueue("ledger-0", Holder("b1", 1), ledger, peer, clock, DETACH_AFTER_S)
        queue.start()
        first = Charge("main", "clerks", "id-1", 1, 15, 0.0)
        assert await queue.add(first, Allotment()) == Ok(None)
        await clock.sleep(1.0)
        assert said == [True]
        assert not queue.contact().is_detached
        await queue.stop()

    run_virtual(main())
