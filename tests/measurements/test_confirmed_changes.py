"""Confirm changes and let targets leave in a model of 24 hosts, while some fall silent."""

import pytest

from measurements.confirmed_changes import AIM_S, SCHEDULES, play
from tests.fakes.clock import run_virtual


@pytest.mark.parametrize("name", sorted(SCHEDULES))
def test_what_is_confirmed_is_known_everywhere_in_time(name: str) -> None:
    """Hosts that are well go on by what was before: others fell silent as it was being told.

    The schedules differ in who is silent, when, and how much there is to tell.
    """
    assert run_virtual(play(name, hosts=24, controls=5, seed=1)).slowest_s <= AIM_S
