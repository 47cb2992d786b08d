"""Share entry hosts out among control hosts."""

from cranberrywall.control import NotifierAssignment
from cranberrywall.control._tellers import NOTIFIERS_PER_HOST

CONTROLS = [f"10.0.0.{number}:7000" for number in range(1, 10)]
ENTRIES = [f"10.1.0.{number}:7000" for number in range(1, 79)]


def test_each_entry_host_is_told_by_a_few_control_hosts() -> None:
    """Control hosts know each other a little differently as one of them comes or goes.

    Those that know the same agree on who tells whom, and each has about its share.
    """
    tellers = [NotifierAssignment(own, lambda: CONTROLS) for own in CONTROLS]
    for entry in ENTRIES:
        assert sum(one.notifies(entry) for one in tellers) == NOTIFIERS_PER_HOST
    told = [sum(one.notifies(entry) for entry in ENTRIES) for one in tellers]
    mean = len(ENTRIES) * NOTIFIERS_PER_HOST / len(CONTROLS)
    assert max(told) < 2 * mean


def test_the_hosts_of_a_control_host_that_goes_fall_to_others() -> None:
    known = list(CONTROLS)
    tellers = [NotifierAssignment(own, lambda: known) for own in CONTROLS[1:]]
    before = [one.notifies(entry) for one in tellers for entry in ENTRIES]
    known.remove(CONTROLS[0])
    after = [one.notifies(entry) for one in tellers for entry in ENTRIES]
    assert all(late >= early for early, late in zip(before, after, strict=True))
    for entry in ENTRIES:
        assert sum(one.notifies(entry) for one in tellers) == NOTIFIERS_PER_HOST
