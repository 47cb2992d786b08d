"""Check the numbers, the blocking and the permits that the group keeps for orders."""

from typing import Any

from cranberrywall.configuration import ConfigurationMachine
from cranberrywall.orders import Action, Evidence, Issuer, make_group_machine
from cranberrywall.orders._engines import Copy, EngineView, without_removed
from cranberrywall.orders._group_machine import GroupMachine
from cranberrywall.orders.messages import ORDERS_CODEC, Close, Issue, Issued, NotIssued, Retain
from tests.configuration.documents import encode_change, make_document, whole_document_edits

OLD, NEW = Issuer("control-0", 1), Issuer("control-1", 1)
LOAD, UNLOAD = Action("load", "letters", "v2"), Action("unload", "letters", "v1")


def issue(
    machine: GroupMachine,
    issuer: Issuer,
    order_id: str,
    target: str = "engine-0",
    action: Action = LOAD,
    checks_fencing: bool = False,
) -> Any:
    command = Issue(order_id, issuer, target, 1, 5, checks_fencing, action, 2, 1.0)
    return ORDERS_CODEC.decode(machine.apply(ORDERS_CODEC.encode(command)))


def close(machine: GroupMachine, number: int, evidence: Evidence) -> None:
    machine.apply(ORDERS_CODEC.encode(Close(number, evidence, "control-1", 2.0)))


def test_numbers_rise_and_a_resent_order_gets_its_first_number() -> None:
    machine = make_group_machine()
    assert issue(machine, OLD, "a") == Issued(1)
    assert issue(machine, OLD, "b", "engine-1") == Issued(2)
    assert issue(machine, OLD, "a") == Issued(1)
    close(machine, 1, Evidence.DONE)
    assert issue(machine, OLD, "a") == Issued(1)
    assert issue(machine, OLD, "c") == Issued(3)


def test_an_open_order_blocks_an_engine_that_does_not_check() -> None:
    machine = make_group_machine()
    issue(machine, OLD, "a")
    blocked = issue(machine, NEW, "b")
    assert isinstance(blocked, NotIssued)
    assert [order.number for order in blocked.blocking] == [1]
    assert "order 1 (load letters v2) by control-0/1 to engine-0" in blocked.reason
    close(machine, 1, Evidence.CONFIRMED)
    assert issue(machine, NEW, "b") == Issued(2)


def test_an_engine_that_checks_is_blocked_by_the_same_issuer_only() -> None:
    machine = make_group_machine()
    issue(machine, OLD, "a", checks_fencing=True)
    assert isinstance(issue(machine, OLD, "b", checks_fencing=True), NotIssued)
    assert issue(machine, NEW, "c", checks_fencing=True) == Issued(2)


def test_an_order_is_superseded_only_once_the_engine_has_answered_a_later_one() -> None:
    """A successor's order with a higher number is committed, but never reaches the engine.

    The predecessor's may still be obeyed, so it stays open, and a load keeps its permit.
    """
    machine = make_group_machine()
    issue(machine, OLD, "a", checks_fencing=True)
    issue(machine, NEW, "b", checks_fencing=True)
    close(machine, 2, Evidence.UNSENT)
    assert [order.number for order in machine.orders.view().open_orders] == [1]
    issue(machine, NEW, "c", checks_fencing=True)
    close(machine, 3, Evidence.DONE)
    view = machine.orders.view()
    assert view.open_orders == ()
    assert [(one.order.number, one.evidence) for one in view.closed_orders] == [
        (2, Evidence.UNSENT),
        (1, Evidence.SUPERSEDED),
        (3, Evidence.DONE),
    ]


def test_an_engine_that_stopped_checking_is_treated_as_one_that_never_did() -> None:
    machine = make_group_machine()
    issue(machine, OLD, "a", checks_fencing=True)
    assert isinstance(issue(machine, NEW, "b", checks_fencing=False), NotIssued)


def test_loads_share_the_permits() -> None:
    machine = make_group_machine()
    for number in range(2):
        issue(machine, OLD, f"a{number}", f"engine-{number}")
    refused = issue(machine, OLD, "a2", "engine-2")
    assert isinstance(refused, NotIssued)
    assert len(refused.blocking) == 2
    assert isinstance(issue(machine, OLD, "u", "engine-2", UNLOAD), Issued)
    close(machine, 1, Evidence.FAILED)
    assert isinstance(issue(machine, OLD, "a3", "engine-3"), Issued)


def test_a_copy_ordered_away_does_not_count_until_it_is_known_to_be_there() -> None:
    """An unload was committed; the engine's announcement still shows the copy.

    Counting it would let the next unload take the last one.
    """
    machine = make_group_machine()
    copy = Copy("letters", "v1")
    engine = EngineView(
        "engine-0", 1, 9, "p", "u", False, frozenset({copy}), frozenset(), frozenset(), 1, 4, False
    )

    def counted() -> bool:
        return copy in without_removed([engine], machine.orders.view().removed)[0].copies

    issue(machine, OLD, "a", action=UNLOAD)
    assert not counted()
    close(machine, 1, Evidence.RESTARTED)
    assert not counted()
    for removed in machine.orders.view().removed:
        machine.apply(ORDERS_CODEC.encode(Retain(removed, 3.0)))
    assert counted()
    issue(machine, OLD, "b", action=UNLOAD)
    close(machine, 2, Evidence.REFUSED)
    assert counted()


def test_document_and_orders_come_back_from_one_snapshot() -> None:
    machine = make_group_machine()
    machine.apply(encode_change(whole_document_edits(make_document()), 0, "first"))
    issue(machine, OLD, "a")
    issue(machine, OLD, "u", "engine-1", UNLOAD)
    close(machine, 1, Evidence.DONE)
    after = make_group_machine()
    after.restore(machine.snapshot())
    assert after.orders.view() == machine.orders.view()
    configuration: ConfigurationMachine = after.configuration
    assert (configuration.revision, configuration.document_at()) == (
        1,
        machine.configuration.document_at(),
    )
    assert issue(after, NEW, "b") == Issued(3)
