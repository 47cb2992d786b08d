"""Check where a host without a disk may keep charges, and what proves that nothing is kept."""

from cranberrywall.budgets._announced import AnnouncedKeepers
from cranberrywall.budgets._ledger_holders import Holders
from cranberrywall.budgets.messages import Contact, Evidence, Holder

A, B, C = Holder("a", 1), Holder("b", 1), Holder("c", 1)
B_AGAIN = Holder("b", 2)


def allowed(announced: AnnouncedKeepers) -> str:
    """Return the names of the hosts that may keep."""
    return "".join(host for host in "abc" if announced.allows(host))


def test_a_keeper_is_used_only_once_the_ledger_has_answered_for_it() -> None:
    """A host keeps charges at a peer that the ledger never heard of, and both are lost.

    The ledger doesn't have that peer asked, and the money comes back though it was spent. The
    command that named the peer was lost on its way.
    """
    announced = AnnouncedKeepers()
    announced.confirm(Contact(1.0, False, announced.announce({A}, 1.0)))
    named = announced.announce({A, B}, 2.0)
    assert allowed(announced) == "a"
    announced.confirm(Contact(2.0, False, named))
    assert allowed(announced) == "ab"


def test_before_the_first_answer_all_that_every_command_names_may_keep() -> None:
    """A host starts in a cut, and serves from what its peers give it.

    The ledger has heard nothing of it, so that nothing can prove what it kept; once a command
    is on its way, the ledger may go by what that one says.
    """
    announced = AnnouncedKeepers()
    assert allowed(announced) == "abc"
    announced.announce({A, B}, 1.0)
    announced.announce({B, C}, 2.0)
    assert allowed(announced) == "b"


def test_a_keeper_that_is_left_out_is_not_used_while_the_answer_is_open() -> None:
    """The ledger may have the old list of keepers or the new one: only what both name is safe."""
    announced = AnnouncedKeepers()
    announced.confirm(Contact(1.0, False, announced.announce({A, B}, 1.0)))
    second = announced.announce({B, C}, 2.0)
    assert allowed(announced) == "b"
    announced.confirm(Contact(2.0, False, second))
    assert allowed(announced) == "bc"


def test_an_answer_to_an_older_command_confirms_nothing_newer() -> None:
    announced = AnnouncedKeepers()
    first = announced.announce({A, B}, 1.0)
    second = announced.announce({B, C}, 2.0)
    announced.confirm(Contact(1.0, False, first))
    assert allowed(announced) == "b"
    announced.confirm(Contact(2.0, False, second))
    announced.confirm(Contact(1.0, False, first))
    assert allowed(announced) == "bc"


def test_a_later_run_of_a_keeper_proves_nothing() -> None:
    """A keeper is started anew and says that it holds nothing: it forgot what it held."""
    holders = Holders()
    holders.record_contact(A, Contact(1.0, False, (B, C)))
    assert not holders.is_proven_empty(A, Evidence(9.0, True, (B_AGAIN, C)))
    assert not holders.is_proven_empty(A, Evidence(9.0, True, (C,)))
    assert holders.is_proven_empty(A, Evidence(9.0, True, (B, C)))
    assert holders.is_proven_empty(A, Evidence(9.0, True, (C,), ("b",)))


def test_a_command_that_a_cut_held_up_changes_no_keepers() -> None:
    """A command reaches the ledger long after it was sent, behind later ones.

    It names keepers that are no longer in use. Were they taken for those in use, the wrong
    peers would be asked, and money that was spent would come back.
    """
    holders = Holders()
    holders.record_contact(A, Contact(2.0, False, (C,)))
    holders.record_contact(A, Contact(1.0, False, (B,)))
    assert holders.replica_hosts([A]) == ("c",)
    assert not holders.is_proven_empty(A, Evidence(9.0, True, (B,)))


def test_nothing_proves_what_a_holder_kept_that_never_named_its_keepers() -> None:
    """A host that started in a cut is lost. What its peers gave it may be kept anywhere."""
    holders = Holders()
    holders.record_contact(A, Contact(2.0, True))
    assert not holders.is_proven_empty(A, Evidence(9.0, True))


def test_what_a_detached_holder_says_leaves_its_keepers_as_they_were() -> None:
    holders = Holders()
    holders.record_contact(A, Contact(1.0, False, (B,)))
    holders.record_contact(A, Contact(2.0, True))
    loaded = Holders()
    loaded.load(holders.dump())
    assert loaded.replica_hosts([A]) == ("b",)
