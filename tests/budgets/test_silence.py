"""Bound the silence of a lost run where its machine's steady clock began anew."""

from cranberrywall.budgets._ledger_contact_gaps import Heard, Silences
from cranberrywall.budgets.messages import Contact, Holder

OTHERS = ("b", "c", "d", "e")
LOST_AT = 100.0
BACK_AT = 103.0
UP_S = 0.5


def heard_before_the_loss(silences: Silences) -> Heard:
    for host in OTHERS:
        silences.note(host, LOST_AT - 0.1)
    silences.note("a", LOST_AT)
    return silences.heard(Contact(50_000.0, False, None, LOST_AT))


def bound(
    silences: Silences, heard: Heard, incarnation: int, wall: float = BACK_AT
) -> float | None:
    now = Contact(7.0 + UP_S, False, None, wall + UP_S)
    return silences.bound(Holder("a", incarnation), heard, 7.0, now)


def test_the_machine_itself_tells_where_it_kept_its_power() -> None:
    silences = Silences()
    heard = heard_before_the_loss(silences)
    now = Contact(50_003.5, False, None, BACK_AT + 0.5)
    assert silences.bound(Holder("a", 2), heard, 50_003.0, now) == 3.0


def test_other_hosts_tell_once_a_majority_of_them_was_heard_again() -> None:
    """All machines lose their power for three seconds. One registers, and nobody else is back.

    By its own time of day alone, a stepped clock could make the silence seem short.
    """
    silences = Silences()
    heard = heard_before_the_loss(silences)
    assert bound(silences, heard, 2) is None
    silences.begin(Holder("a", 2), UP_S)
    for host in OTHERS[:2]:
        silences.note(host, BACK_AT + UP_S + 0.2)
    assert bound(silences, heard, 2) is None
    silences.note(OTHERS[2], BACK_AT + UP_S + 0.3)
    found = bound(silences, heard, 2)
    assert found is not None
    assert BACK_AT - LOST_AT <= found <= BACK_AT - LOST_AT + 0.5


def test_a_stepped_clock_does_not_shorten_the_silence() -> None:
    """The lost machine's clock goes back by two seconds while it has no power."""
    silences = Silences()
    heard = heard_before_the_loss(silences)
    silences.begin(Holder("a", 2), UP_S)
    for host in OTHERS:
        silences.note(host, BACK_AT + UP_S)
    found = bound(silences, heard, 2, wall=BACK_AT - 2.4)
    assert found is not None
    assert found >= BACK_AT - LOST_AT


def test_what_others_said_after_an_earlier_successor_bounds_nothing() -> None:
    """A workspace gets more than its total after two losses of power of one host.

    What other hosts had said after the first was taken for the second: the silence came out as
    minus twenty seconds, and nearly all was freed of what had been spent unseen.
    """
    silences = Silences()
    silences.begin(Holder("a", 2), UP_S)
    for host in OTHERS:
        silences.note(host, LOST_AT - 20.0)
    heard = heard_before_the_loss(silences)
    assert bound(silences, heard, 3) is None


def test_commands_that_a_cut_held_up_do_not_shorten_the_silence() -> None:
    """A machine loses its power in a cut, and registers as the cut ends.

    Just then the commands arrive that other hosts sent as it had begun. By these alone, the
    silence lasted half a second.
    """
    silences = Silences()
    heard = heard_before_the_loss(silences)
    silences.begin(Holder("a", 2), UP_S)
    for host in OTHERS:
        silences.note(host, LOST_AT + 1.0)
    found = bound(silences, heard, 2)
    assert found is not None
    assert found >= BACK_AT - LOST_AT
