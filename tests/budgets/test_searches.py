"""Test how a host finds the last of a budget that many hosts hold parts of."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from result import Err, Ok

from cranberrywall.budgets import BudgetAssignment
from cranberrywall.budgets._peer_messages import TakeRequest
from cranberrywall.budgets.ledger import make_ledger_machine
from cranberrywall.budgets.messages import BudgetQuery
from cranberrywall.errors import ErrorKind
from tests.budgets.money_stories import make_request, refused, reserved
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.money import LEDGER, MoneyFleet

HOSTS = [f"h{number}" for number in range(30)]


def _on_many_hosts(scenario: Callable[[MoneyFleet], Awaitable[None]]) -> None:
    async def main() -> None:
        places = dict.fromkeys(HOSTS, "north")
        fleet = MoneyFleet(places, make_ledger_machine(), VirtualClock(), random.Random(5))
        await fleet.start()
        # Wait until each host's registration is committed.
        await fleet.clock.sleep(10.0)
        await scenario(fleet)
        await fleet.stop()

    run_virtual(main())


def test_parts_on_many_distant_hosts_are_gathered_in_time() -> None:
    """Thirty hosts hold a part each, and a call between hosts takes 40 ms.

    A request needs most of the parts. When the hosts were asked one after the other, that took
    longer than the request may wait, and it was refused although the money was there.
    """

    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 3000)
        for host in HOSTS:
            await reserved(fleet, host, f"small {host}", 1)
        fleet.net.delay_s = 0.02
        now = fleet.clock.now()
        allotments = fleet.host_by_name["h0"].allotments
        answer = await allotments.reserve(make_request(fleet, "large", 2700, max_wait_s=1.5), now)
        assert isinstance(answer, Ok), answer

    _on_many_hosts(scenario)


def test_hosts_that_give_nothing_use_up_no_numbers() -> None:
    """All that is left is reserved on thirty hosts, and one of them refuses request after request.

    Each refusal asks all the other hosts at the same time. If each of their answers used up a
    number, the ledger would soon refuse this host's transfers as too far ahead of the missing
    ones.
    """

    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 100 * len(HOSTS))
        for host in HOSTS:
            await reserved(fleet, host, f"open {host}", 100)
        numbers: list[int] = []

        def note(_: str, __: str, request: object) -> bool:
            if isinstance(request, TakeRequest):
                numbers.append(request.taker_number)
            return False

        fleet.net.lose_request = note
        for attempt in range(8):
            assert await refused(fleet, "h0", f"r{attempt}", 80) is ErrorKind.BUDGET_EXHAUSTED
        assert len(numbers) >= 8 * (len(HOSTS) - 1)
        assert max(numbers) <= len(HOSTS)

    _on_many_hosts(scenario)


def test_a_spent_budget_costs_one_read_a_refusal() -> None:
    """A budget is spent, and another request arrives long after the last refusal.

    The host has recorded that nothing was free, and asks the ledger again, by one read that
    returns both what is free and which hosts hold the rest.
    """

    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 100)
        first = await reserved(fleet, "h1", "first", 100)
        assert await first.settle(100, fleet.clock.now()) == Ok(None)
        await refused(fleet, "h0", "before", 50)
        for attempt in range(5):
            await fleet.clock.sleep(3.0)
            before = fleet.net.ledger_calls
            assert await refused(fleet, "h0", f"r{attempt}", 50) is ErrorKind.BUDGET_EXHAUSTED
            assert fleet.net.ledger_calls == before + 1

    _on_many_hosts(scenario)


def test_money_held_by_others_is_found_by_one_read() -> None:
    """The host has recorded that nothing is free at the ledger, and others hold money in parts.

    A draw would be refused, and a read would have to follow it. The host therefore reads
    immediately.
    """

    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 100)
        open_ = await reserved(fleet, "h1", "open", 100)
        await refused(fleet, "h0", "before", 50)
        await fleet.clock.sleep(3.0)
        open_.release(fleet.clock.now())
        before = fleet.net.ledger_calls
        await reserved(fleet, "h0", "next", 50)
        reads_and_transfers = fleet.net.ledger_calls - before
        assert reads_and_transfers == 2

    _on_many_hosts(scenario)


def test_hosts_that_were_only_refused_since_leave_the_ledger_alone() -> None:
    """Two hosts spend a budget, and all their later requests are refused.

    The hosts requested the ledger's sums again a minute later, because of requests that they had
    served earlier; two hundred hosts did so at the end of each busy budget.
    """

    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 100)
        for host, amount in (("h0", 40), ("h1", 60)):
            reservation = await reserved(fleet, host, f"all {host}", amount)
            assert await reservation.settle(amount, fleet.clock.now()) == Ok(None)
        for host in ("h0", "h1"):
            await refused(fleet, host, f"more {host}", 50)
        before = fleet.net.ledger_calls
        await fleet.clock.sleep(200.0)
        assert fleet.net.ledger_calls == before

    _on_many_hosts(scenario)


def test_small_shares_are_held_and_not_drawn_for_each_request() -> None:
    """A budget has three to four request bounds per host left, and each host serves one request.

    Hosts held nothing of such a small budget: each request cost a draw, and a return of what it
    had not spent.
    """

    async def serve(fleet: MoneyFleet, host: str, id_: str) -> None:
        reservation = await reserved(fleet, host, id_, 10)
        assert await reservation.settle(5, fleet.clock.now()) == Ok(None)

    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 50 * len(HOSTS))
        for turn in range(3):
            for host in HOSTS:
                await serve(fleet, host, f"{host} {turn}")
            await fleet.clock.sleep(200.0)
        before = fleet.net.ledger_calls - fleet.net.charge_calls
        for host in HOSTS:
            await serve(fleet, host, f"{host} last")
        await fleet.clock.sleep(1.0)
        assert fleet.net.ledger_calls - fleet.net.charge_calls - before < len(HOSTS)

    _on_many_hosts(scenario)


def test_a_request_waits_for_the_credit_that_its_configuration_sets() -> None:
    """Guards against the answer that a budget is spent before its total is credited."""

    async def scenario(fleet: MoneyFleet) -> None:
        fleet.budget_assignments.append(BudgetAssignment("main", "clerks", 1_000))
        first = asyncio.create_task(reserved(fleet, "h0", "first", 580))
        await fleet.clock.sleep(0.5)
        fleet.credit("main", 1_000)
        await first
        fleet.budget_assignments[:] = [BudgetAssignment("main", "clerks", 2_000)]
        raised = asyncio.create_task(reserved(fleet, "h0", "raised", 580))
        await fleet.clock.sleep(0.5)
        fleet.credit("main", 1_000)
        await raised

    _on_many_hosts(scenario)


def test_a_request_does_not_wait_long_for_a_credit_that_does_not_come() -> None:
    """Guards against callers that wait for a credit until their deadline."""

    async def scenario(fleet: MoneyFleet) -> None:
        fleet.budget_assignments.append(BudgetAssignment("main", "clerks", 1_000))
        allotments = fleet.host_by_name["h0"].allotments
        for bound, kind, longest_s in (
            (1_001, ErrorKind.BUDGET_EXHAUSTED, 0.5),
            (580, ErrorKind.BUDGET_UNREACHABLE, 2.5),
        ):
            now = fleet.clock.now()
            request = make_request(fleet, f"bound {bound}", bound, max_wait_s=20.0)
            answer = await allotments.reserve(request, now)
            assert isinstance(answer, Err)
            assert answer.err_value.kind is kind
            assert fleet.clock.now() - now < longest_s

    _on_many_hosts(scenario)


def test_money_that_is_freed_after_a_draw_is_drawn() -> None:
    """Guards against refusals for want of money while the ledger has enough of it.

    A draw finds nothing. Lost runs are bounded just then, and the read that follows shows what
    that frees.
    """

    async def scenario(fleet: MoneyFleet) -> None:
        fleet.credit("main", 10_000)
        await reserved(fleet, "h0", "small", 1)
        await reserved(fleet, "h1", "rest", 9_900)
        reads: list[str] = []

        def free_at_first_read(source: str, sink: str, request: object) -> bool:
            is_read = isinstance(request, bytes) and BudgetQuery.__name__.encode() in request
            if sink == LEDGER and is_read and not reads:
                reads.append(source)
                fleet.credit("main", 5_000)
            return False

        fleet.net.lose_request = free_at_first_read
        await reserved(fleet, "h0", "late", 4_000)
        assert reads == ["h0"]

    _on_many_hosts(scenario)
