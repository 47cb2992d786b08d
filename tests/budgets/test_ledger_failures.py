"""Late, repeated and reordered messages, and those of dead holders, must not bill wrongly."""

import pytest

from cranberrywall.budgets.ledger import IdLimits
from cranberrywall.budgets.messages import (
    Accepted,
    ChargeOutcome,
    ConfirmDead,
    ConfirmDeadResult,
    Credit,
    ExceptionKind,
    ExceptionRow,
    ExceptionsQuery,
    RegisterHolder,
    RegisterResult,
    Rejected,
    ResolveDoubt,
    Return,
    Transfer,
    TransferResult,
)
from cranberrywall.errors import ErrorKind
from tests.budgets.ledgers import A1, A2, B1, C1, NOW, Ledger


def make_funded_ledger(amount: int = 100, limits: IdLimits | None = None) -> Ledger:
    ledger = Ledger(limits)
    ledger.credit(amount)
    return ledger


def listed_exceptions(ledger: Ledger, now: float = NOW) -> list[ExceptionRow]:
    rows: tuple[ExceptionRow, ...] = ledger.query(ExceptionsQuery("", False, now, 0, 100)).rows
    assert all(row.reason and row.remedy for row in rows)
    return list(rows)


def test_a_charge_resent_through_another_host_is_billed_once():
    """Host A settles a request and loses the ledger's answer; two replica holders have a copy.

    A dies, and both replica holders deliver the charge of A's incarnation. The request must be
    billed once.
    """
    ledger = make_funded_ledger()
    ledger.draw(A1, 1, 50)
    for _ in range(3):
        assert ledger.charge(A1, "r1", 1, 20) is ChargeOutcome.BILLED
        ledger.restart()
    assert ledger.sums().charged == 20
    assert listed_exceptions(ledger) == []


def test_two_hosts_that_charge_one_id_bill_it_once():
    """A request runs at host A, and its retry at host B, which cannot detect the first run.

    Both settle. The second charge to arrive is listed as a duplicate and not billed. Its amount
    stays with the host that sent it, also when that charge is sent again.
    """
    ledger = make_funded_ledger()
    ledger.draw(A1, 1, 50)
    ledger.draw(B1, 1, 50)
    assert ledger.charge(A1, "r1", 1, 20) is ChargeOutcome.BILLED
    for _ in range(3):
        assert ledger.charge(B1, "r1", 1, 30) is ChargeOutcome.DUPLICATE
        ledger.restart()
    assert (ledger.sums().charged, ledger.sums().outstanding) == (20, 80)
    (row,) = listed_exceptions(ledger)
    assert (row.kind, row.holder, row.amount) == (ExceptionKind.DUPLICATE, B1, 30)


def test_late_charges_of_an_old_incarnation_are_billed_from_what_it_held():
    """Host A dies with charges in its journal, and restarts.

    Its new incarnation draws before the old charges are delivered. The old remainder must not be
    freed until then, or other hosts would spend what A had already spent.
    """
    ledger = make_funded_ledger()
    ledger.draw(A1, 1, 60)
    assert ledger.apply(RegisterHolder(A2, False, NOW)) == RegisterResult(0, 60)
    assert ledger.draw(A2, 1, 100).granted == 40
    (row,) = listed_exceptions(ledger)
    assert (row.kind, row.amount) == (ExceptionKind.DEAD_HOLDER, 60)
    assert ledger.charge(A1, "r1", 1, 25) is ChargeOutcome.BILLED
    for _ in range(2):
        assert ledger.apply(RegisterHolder(A2, True, NOW)) == RegisterResult(35, 0)
        ledger.restart()
    assert (ledger.sums().charged, ledger.sums().free) == (25, 35)
    assert listed_exceptions(ledger) == []


def test_an_old_incarnation_gets_nothing_new():
    """A draw of host A is delayed in the network while A dies and restarts.

    If it were granted on its late arrival, the amount would belong to a process that has ended.
    """
    ledger = make_funded_ledger()
    ledger.draw(A1, 1, 10)
    ledger.apply(RegisterHolder(A2, True, NOW))
    assert ledger.draw(A1, 2, 10).kind == ErrorKind.CONFLICT
    assert ledger.apply(RegisterHolder(A1, True, NOW)).kind == ErrorKind.CONFLICT
    assert ledger.apply(Return("desk", A1, 1, 10, NOW)) == Accepted()
    assert ledger.sums().free == 100


