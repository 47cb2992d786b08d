"""Keep the backoffs that targets ask for, whatever they write and in whatever order."""

import random

import pytest

from cranberrywall.targets import Backoffs, DecimalField, TargetIncarnation, read_decimal_field
from cranberrywall.targets._backoffs import JITTER_SHARE, LONGEST_BACKOFF_S, TRIAL_S
from tests.routing.clocks import ManualClock

START = TargetIncarnation("ledger-1", 1)


def make() -> Backoffs:
    return Backoffs(ManualClock(), random.Random(1))


def test_a_backoff_lasts_as_long_as_asked_and_little_longer():
    backoffs = make()
    assert backoffs.record_requested(START, DecimalField(2.5), "id", 10.0)
    assert backoffs.blocks_requests(START, 12.499)
    assert 12.5 <= backoffs.until(START, 10.0) <= 12.5 + 2.5 * JITTER_SHARE


def test_neither_a_shorter_time_nor_a_late_answer_shortens_a_backoff():
    """A host returns early because a second 503 named a shorter time."""
    backoffs = make()
    backoffs.record_requested(START, DecimalField(5.0), "id", 10.0)
    backoffs.record_requested(START, DecimalField(0.5), "id", 11.0)
    backoffs.record_served(START, 9.0)
    assert backoffs.blocks_requests(START, 14.999)


def test_a_later_503_lengthens_a_backoff():
    backoffs = make()
    backoffs.record_requested(START, DecimalField(1.0), "id", 10.0)
    backoffs.record_requested(START, DecimalField(4.0), "id", 10.5)
    assert backoffs.blocks_requests(START, 14.499)


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
    backoffs = make()
    assert not backoffs.record_requested(START, read_decimal_field(values), "id", 10.0)
    assert not backoffs.blocks_requests(START, 10.0)
    assert backoffs.unreadable == 1


@pytest.mark.parametrize("field", [DecimalField(0.0), DecimalField()])
def test_no_time_is_no_backoff(field: DecimalField):
    backoffs = make()
    assert not backoffs.record_requested(START, field, "id", 10.0)
    assert backoffs.unreadable == 0


def test_a_very_long_backoff_is_cut():
    backoffs = make()
    backoffs.record_requested(START, DecimalField(1e8), "id", 0.0)
    assert backoffs.blocks_requests(START, LONGEST_BACKOFF_S - 0.001)
    assert not backoffs.blocks_requests(START, LONGEST_BACKOFF_S + 1.001)


def test_a_new_start_of_the_target_has_no_backoff():
    backoffs = make()
    backoffs.record_requested(START, DecimalField(5.0), "id", 10.0)
    assert not backoffs.blocks_requests(TargetIncarnation("ledger-1", 2), 10.1)


def test_one_request_goes_first_after_a_backoff():
    """All that waited reaches a target in the moment in which its backoff ends."""
    backoffs = make()
    backoffs.record_requested(START, DecimalField(1.0), "id", 10.0)
    now = backoffs.until(START, 10.0)
    assert not backoffs.blocks_requests(START, now)
    backoffs.record_sent(START, now)
    assert backoffs.blocks_requests(START, now + 0.01)
    assert not backoffs.blocks_requests(START, now + TRIAL_S)


def test_an_answer_to_the_first_request_lets_others_follow():
    backoffs = make()
    backoffs.record_requested(START, DecimalField(1.0), "id", 10.0)
    now = backoffs.until(START, 10.0)
    backoffs.record_sent(START, now)
    backoffs.record_served(START, now - 0.5)
    assert backoffs.blocks_requests(START, now + 0.01)
    backoffs.record_served(START, now)
    assert not backoffs.blocks_requests(START, now + 0.01)


def test_operators_see_a_backoff_while_it_lasts():
    backoffs = make()
    assert backoffs.describe(START, 10.0) is None
    backoffs.record_requested(START, DecimalField(2.0), "id-7", 10.0)
    shown = backoffs.describe(START, 11.0)
    assert shown is not None
    assert (shown["request"], shown["age_s"], shown["turned_away"]) == ("id-7", 1.0, 1)
    backoffs.expire(20.0)
    assert backoffs.describe(START, 20.0) is None
