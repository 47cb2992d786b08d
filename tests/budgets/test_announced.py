"""Test where a diskless host may store charges, and what proves that no copies are left."""

from cranberrywall.budgets._announced_replicas import AnnouncedReplicaHolders
from cranberrywall.budgets._ledger_holders import Holders
from cranberrywall.budgets.messages import Contact, Evidence, Holder

A, B, C = Holder("a", 1), Holder("b", 1), Holder("c", 1)
B_AGAIN = Holder("b", 2)


def allowed(announced: AnnouncedReplicaHolders) -> str:
    """Return the names of the hosts that may store copies."""
    return "".join(host for host in "abc" if announced.allows(host))


def test_a_replica_holder_is_used_only_once_the_ledger_has_acknowledged_it() -> None:
    """A host replicates charges to a peer that was never announced to the ledger; both are lost.

    The command that announced the peer was lost. The ledger therefore doesn't have that peer
    asked, and the money is released although it was spent.
    """
    announced = AnnouncedReplicaHolders()
    announced.confirm(Contact(1.0, False, announced.announce({A}, 1.0)))
    named = announced.announce({A, B}, 2.0)
    assert allowed(announced) == "a"
    announced.confirm(Contact(2.0, False, named))
    assert allowed(announced) == "ab"


def test_before_the_first_answer_all_hosts_that_every_command_names_may_store_copies() -> None:
    """A host starts during a network partition, and spends what its peers give it.

    The ledger has no replica holders of it, so no evidence about its copies is accepted. Once a
    command is in flight, the ledger may use the replica holders that this command names.
    """
    announced = AnnouncedReplicaHolders()
    assert allowed(announced) == "abc"
    announced.announce({A, B}, 1.0)
    announced.announce({B, C}, 2.0)
    assert allowed(announced) == "b"


def test_a_replica_holder_that_is_omitted_is_not_used_while_the_answer_is_pending() -> None:
    """The ledger may use the old list of replica holders or the new one.

    Only hosts that are on both lists are safe.
    """
    announced = AnnouncedReplicaHolders()
    announced.confirm(Contact(1.0, False, announced.announce({A, B}, 1.0)))
    second = announced.announce({B, C}, 2.0)
    assert allowed(announced) == "b"
    announced.confirm(Contact(2.0, False, second))
    assert allowed(announced) == "bc"


def test_an_answer_to_an_older_command_confirms_nothing_newer() -> None:
    announced = AnnouncedReplicaHolders()
    first = announced.announce({A, B}, 1.0)
    second = announced.announce({B, C}, 2.0)
    announced.confirm(Contact(1.0, False, first))
    assert allowed(announced) == "b"
    announced.confirm(Contact(2.0, False, second))
    announced.confirm(Contact(1.0, False, first))
    assert allowed(announced) == "bc"


def test_a_later_incarnation_of_a_replica_holder_proves_nothing() -> None:
    """A replica holder restarts and reports that it stores nothing: it lost what it stored."""
    holders = Holders()
    holders.record_contact(A, Contact(1.0, False, (B, C)))
    assert not holders.is_proven_empty(A, Evidence(9.0, True, (B_AGAIN, C)))
    assert not holders.is_proven_empty(A, Evidence(9.0, True, (C,)))
    assert holders.is_proven_empty(A, Evidence(9.0, True, (B, C)))
    assert holders.is_proven_empty(A, Evidence(9.0, True, (C,), ("b",)))


def test_a_command_that_a_partition_delayed_changes_no_replica_holders() -> None:
    """A command reaches the ledger long after it was sent, behind later ones.

    It names replica holders that are no longer in use. If the ledger took them for the current
    ones, the wrong peers would be asked, and money that was spent would be released.
    """
    holders = Holders()
    holders.record_contact(A, Contact(2.0, False, (C,)))
    holders.record_contact(A, Contact(1.0, False, (B,)))
    assert holders.replica_hosts([A]) == ("c",)
    assert not holders.is_proven_empty(A, Evidence(9.0, True, (B,)))


def test_no_evidence_counts_for_a_holder_that_never_announced_replica_holders() -> None:
    """A host that started in a partition is lost. Copies of its transfers may be on any host."""
    holders = Holders()
    holders.record_contact(A, Contact(2.0, True))
    assert not holders.is_proven_empty(A, Evidence(9.0, True))


def test_a_contact_of_a_detached_holder_leaves_its_replica_holders_unchanged() -> None:
    holders = Holders()
    holders.record_contact(A, Contact(1.0, False, (B,)))
    holders.record_contact(A, Contact(2.0, True))
    loaded = Holders()
    loaded.load(holders.dump())
    assert loaded.replica_hosts([A]) == ("b",)
