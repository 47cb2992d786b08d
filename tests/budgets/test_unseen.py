"""Test what a diskless host may spend while it cannot report to the ledger."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok, Result

from cranberrywall.budgets import SpendPolicy
from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._unreported_bound import FULL_UNREPORTED_DELAY_S, unreported_share
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


class ScriptedLedger:
    """Ledger that answers each batch of charges by the next of ``answers``, then not at all."""

    def __init__(self, answers: list[Answer]) -> None:
        self._answers = answers

    async def charge(self, batch: ChargeBatch, timeout: float) -> Result[Any, Refusal]:
        return await self._answers.pop(0)(batch) if self._answers else LOST

    async def recalls(self, group: str, query: Any, timeout: float) -> Result[Any, Refusal]:
        return LOST


class FakeReplicator:
    """Peer that stores everything."""

    def choose_replica_holders(self, now: float) -> tuple[Holder, ...]:
        return ()

    async def persist(self, kept: Any, at: Any) -> Result[None, Refusal]:
        return Ok(None)

    async def committed(self, kept: Any) -> None:
        pass


async def lost(batch: ChargeBatch) -> Result[Any, Refusal]:
    return LOST


def make_queue(ledger: Any, clock: VirtualClock) -> tuple[ChargeQueue, Allotment]:
    """Return a queue whose charges are replicated to peers, and an allotment of ``HELD``."""
    peer: Any = FakeReplicator()
    queue = ChargeQueue("ledger-0", Holder("b1", 1), ledger, peer, clock, is_bounded=True)
    allotment = Allotment("main", "clerks", SpendPolicy(), queue, clock.now())
    allotment.granted(HELD)
    return queue, allotment


def test_what_was_spent_unreported_counts_until_the_ledger_has_it() -> None:
    """A workspace gets more than its total: a host spent its bound twice and was killed.

    The ledger answers once and is unresponsive again. A report of what was spent meanwhile was in
    flight at that time. Cause: the bound was reset as soon as the command had been sent. The
    ledger withholds one bound of a host that is lost, and frees the rest.
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

        async def record_and_lose(batch: ChargeBatch) -> Result[Any, Refusal]:
            contacts.append(batch.contact)
            return LOST

        contacts: list[Any] = []
        queue, allotment = make_queue(ScriptedLedger([lost, billed_slowly, record_and_lose]), clock)
        queue.start()
        assert await spend(1, 15) == Ok(None)
        await clock.sleep(0.7)
        assert not queue.in_reach
        assert charges[1].done()
        # The command reported what the ledger does not have; it was lost, and has no effect.
        spent_since = queue.reach.last_sent_at
        assert [(one.is_detached, one.unseen) for one in contacts] == [(False, (("main", 5),))]
        assert allotment.usable < HELD // 4
        # The amount that the bound allows after three seconds: it may be spent then, and no
        # sooner.
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


def test_a_long_partition_lets_all_be_spent_and_received_transfers_come_on_top() -> None:
    """In a long partition a host spends all that it holds, and what its peers give it."""

    async def main() -> None:
        clock = VirtualClock()
        queue, allotment = make_queue(ScriptedLedger([]), clock)
        queue.contact()
        queue.reach.mark_out_of_reach()
        at_once = allotment.usable
        assert 0 < at_once < HELD // 10
        assert allotment.try_give_unreported(allotment.take(at_once))
        assert allotment.usable == 0
        await clock.sleep(0.5)
        allotment.add_unreported_receipt(100, clock.now())
        allotment.granted(100)
        assert allotment.usable >= 100
        await clock.sleep(FULL_UNREPORTED_DELAY_S)
        assert allotment.usable == allotment.spendable == HELD - at_once + 100

    run_virtual(main())


def test_a_command_that_is_lost_in_flight_resets_no_bound() -> None:
    """A host spends in a partition, reaches the ledger for a moment, and loses its next command.

    The lost command reported what was spent. If it had reset the count, the host could spend its
    bound once for each such moment, and the ledger would withhold only one bound.
    """

    async def main() -> None:
        clock = VirtualClock()
        queue, allotment = make_queue(ScriptedLedger([]), clock)
        queue.reach.record_answer(queue.contact())
        queue.reach.mark_out_of_reach()
        await clock.sleep(1.0)
        spent = allotment.usable
        assert spent > 0
        assert allotment.try_give_unreported(allotment.take(spent))
        await clock.sleep(0.1)
        queue.reach.mark_in_reach()
        contact = queue.contact()
        queue.reach.mark_out_of_reach()
        assert allotment.usable == 0
        queue.reach.record_answer(contact)
        assert allotment.usable > 0

    run_virtual(main())


def test_a_transfer_that_was_requested_before_the_last_command_raises_no_bound() -> None:
    """The ledger counts a transfer by the time of its request. The host must do the same.

    Otherwise it would spend more than the bound.
    """

    async def main() -> None:
        clock = VirtualClock()
        queue, allotment = make_queue(ScriptedLedger([]), clock)
        asked_at = clock.now()
        await clock.sleep(0.1)
        queue.contact()
        queue.reach.mark_out_of_reach()
        before = allotment.usable
        allotment.add_unreported_receipt(100, asked_at)
        allotment.granted(100)
        assert allotment.usable < before + 10

    run_virtual(main())


def test_a_command_that_overtakes_replicated_charges_does_not_report_that_none_are_left() -> None:
    """A workspace gets more than its total: a host is killed when a partition ends.

    Charges replicated in the partition are in flight when a draw overtakes them and reports that
    none are left. The charges are lost with the host, and the ledger frees their money.
    """

    async def main() -> None:
        clock = VirtualClock()
        unseen_amounts: list[Any] = []

        async def billed_slowly(batch: ChargeBatch) -> Result[Any, Refusal]:
            second = Charge("main", "clerks", "id-2", 2, 5, 0.0)
            waits.append(asyncio.ensure_future(queue.add(second, allotment)))
            await clock.sleep(0.2)
            return Ok(ChargeBatchResult((ChargeOutcome.BILLED,) * len(batch.charges)))

        async def overtaken(batch: ChargeBatch) -> Result[Any, Refusal]:
            unseen_amounts.append(queue.contact().unseen)
            return Ok(ChargeBatchResult((ChargeOutcome.BILLED,) * len(batch.charges)))

        waits: list[asyncio.Task[Any]] = []
        queue, allotment = make_queue(ScriptedLedger([lost, billed_slowly, overtaken]), clock)
        queue.start()
        allotment.take(15)
        first = Charge("main", "clerks", "id-1", 1, 15, 0.0)
        assert await queue.add(first, allotment) == Ok(None)
        await clock.sleep(1.0)
        assert unseen_amounts == [(("main", 5),)]
        assert queue.contact().unseen == ()
        await queue.stop()

    run_virtual(main())


def test_a_charge_that_is_replicated_while_a_commit_waits_is_committed_once() -> None:
    """A workspace gets more than its total after a leader paused for some seconds.

    A commit waits for the answer to a correction. Meanwhile a draw finds the ledger out of reach,
    and the waiting charges are replicated to peers. The commit then continues and sends them too.
    If they are counted as committed twice, the host holds less than is booked to it, and claims
    and spends the difference.
    """

    class SlowCorrections(ScriptedLedger):
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
        await queue.mark_out_of_reach(Refusal(ErrorKind.TIMEOUT, "no answer"))
        await clock.sleep(3.0)
        assert second.done()
        assert (allotment.charging, queue.uncommitted) == (0, 0)
        await queue.stop()

    clock = VirtualClock()
    run_virtual(main())