def test_a_charge_that_comes_after_its_money_was_freed_is_billed_only_while_money_is_free():
    """Two people confirm that host A is dead, but it was only partitioned.

    Its remainder is freed and partly drawn by B. Then A's charges arrive. The free amount still
    covers the first one. The second one would overspend, so it is withheld and listed, and can be
    billed once after a top-up.
    """
    ledger = make_funded_ledger()
    ledger.draw(A1, 1, 60)
    for _ in range(2):
        confirm = ConfirmDead(A1, "ann", "bob", NOW)
        assert ledger.apply(confirm) == ConfirmDeadResult(60)
        ledger.restart()
    assert ledger.draw(B1, 1, 70).granted == 70
    assert ledger.charge(A1, "r1", 1, 20) is ChargeOutcome.BILLED
    for _ in range(2):
        assert ledger.charge(A1, "r2", 2, 30) is ChargeOutcome.IN_DOUBT
        ledger.restart()
    assert (ledger.sums().charged, ledger.sums().in_doubt, ledger.sums().free) == (20, 10, 0)
    row = listed_exceptions(ledger)[-1]
    assert (row.kind, row.amount, row.held) == (ExceptionKind.UNFUNDED, 30, 10)
    resolve = ResolveDoubt(row.number, True, "ann", "bob", NOW)
    assert ledger.apply(resolve).kind == ErrorKind.BUDGET_EXHAUSTED
    ledger.credit(50, "c2")
    for _ in range(2):
        assert ledger.apply(resolve) == Accepted()
    assert (ledger.sums().charged, ledger.sums().in_doubt, ledger.sums().free) == (50, 0, 30)
    assert ledger.apply(resolve._replace(bill=False)).kind == ErrorKind.CONFLICT


@pytest.mark.parametrize(("operator", "approver"), [("ann", "ann"), ("ann", ""), ("", "bob")])
def test_one_person_alone_cannot_confirm_a_death(operator: str, approver: str):
    ledger = make_funded_ledger()
    ledger.draw(A1, 1, 60)
    refused = ledger.apply(ConfirmDead(A1, operator, approver, NOW))
    assert (refused.kind, refused.field) == (ErrorKind.FORBIDDEN, "approver")
    assert ledger.sums().outstanding == 60


def test_a_confirmed_death_does_not_touch_the_next_incarnation():
    ledger = make_funded_ledger()
    ledger.draw(A1, 1, 10)
    ledger.apply(ConfirmDead(A1, "ann", "bob", NOW))
    assert ledger.draw(A1, 2, 10).kind == ErrorKind.CONFLICT
    assert ledger.draw(A2, 1, 10).granted == 10
    assert ledger.apply(ConfirmDead(A1, "ann", "bob", NOW)) == ConfirmDeadResult(10)
    assert ledger.sums().outstanding == 10


def test_a_top_up_that_is_resent_is_credited_once():
    """An operator's top-up loses its answer in a partition and is sent again for hours.

    The ledger's host restarts in between. If the top-up were credited twice, the budget would be
    spent beyond what was paid.
    """
    ledger = Ledger()
    for _ in range(5):
        assert ledger.credit(100) == Accepted()
        ledger.restart()
    assert ledger.sums().credited == 100


def test_a_budget_of_exactly_one_request_is_spent_by_one_holder():
    """Two hosts draw the last 7 tokens at the same time, each for one request of 7.

    One gets all of them, and the other gets the answer that nothing is free. A part of the 7 for
    each of them would be of no use to either.
    """
    ledger = make_funded_ledger(7)
    assert ledger.draw(A1, 1, 7, minimum=7).granted == 7
    refused = ledger.draw(B1, 1, 7, minimum=7)
    assert (refused.granted, refused.free, refused.outstanding) == (0, 0, 7)
    assert ledger.charge(A1, "r1", 1, 7) is ChargeOutcome.BILLED
    assert ledger.draw(A1, 2, 1).granted == 0
    assert ledger.sums().charged == 7


def transfer(recipient_number: int, amount: int = 20, donor_number: int = 1) -> Transfer:
    return Transfer("desk", B1, donor_number, A1, recipient_number, amount, NOW)


