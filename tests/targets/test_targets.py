"""Check which announcement counts if several arrive out of order."""

from cranberrywall.targets import TARGET_RETENTION_S, Change, Group, make_targets
from tests.targets.announcements import announce


def test_a_late_message_does_not_revive_a_target_that_left():
    """Callers get connection errors from an engine that was shut down cleanly.

    The engine announces itself (counter 1, then 2) and leaves (3). The network delivers 2 last.
    Cause: the late message looks like a renewal to a host that has discarded the leaving.
    """
    targets = make_targets()
    targets.apply(announce(counter=1), 0.0)
    assert targets.apply(announce(counter=3, leaving=True), 1.0) is Change.LEFT
    assert targets.apply(announce(counter=2), 2.0) is Change.STALE
    assert targets.apply(announce(counter=4), 2.0) is Change.STALE
    assert not targets.by_id and not targets.by_group
    targets.expire(1000.0)
    assert targets.apply(announce(counter=2), 1000.0) is Change.STALE


def test_leaving_counts_even_when_a_renewal_overtakes_it():
    targets = make_targets()
    targets.apply(announce(counter=5), 0.0)
    assert targets.apply(announce(counter=4, leaving=True), 0.1) is Change.LEFT
    assert "engine-1" not in targets.by_id


def test_a_restarted_target_with_a_lower_counter_joins_again():
    """A restarted engine gets no requests for minutes, though it announces itself.

    It ran with counter 900, crashed, and restarts with counter 1 and a higher incarnation; a last
    message of the old incarnation arrives late. Cause: counters were compared without the
    incarnation.
    """
    targets = make_targets()
    targets.apply(announce(incarnation=7, counter=900), 0.0)
    assert targets.apply(announce(incarnation=8, counter=1, url="http://b"), 1.0) is Change.CHANGED
    assert targets.apply(announce(incarnation=7, counter=901), 1.1) is Change.STALE
    assert targets.by_id["engine-1"].announcement.url == "http://b"


def test_a_target_that_stops_renewing_expires_and_may_come_back():
    targets = make_targets()
    changes = []
    targets.subscribe(lambda announcement, change, now: changes.append(change))
    targets.apply(announce(counter=1), 0.0)
    targets.apply(announce(counter=2), 2.0)
    assert targets.expire(TARGET_RETENTION_S + 1.0) == []
    assert targets.expire(TARGET_RETENTION_S + 2.0) == ["engine-1"]
    assert targets.apply(announce(counter=3), 60.0) is Change.JOINED
    assert changes == [Change.JOINED, Change.RENEWED, Change.LEFT, Change.JOINED]
    assert set(targets.by_group) == {Group("engine", "asistent")}


def test_a_target_that_joins_after_it_left_expires_in_time():
    targets = make_targets()
    targets.apply(announce(counter=1, leaving=True), 0.0)
    targets.apply(announce(incarnation=2, counter=1), 5.0)
    targets.expire(TARGET_RETENTION_S)
    assert targets.expire(5.0 + TARGET_RETENTION_S) == ["engine-1"]


def test_a_target_that_changes_its_model_moves_to_the_other_group():
    targets = make_targets()
    targets.apply(announce(counter=1), 0.0)
    targets.apply(announce(counter=2, name="drafting-llm"), 1.0)
    assert set(targets.by_group) == {Group("engine", "drafting-llm")}
    assert targets.apply(announce(counter=1), 2.0) is Change.STALE
    assert targets.apply(announce(counter=3, name="drafting-llm", models=("x",)), 3.0) is (
        Change.CHANGED
    )
    assert set(targets.by_group) == {Group("engine", "drafting-llm")}


def test_a_target_that_has_anothers_address_takes_its_place():
    """Requests are rejected for 20 s after an engine was restarted under another name.

    They were still sent to the old name, whose address now belongs to the new engine; it rejects
    them because they are addressed to another target. Cause: each name was kept until its
    announcement expired.
    """
    targets = make_targets()
    targets.apply(announce("engine-1", url="http://10.0.0.1:80"), 0.0)
    targets.apply(announce("engine-2", url="http://10.0.0.2:80"), 0.0)
    targets.apply(announce("engine-1b", url="http://10.0.0.1:80"), 3.0)
    assert sorted(targets.by_id) == ["engine-1b", "engine-2"]


def test_a_late_message_of_the_one_before_keeps_an_address_only_until_the_next_renewal():
    """A message of an ended engine, delayed by a partition, arrives after its successor's."""
    targets = make_targets()
    targets.apply(announce("engine-1", url="http://10.0.0.1:80", counter=1), 0.0)
    targets.apply(announce("engine-1b", url="http://10.0.0.1:80", counter=1), 3.0)
    targets.apply(announce("engine-1", url="http://10.0.0.1:80", counter=2), 3.1)
    targets.apply(announce("engine-1b", url="http://10.0.0.1:80", counter=2), 4.3)
    assert list(targets.by_id) == ["engine-1b"]


def test_a_target_that_is_removed_by_mistake_is_back_with_its_next_renewal():
    targets = make_targets()
    changes = []
    targets.subscribe(lambda announcement, change, now: changes.append(change))
    targets.apply(announce("engine-1", counter=1), 0.0)
    targets.discard("engine-1", 1.0)
    targets.discard("engine-1", 1.0)
    assert not targets.by_id
    targets.apply(announce("engine-1", counter=1), 1.5)
    assert not targets.by_id
    targets.apply(announce("engine-1", counter=2), 2.0)
    assert changes == [Change.JOINED, Change.LEFT, Change.JOINED]
    assert list(targets.by_id) == ["engine-1"]
