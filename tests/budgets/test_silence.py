"""Bounds of the time without contact if a lost host's monotonic clock restarted."""

from cranberrywall.budgets._ledger_contact_gaps import ContactGaps, LastContact
from cranberrywall.budgets.messages import Contact, Holder

OTHERS = ("b", "c", "d", "e")
LOST_AT = 100.0
BACK_AT = 103.0
UPTIME_S = 0.5


def last_contact_before_the_loss(gaps: ContactGaps) -> LastContact:
    for host in OTHERS:
        gaps.record_wall(host, LOST_AT - 0.1)
    gaps.record_wall("a", LOST_AT)
    return gaps.last_contact(Contact(50_000.0, False, None, LOST_AT))


def bound_gap(
    gaps: ContactGaps, last: LastContact, incarnation: int, wall: float = BACK_AT
) -> float | None:
    now = Contact(7.0 + UPTIME_S, False, None, wall + UPTIME_S)
    return gaps.bound_gap(Holder("a", incarnation), last, 7.0, now)


def test_the_monotonic_clock_is_used_if_the_machine_kept_its_power() -> None:
    gaps = ContactGaps()
    last = last_contact_before_the_loss(gaps)
    now = Contact(50_003.5, False, None, BACK_AT + 0.5)
    assert gaps.bound_gap(Holder("a", 2), last, 50_003.0, now) == 3.0


def test_other_hosts_clocks_are_used_once_a_majority_of_them_has_reported() -> None:
    """All machines lose power for three seconds, and one registers before any other is back.

    Its own wall clock alone must not be used: if it was stepped, the time would seem too short.
    """
    gaps = ContactGaps()
    last = last_contact_before_the_loss(gaps)
    assert bound_gap(gaps, last, 2) is None
    gaps.start_recording(Holder("a", 2), UPTIME_S)
    for host in OTHERS[:2]:
        gaps.record_wall(host, BACK_AT + UPTIME_S + 0.2)
    assert bound_gap(gaps, last, 2) is None
    gaps.record_wall(OTHERS[2], BACK_AT + UPTIME_S + 0.3)
    found = bound_gap(gaps, last, 2)
    assert found is not None
    assert BACK_AT - LOST_AT <= found <= BACK_AT - LOST_AT + 0.5


def test_a_stepped_clock_does_not_shorten_the_gap() -> None:
    """The lost machine's wall clock is set back by two seconds while it has no power."""
    gaps = ContactGaps()
    last = last_contact_before_the_loss(gaps)
    gaps.start_recording(Holder("a", 2), UPTIME_S)
    for host in OTHERS:
        gaps.record_wall(host, BACK_AT + UPTIME_S)
    found = bound_gap(gaps, last, 2, wall=BACK_AT - 2.4)
    assert found is not None
    assert found >= BACK_AT - LOST_AT


def test_clocks_recorded_after_an_earlier_successor_bound_nothing() -> None:
    """A host loses power twice, and a workspace spends more than its total.

    The clocks that other hosts reported after the first loss were used for the second one. The time
    without contact came out as minus twenty seconds, so nearly all of what had been spent
    unreported was freed.
    """
    gaps = ContactGaps()
    gaps.start_recording(Holder("a", 2), UPTIME_S)
    for host in OTHERS:
        gaps.record_wall(host, LOST_AT - 20.0)
    last = last_contact_before_the_loss(gaps)
    assert bound_gap(gaps, last, 3) is None


def test_commands_that_a_partition_delayed_do_not_shorten_the_gap() -> None:
    """A machine loses power during a partition, and registers as the partition ends.

    At that time, the commands arrive that other hosts sent when the partition began. By these
    alone, the time without contact would be half a second.
    """
    gaps = ContactGaps()
    last = last_contact_before_the_loss(gaps)
    gaps.start_recording(Holder("a", 2), UPTIME_S)
    for host in OTHERS:
        gaps.record_wall(host, LOST_AT + 1.0)
    found = bound_gap(gaps, last, 2)
    assert found is not None
    assert found >= BACK_AT - LOST_AT
