"""Check what a host without a disk may spend while the ledger does not hear it."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok, Result

from cranberrywall.budgets import SpendPolicy
from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._messages_holders import FULL_UNREPORTED_DELAY_S, unreported_share
from cranberrywall.budgets.messages import (
    Charge,
    ChargeBatch,
    ChargeBatchResult,
    ChargeOutcome,
    Holder,
)
from cranberrywall.errors import ErrorKind, Refusal
from tests.fakes.clock import VirtualClock, run_virtual

HELD = 400
LOST = Err(Refusal(ErrorKind.TIMEOUT, "no answer"))
Answer = Callable[[ChargeBatch], Awaitable[Result[Any, Refusal]]]


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


def make_queue(ledger: Any, clock: VirtualClock) -> tuple[ChargeQueue, Allotment]:
    """Return a queue whose charges are kept at peers, and an allotment of ``HELD``."""
    peer: Any = AnyPeer()
    queue = ChargeQueue("ledger-0", Holder("b1", 1), ledger, peer, clock, is_bounded=True)
    allotment = Allotment("main", "clerks", SpendPolicy(), queue, clock.now())
    allotment.granted(HELD)
    return queue, allotment


def test_what_was_spent_unseen_counts_until_the_ledger_has_it() -> None:
    """A workspace gets more than its total: a host spent its bound twice and was killed.

    The ledger is back for one answer and silent again. What was spent meanwhile was on its way
    when that happened. Cause: the bound counted as new as soon as the command had gone out. The
    ledger keeps back one bound of a host that is lost, and frees the rest.
    """

    async def main() -> None:
        clock = VirtualClock()
        charges: list[asyncio.Task[Any]] = []

        def spend(number: int, amount: int) -> asyncio.Task[Any]:
            assert allotment.try_hold(amount)
            allotment.open(amount)
            charge = Charge("main", "clerks", f"id-{number}", number, amount, 0.0)
            charges.append(asyncio.ensure_future(queue.add(charge, allotment)))
            return charges[-1]

        async def billed_slowly(batch: ChargeBatch) -> Result[Any, Refusal]:
            spend(2, 5)
            await clock.sleep(0.2)
            return Ok(ChargeBatchResult((ChargeOutcome.BILLED,) * len(batch.charges)))

        async def noted_and_lost(batch: ChargeBatch) -> Result[Any, Refusal]:
            told.append(batch.contact)
            return LOST

        told: list[Any] = []
        queue, allotment = make_queue(OneByOne([lost, billed_slowly, noted_and_lost]), clock)
        queue.start()
        assert await spend(1, 15) == Ok(None)
        await clock.sleep(0.7)
        assert not queue.in_reach
        assert charges[1].done()
        # The ledger was told of what it has not got; the command was lost, and counts for nothing.
        spent_since = queue.reach.told_at
        assert [(one.is_detached, one.unseen) for one in told] == [(False, (("main", 5),))]
        assert allotment.usable < HELD // 4
        # As much as the bound allows after three seconds: it may be spent then, and no sooner.
        amount = int(unreported_share(3.0) * HELD) - 15 - 5
        allotment.spendable -= amount
        allotment.reserved += amount
        allotment.open(amount)
        charge = Charge("main", "clerks", "id-3", 3, amount, 0.0)
        third = asyncio.ensure_future(queue.add(charge, allotment))
        await clock.sleep(spent_since + 2.95 - clock.now())
        assert not third.done()
        await clock.sleep(0.2)
        assert third.done()
        await queue.stop()

    run_virtual(main())


def test_a_long_silence_lets_all_be_spent_and_gifts_come_on_top() -> None:
    """A cut lasts: a host goes on with what it has, and with what its peers give it."""

    async def main() -> None:
        clock = VirtualClock()
        queue, allotment = make_queue(OneByOne([]), clock)
        queue.contact()
        queue.reach.lose()
        at_once = allotment.usable
        assert 0 < at_once < HELD // 10
        assert allotment.try_give_unseen(allotment.take(at_once))
        assert allotment.usable == 0
        await clock.sleep(0.5)
        allotment.got_unseen(100, clock.now())
        allotment.granted(100)
        assert allotment.usable >= 100
        await clock.sleep(FULL_UNREPORTED_DELAY_S)
        assert allotment.usable == allotment.spendable == HELD - at_once + 100

    run_virtual(main())


def test_a_command_that_is_lost_on_its_way_renews_no_bound() -> None:
    """The way to the ledger comes and goes: a host spends in a cut, is in reach for a moment, and
    its next command is lost.

    It had told what it spent, and nobody had heard it. Had it begun to count anew, it could spend
    its bound once for each such moment, and the ledger would keep back one of them.
    """

    async def main() -> None:
        clock = VirtualClock()
        queue, allotment = make_queue(OneByOne([]), clock)
        queue.reach.record_answer(queue.contact())
        queue.reach.lose()
        await clock.sleep(1.0)
        spent = allotment.usable
        assert spent > 0
        assert allotment.try_give_unseen(allotment.take(spent))
        await clock.sleep(0.1)
        queue.reach.find()
        contact = queue.contact()
        queue.reach.lose()
        assert allotment.usable == 0
        queue.reach.record_answer(contact)
        assert allotment.usable > 0

    run_virtual(main())


def test_a_gift_that_was_asked_for_before_the_last_word_raises_no_bound() -> None:
    """The ledger counts a gift by when it was asked for: so does the host, or it spends more."""

    async def main() -> None:
        clock = VirtualClock()
        queue, allotment = make_queue(OneByOne([]), clock)
        asked_at = clock.now()
        await clock.sleep(0.1)
        queue.contact()
        queue.reach.lose()
        before = allotment.usable
        allotment.got_unseen(100, asked_at)
        allotment.granted(100)
        assert allotment.usable < before + 10

    run_virtual(main())


def test_a_command_that_overtakes_kept_charges_does_not_say_that_nothing_is_kept() -> None:
    """A workspace gets more than its total: a host is killed as a cut ends.

    Charges kept in the cut are on their way when a draw overtakes them and says that nothing
    is kept any more. The charges are lost with the host, and the ledger frees their money.
    """

    async def main() -> None:
        clock = VirtualClock()
        said: list[Any] = []

        async def billed_slowly(batch: ChargeBatch) -> Result[Any, Refusal]:
            second = Charge("main", "clerks", "id-2", 2, 5, 0.0)
            waits.append(asyncio.ensure_future(queue.add(second, allotment)))
            await clock.sleep(0.2)
            return Ok(ChargeBatchResult((ChargeOutcome.BILLED,) * len(batch.charges)))

        async def overtaken(batch: ChargeBatch) -> Result[Any, Refusal]:
            said.append(queue.contact().unseen)
            return Ok(ChargeBatchResult((ChargeOutcome.BILLED,) * len(batch.charges)))

        waits: list[asyncio.Task[Any]] = []
        queue, allotment = make_queue(OneByOne([lost, billed_slowly, overtaken]), clock)
        queue.start()
        allotment.take(15)
        first = Charge("main", "clerks", "id-1", 1, 15, 0.0)
        assert await queue.add(first, allotment) == Ok(None)
        await clock.sleep(1.0)
        assert said == [(("main", 5),)]
        assert queue.contact().unseen == ()
        await queue.stop()

    run_virtual(main())


def test_a_charge_that_is_kept_while_a_commit_waits_is_committed_once() -> None:
    """A workspace gets more than its total after a leader froze for some seconds.

    A commit waits for a correction to be answered, and a draw finds the ledger lost meanwhile: the
    charges that wait are kept at peers. The commit goes on and sends them too. Counted twice as
    committed, they leave the host with less than is booked to it, which it claims and spends.
    """

    class SlowCorrections(OneByOne):
        async def correct(self, group: str, command: Any, timeout: float) -> Result[Any, Refusal]:
            await clock.sleep(0.2)
            return Ok(None)

        async def charge(self, batch: ChargeBatch, timeout: float) -> Result[Any, Refusal]:
            return Ok(ChargeBatchResult((ChargeOutcome.BILLED,) * len(batch.charges)))

    async def main() -> None:
        queue, allotment = make_queue(SlowCorrections([]), clock)
        queue.start()

        def spend(number: int) -> tuple[Charge, asyncio.Task[Any]]:
            assert allotment.try_hold(10)
            allotment.open(10)
            charge = Charge("main", "clerks", f"id-{number}", number, 10, 0.0, is_open=True)
            return charge, asyncio.ensure_future(queue.add(charge, allotment))

        first, added = spend(1)
        assert await added == Ok(None)
        queue.correct(first, 10, allotment)
        _, second = spend(2)
        await clock.sleep(0.1)
        await queue.lost(Refusal(ErrorKind.TIMEOUT, "no answer"))
        await clock.sleep(3.0)
        assert second.done()
        assert (allotment.charging, queue.uncommitted) == (0, 0)
        await queue.stop()

    clock = VirtualClock()
    run_virtual(main())
