"""Check that the recovery measurement finds what must not be, and finds none of it."""

import pytest

from measurements.recovery import run_history
from tests.fakes.clock import run_virtual
from tests.naive.single_copy import Change, Read, SingleCopy, Verdict, judge


def replica(*ids: str) -> SingleCopy:
    copy = SingleCopy()
    for change_id in ids:
        copy.apply(change_id.encode())
    return copy


A = Change("a", b"0", 0.0, 1.0)
B = Change("b", b"1", 2.0, 3.0)


@pytest.mark.parametrize(
    ("changes", "reads", "replicas", "verdict"),
    [
        ([A, B], [Read(("a",), 1.5, 2.5)], [replica("a", "b"), replica("a")], Verdict(0, 0, 0)),
        ([A, B], [], [replica("a")], Verdict(1, 0, 0)),
        ([A, B], [Read((), 1.5, 1.6)], [replica("a", "b")], Verdict(0, 1, 0)),
        ([A, B], [Read(("a", "b"), 1.5, 1.6)], [replica("a", "b")], Verdict(0, 1, 0)),
        ([A, B], [Read(("b",), 3.5, 3.6)], [replica("a", "b")], Verdict(0, 1, 0)),
        ([A, B], [], [replica("a", "b"), replica("b")], Verdict(0, 0, 1)),
        ([A, B], [], [replica("a", "b", "a"), replica("a", "a", "b")], Verdict(0, 0, 1)),
        ([A, B._replace(answer=b"2")], [], [replica("a", "b")], Verdict(0, 0, 1)),
    ],
)
def test_the_judge_counts_what_must_not_be(
    changes: list[Change], reads: list[Read], replicas: list[SingleCopy], verdict: Verdict
):
    assert judge(changes, reads, replicas) == verdict


@pytest.mark.parametrize("seed", [7001, 7002])
def test_nothing_is_lost_reverted_or_applied_twice_under_faults(seed: int):
    history = run_virtual(run_history(seed, 100))
    assert history.verdict == Verdict(0, 0, 0)
    assert history.two_leaders == 0
    assert history.faults > 0
