"""Check what the control program says of itself."""

import pytest

from cranberrywall.commands._control_program import check_placement
from cranberrywall.configuration import Edit, make_configuration_machine
from cranberrywall.configuration.messages import CONFIGURATION_CODEC, Change
from cranberrywall.settings import Settings, with_defaults

SETTINGS: Settings = with_defaults({"ledger_groups": 2})


@pytest.mark.parametrize(("groups", "text"), [(2, None), (3, "3 ledger groups")])
def test_a_host_that_would_place_budgets_elsewhere_is_not_ready(groups: int, text: str | None):
    """Settings and configuration name different numbers of ledger groups.

    Money would be credited in one group, and entry hosts would draw from another.
    """
    machine = make_configuration_machine()
    assert check_placement(SETTINGS, machine) is None
    edit = Edit("ledger_groups", "", groups)
    machine.apply(CONFIGURATION_CODEC.encode(Change((edit,), 0, "c1", "ann", 0.0)))
    reason = check_placement(SETTINGS, machine)
    assert reason is None if text is None else text in str(reason)