@pytest.mark.parametrize("reports", [(0, 1), (1, 0), (0,), (1,), (0, 0, 1, 1)])
def test_a_transfer_moves_once_whoever_reports_it(reports: tuple[int, ...]):
    """B gives 20 to A. Either may die before its report, and both may report twice.

    If the amount were moved twice, A's later charges would be deducted from B's own money.
    """
    ledger = make_funded_ledger()
    ledger.draw(B1, 1, 50)
    for recipient_number in reports:
        assert ledger.apply(transfer(recipient_number)) == TransferResult(20)
        ledger.restart()
    held = {one.holder: one.outstanding for one in ledger.sums().held}
    assert held == {A1: 20, B1: 30}


def test_transfers_with_numbers_of_both_sides_are_distinguished():
    """B gives to A twice. A reports the first transfer, and B the second one, before A does.

    B's report has no number of A. If it were taken for the first transfer, the second amount would
    be lost.
    """
    ledger = make_funded_ledger()
    ledger.draw(B1, 1, 50)
    ledger.apply(transfer(1, amount=20, donor_number=1))
    assert ledger.apply(transfer(0, amount=7, donor_number=2)) == TransferResult(7)
    assert {one.holder: one.outstanding for one in ledger.sums().held} == {A1: 27, B1: 23}


def test_money_that_was_passed_on_is_moved_in_the_order_in_which_it_was_given():
    """During a partition, C gives 20 to B and B passes 25 on to A; A is the first to report.

    At the ledger, B has 10 until C's transfer is reported. If the ledger moved only what B has and
    instructed A to drop the rest, A would lose money that exists.
    """
    ledger = make_funded_ledger(50)
    ledger.draw(B1, 1, 10)
    ledger.draw(C1, 1, 30)
    early = ledger.apply(transfer(1, amount=25))
    assert isinstance(early, Rejected)
    assert early.kind == ErrorKind.NOT_READY
    assert ledger.apply(Transfer("desk", C1, 1, B1, 1, 20, NOW)) == TransferResult(20)
    assert ledger.apply(transfer(1, amount=25)) == TransferResult(25)
    assert {one.holder: one.outstanding for one in ledger.sums().held} == {A1: 25, B1: 5, C1: 10}


def test_a_transfer_of_a_donor_that_died_is_taken_from_what_it_left():
    """B gives 20 to A and dies before any report; its successor has not delivered yet.

    A reports the transfer. The amount is still outstanding for B, so A's charge is covered.
    """
    ledger = make_funded_ledger(50)
    ledger.draw(B1, 1, 50)
    ledger.apply(RegisterHolder(B1._replace(incarnation=2), False, NOW))
    assert ledger.apply(transfer(1)) == TransferResult(20)
    ledger.apply(RegisterHolder(B1._replace(incarnation=2), True, NOW))
    assert ledger.charge(A1, "r1", 1, 20) is ChargeOutcome.BILLED
    assert (ledger.sums().charged, ledger.sums().free) == (20, 30)


def test_a_transfer_that_comes_after_its_money_was_spent_returns_the_shortfall():
    """B gives 20 to A in a partition, and operators confirm B dead before A can report.

    B's full remainder was freed and C drew most of it. A's late report moves what is free, and A
    must drop the rest: the ledger never grants more than it has.
    """
    ledger = make_funded_ledger(50)
    ledger.draw(B1, 1, 50)
    ledger.apply(ConfirmDead(B1, "ann", "bob", NOW))
    ledger.draw(C1, 1, 45)
    for _ in range(3):
        assert ledger.apply(transfer(1)) == TransferResult(5)
        ledger.restart()
    assert ledger.sums().outstanding == 50


def test_a_transfer_reported_by_the_donor_is_not_moved_again_after_the_donor_was_released():
    """B reports its transfer and dies, its remainder is freed, then A reports as well.

    B's numbers were removed with its allotment, but A's allotment still records the transfer.
    """
    ledger = make_funded_ledger(50)
    ledger.draw(B1, 1, 50)
    ledger.apply(transfer(0))
    ledger.apply(ConfirmDead(B1, "ann", "bob", NOW))
    ledger.restart()
    assert ledger.apply(transfer(1)) == TransferResult(20)
    assert (ledger.sums().outstanding, ledger.sums().free) == (20, 30)


