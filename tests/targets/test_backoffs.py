"""Check that requested backoffs are kept, whatever the header field holds and in whatever order."""

import random

import pytest

from cranberrywall.targets import Backoffs, DecimalField, TargetIncarnation, read_decimal_field
from cranberrywall.targets._backoffs import MAX_BACKOFF_S, MAX_JITTER_SHARE, TRIAL_TIMEOUT_S
from tests.routing.clocks import ManualClock

INCARNATION = TargetIncarnation("ledger-1", 1)


def make_backoffs() -> Backoffs:
    return Backoffs(ManualClock(), random.Random(1))


def test_a_backoff_lasts_as_long_as_asked_and_little_longer():
    backoffs = make_backoffs()
    assert backoffs.record_requested(INCARNATION, DecimalField(2.5), "id", 10.0)
    assert backoffs.blocks_requests(INCARNATION, 12.499)
    assert 12.5 <= backoffs.until(INCARNATION, 10.0) <= 12.5 + 2.5 * MAX_JITTER_SHARE


def test_neither_a_shorter_time_nor_a_late_answer_shortens_a_backoff():
    """A host sends requests again too early because a second 503 requested a shorter backoff."""
    backoffs = make_backoffs()
    backoffs.record_requested(INCARNATION, DecimalField(5.0), "id", 10.0)
    backoffs.record_requested(INCARNATION, DecimalField(0.5), "id", 11.0)
    backoffs.record_served(INCARNATION, 9.0)
    assert backoffs.blocks_requests(INCARNATION, 14.999)


def test_a_later_503_lengthens_a_backoff():
    backoffs = make_backoffs()
    backoffs.record_requested(INCARNATION, DecimalField(1.0), "id", 10.0)
    backoffs.record_requested(INCARNATION, DecimalField(4.0), "id", 10.5)
    assert backoffs.blocks_requests(INCARNATION, 14.499)


@pytest.mark.parametrize(
    "values",
    [
        ["soon"],
        ["-3"],
        ["inf"],
        ["nan"],
        ["3", "9"],
        ["3, 9"],
        [""],
        ["Wed, 21 Oct 2026 07:28:00 GMT"],
    ],
)
def test_what_is_no_number_of_seconds_changes_nothing_and_is_counted(values: list[str]):
    backoffs = make_backoffs()
    assert not backoffs.record_requested(INCARNATION, read_decimal_field(values), "id", 10.0)
    assert not backoffs.blocks_requests(INCARNATION, 10.0)
    assert backoffs.unreadable == 1


@pytest.mark.parametrize("field", [DecimalField(0.0), DecimalField()])
def test_no_time_is_no_backoff(field: DecimalField):
    backoffs = make_backoffs()
    assert not backoffs.record_requested(INCARNATION, field, "id", 10.0)
    assert backoffs.unreadable == 0


def test_a_very_long_backoff_is_cut():
    backoffs = make_backoffs()
    backoffs.record_requested(INCARNATION, DecimalField(1e8), "id", 0.0)
    assert backoffs.blocks_requests(INCARNATION, MAX_BACKOFF_S - 0.001)
    assert not backoffs.blocks_requests(INCARNATION, MAX_BACKOFF_S + 1.001)


def test_a_new_incarnation_of_the_target_has_no_backoff():
    backoffs = make_backoffs()
    backoffs.record_requested(INCARNATION, DecimalField(5.0), "id", 10.0)
    assert not backoffs.blocks_requests(TargetIncarnation("ledger-1", 2), 10.1)


def test_one_request_goes_first_after_a_backoff():
    """All waiting requests reach a target at the moment at which its backoff ends."""
    backoffs = make_backoffs()
    backoffs.record_requested(INCARNATION, DecimalField(1.0), "id", 10.0)
    now = backoffs.until(INCARNATION, 10.0)
    assert not backoffs.blocks_requests(INCARNATION, now)
    backoffs.record_sent(INCARNATION, now)
    assert backoffs.blocks_requests(INCARNATION, now + 0.01)
    assert not backoffs.blocks_requests(INCARNATION, now + TRIAL_TIMEOUT_S)


def test_an_answer_to_the_first_request_lets_others_follow():
    backoffs = make_backoffs()
    backoffs.record_requested(INCARNATION, DecimalField(1.0), "id", 10.0)
    now = backoffs.until(INCARNATION, 10.0)
    backoffs.record_sent(INCARNATION, now)
    backoffs.record_served(INCARNATION, now - 0.5)
    assert backoffs.blocks_requests(INCARNATION, now + 0.01)
    backoffs.record_served(INCARNATION, now)
    assert not backoffs.blocks_requests(INCARNATION, now + 0.01)


def test_operators_see_a_backoff_while_it_lasts():
    backoffs = make_backoffs()
    assert backoffs.describe(INCARNATION, 10.0) is None
    backoffs.record_requested(INCARNATION, DecimalField(2.0), "id-7", 10.0)
    shown = backoffs.describe(INCARNATION, 11.0)
    assert shown is not None
    assert (shown["request"], shown["age_s"], shown["turned_away"]) == ("id-7", 1.0, 1)
    backoffs.expire(20.0)
    assert backoffs.describe(INCARNATION, 20.0) is None
