"""Credits, draws, returns and charges without failures, or with repeated messages."""

from cranberrywall.budgets.messages import (
    Accepted,
    ChargeOutcome,
    CreditsQuery,
    DrawResult,
    Recall,
    RecallsQuery,
    Rejected,
    Return,
)
from cranberrywall.errors import ErrorKind
from tests.budgets.ledgers import A1, B1, C1, NOW, Ledger


def test_money_moves_from_free_to_a_holder_to_what_was_charged():
    ledger = Ledger()
    ledger.credit(100)
    assert ledger.draw(A1, 1, 60) == DrawResult(60, 40, 60, 100, 0, 1)
    assert ledger.charge(A1, "r1", 1, 25) is ChargeOutcome.BILLED
    assert ledger.apply(Return("desk", A1, 1, 30, NOW)) == Accepted()
    sums = ledger.sums()
    assert (sums.charged, sums.outstanding, sums.free) == (25, 5, 70)


def test_each_command_that_comes_twice_changes_nothing_more():
    ledger = Ledger()
    for _ in range(2):
        assert ledger.credit(100) == Accepted()
        assert ledger.draw(A1, 1, 60).granted == 60
        assert ledger.charge(A1, "r1", 1, 25) is ChargeOutcome.BILLED
        assert ledger.apply(Return("desk", A1, 1, 30, NOW)) == Accepted()
        ledger.restart()
    sums = ledger.sums()
    assert (sums.credited, sums.charged, sums.outstanding, sums.free) == (100, 25, 5, 70)


def test_a_draw_gets_what_is_free_but_no_less_than_its_minimum():
    ledger = Ledger()
    ledger.credit(10)
    assert ledger.draw(A1, 1, 50, minimum=11).granted == 0
    assert ledger.draw(A1, 2, 50, minimum=10).granted == 10
    assert ledger.draw(B1, 1, 1).granted == 0


def test_a_draw_that_was_abandoned_is_not_granted_when_it_arrives_late():
    ledger = Ledger()
    ledger.credit(10)
    assert ledger.draw(A1, 2, 4).granted == 4
    assert ledger.draw(A1, 1, 4).kind == ErrorKind.CONFLICT
    assert ledger.sums().outstanding == 4


def test_a_change_id_names_one_top_up():
    ledger = Ledger()
    ledger.credit(10)
    other = ledger.credit(11)
    assert isinstance(other, Rejected)
    assert (other.kind, other.field) == (ErrorKind.CONFLICT, "change_id")
    assert [one.amount for one in ledger.query(CreditsQuery("desk")).credits] == [10]


def test_a_top_up_that_cannot_be_names_the_field_and_the_remedy():
    ledger = Ledger()
    refused = ledger.credit(0)
    assert (refused.kind, refused.field) == (ErrorKind.BAD_REQUEST, "amount")
    assert refused.remedy
    assert ledger.draw(A1, 1, 5).kind == ErrorKind.NOT_FOUND


def test_a_recall_asks_idle_holders_first_and_for_no_more_than_is_needed():
    ledger = Ledger()
    ledger.credit(100)
    ledger.draw(A1, 1, 30)
    ledger.draw(B1, 1, 20)
    ledger.draw(C1, 1, 50)
    later = NOW + 1_000.0
    assert ledger.charge(C1, "r", 1, 1, at=later) is ChargeOutcome.BILLED
    asked = ledger.apply(Recall("desk", A1, 25, later)).asked
    assert [(one.holder, one.outstanding) for one in asked] == [(B1, 20), (C1, 5)]
    ledger.restart()
    ledger.apply(Return("desk", B1, 1, 20, later))
    assert ledger.query(RecallsQuery(B1)).recalled == ()
    assert [one.amount for one in ledger.query(RecallsQuery(C1)).recalled] == [5]


def test_a_return_of_more_than_is_held_is_refused():
    ledger = Ledger()
    ledger.credit(10)
    ledger.draw(A1, 1, 5)
    assert ledger.apply(Return("desk", A1, 1, 6, NOW)).kind == ErrorKind.CONFLICT
    assert ledger.sums().free == 5


def test_bytes_that_are_no_command_are_refused_and_change_nothing():
    ledger = Ledger()
    assert b"malformed" in ledger.machine.apply(b"\x93nonsense")
    assert ledger.query(Return("desk", A1, 1, 6, NOW)).kind == ErrorKind.MALFORMED