def test_what_a_dead_recipient_received_is_freed_with_its_remainder():
    """B gives 20 to A, which dies before it reports; B reports, and A's successor starts."""
    ledger = make_funded_ledger(50)
    ledger.draw(B1, 1, 50)
    ledger.apply(transfer(0))
    assert ledger.apply(RegisterHolder(A2, True, NOW)) == RegisterResult(20, 0)
    assert ledger.apply(transfer(0)) == TransferResult(20)
    assert (ledger.sums().outstanding, ledger.sums().free) == (30, 20)


SMALL_LIMITS = IdLimits(per_segment=4, merged=8, kept=8)


def bill(ledger: Ledger, numbers: range) -> None:
    for number in numbers:
        at = NOW + number
        outcome = ledger.charge(A1, f"r{number}", number, 1, reserved_at=at)
        assert outcome is ChargeOutcome.BILLED


def test_an_id_is_found_in_the_newest_ids_and_in_every_kept_segment():
    ledger = make_funded_ledger(100, SMALL_LIMITS)
    ledger.draw(A1, 1, 50)
    ledger.draw(B1, 1, 50)
    bill(ledger, range(1, 11))
    ledger.restart()
    for number in range(1, 11):
        at = NOW + number
        assert ledger.charge(A1, f"r{number}", number, 1, at) is ChargeOutcome.BILLED
        outcome = ledger.charge(B1, f"r{number}", number, 1, at)
        assert outcome is ChargeOutcome.DUPLICATE
    assert ledger.sums().charged == 10


def test_a_charge_older_than_the_kept_ids_is_never_billed_twice():
    """The ledger stores a limited number of ids, and a host is partitioned for longer than that.

    It then sends a charge whose id may have been billed through another host. A resend of its own
    charge is recognised by its number; any other charge is withheld until two people decide.
    """
    ledger = make_funded_ledger(100, SMALL_LIMITS)
    ledger.draw(A1, 1, 50)
    ledger.draw(B1, 1, 50)
    bill(ledger, range(1, 14))
    assert ledger.charge(A1, "r1", 1, 1, NOW + 1) is ChargeOutcome.BILLED
    assert ledger.sums().charged == 13
    assert ledger.charge(B1, "r1", 1, 5, NOW + 1) is ChargeOutcome.IN_DOUBT
    assert (ledger.sums().charged, ledger.sums().in_doubt) == (13, 5)
    (row,) = listed_exceptions(ledger)
    assert (row.kind, row.state) == (ExceptionKind.FORGOTTEN_ID, "open")
    for _ in range(2):
        release = ResolveDoubt(row.number, False, "ann", "bob", NOW)
        assert ledger.apply(release) == Accepted()
        ledger.restart()
    assert (ledger.sums().charged, ledger.sums().in_doubt, ledger.sums().free) == (13, 0, 5)


def test_a_number_that_was_used_for_another_request_is_set_aside():
    ledger = make_funded_ledger()
    ledger.draw(A1, 1, 50)
    assert ledger.charge(A1, "r1", 1, 10) is ChargeOutcome.BILLED
    assert ledger.charge(A1, "r2", 1, 10) is ChargeOutcome.IN_DOUBT
    assert listed_exceptions(ledger)[0].kind is ExceptionKind.NUMBER_REUSED


def test_a_charge_of_an_unknown_budget_or_an_impossible_amount_is_refused():
    ledger = make_funded_ledger()
    ledger.draw(A1, 1, 50)
    assert ledger.charge(A1, "r1", 1, -1) is ChargeOutcome.REFUSED
    assert ledger.charge(A1, "r1", 1, 1, reserved_at=1e300) is ChargeOutcome.REFUSED
    ledger.apply(Credit("other", "clerks", "tokens", 1, "c9", "ann", NOW))
    assert ledger.sums().charged == 0


def test_a_holder_that_is_unresponsive_for_long_is_listed_with_what_it_holds():
    ledger = make_funded_ledger()
    ledger.draw(A1, 1, 50)
    assert listed_exceptions(ledger, NOW + 3_600.0) == []
    (row,) = listed_exceptions(ledger, NOW + 90_000.0)
    assert (row.kind, row.holder, row.amount) == (ExceptionKind.SILENT_HOLDER, A1, 50)
