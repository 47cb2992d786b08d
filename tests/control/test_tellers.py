"""Assignment of entry hosts to the control hosts that notify them."""

from cranberrywall.control import NotifierAssignment
from cranberrywall.control._notifiers import NOTIFIERS_PER_HOST

CONTROLS = [f"10.0.0.{number}:7000" for number in range(1, 10)]
ENTRIES = [f"10.1.0.{number}:7000" for number in range(1, 79)]


def test_each_entry_host_is_notified_by_a_few_control_hosts() -> None:
    """Control hosts have slightly different host lists while one of them joins or leaves.

    Control hosts with the same list must agree on who notifies which entry host, and none may
    have far more entry hosts than its share.
    """
    assignments = [NotifierAssignment(own, lambda: CONTROLS) for own in CONTROLS]
    for entry in ENTRIES:
        assert sum(one.notifies(entry) for one in assignments) == NOTIFIERS_PER_HOST
    counts = [sum(one.notifies(entry) for entry in ENTRIES) for one in assignments]
    mean = len(ENTRIES) * NOTIFIERS_PER_HOST / len(CONTROLS)
    assert max(counts) < 2 * mean


def test_the_entry_hosts_of_a_lost_control_host_are_reassigned() -> None:
    controls = list(CONTROLS)
    assignments = [NotifierAssignment(own, lambda: controls) for own in CONTROLS[1:]]
    before = [one.notifies(entry) for one in assignments for entry in ENTRIES]
    controls.remove(CONTROLS[0])
    after = [one.notifies(entry) for one in assignments for entry in ENTRIES]
    assert all(late >= early for early, late in zip(before, after, strict=True))
    for entry in ENTRIES:
        assert sum(one.notifies(entry) for one in assignments) == NOTIFIERS_PER_HOST
