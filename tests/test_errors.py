"""Completeness and consistency of the table of answers."""

import pytest

from cranberrywall.errors import TABLE, ErrorKind, Ran, Refusal, answer_for


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_each_kind_has_an_answer(kind: ErrorKind) -> None:
    assert 400 <= TABLE[kind].status < 600


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_a_retry_is_safe_only_where_the_outcome_is_known_or_the_work_is_undone(
    kind: ErrorKind,
) -> None:
    answer = TABLE[kind]
    if answer.ran is Ran.NO:
        assert answer.retry_safe


def test_a_refusal_may_set_its_own_time_to_come_back() -> None:
    assert answer_for(Refusal(ErrorKind.OVERLOADED, retry_after=7.5)).retry_after == 7.5
    assert answer_for(Refusal(ErrorKind.OVERLOADED)).retry_after == 2.0
