"""Play random schedules of requests that end targets; the figures by hand use more of them."""

import pytest

from measurements.fatal_requests import QUIET, measure

MOST_SENT_LATE = 3


@pytest.mark.parametrize("fatal", [1, 3])
def test_few_targets_end_and_nobody_else_is_refused(fatal: int) -> None:
    """A request ends each target that begins it, and comes to all hosts at random."""
    found = measure(QUIET._replace(fatal=fatal), range(2))
    assert found.wrongly_held == 0
    assert found.ended_each < 7
    assert found.sent_late <= MOST_SENT_LATE


def test_racks_that_lose_power_hold_nobody_back() -> None:
    """A third of the targets ends every four seconds, with all that they were at."""
    found = measure(QUIET._replace(fatal=0, crash_every_s=4.0, crash_share=0.33), range(2))
    assert found.wrongly_held == 0


def test_without_the_quarantine_the_same_request_ends_targets_for_as_long_as_it_comes() -> None:
    assert measure(QUIET._replace(tells=False), range(1)).ended_each > 20
