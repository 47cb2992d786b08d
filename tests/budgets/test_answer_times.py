"""Test the time limit of calls to the ledger."""

from result import Err, Ok, Result

from cranberrywall.budgets._answer_times import AnswerTimes
from cranberrywall.errors import ErrorKind, Refusal
from tests.fakes.clock import ManualClock

MIN_S = 0.25
MAX_S = 1.0


def test_quick_answers_leave_the_least_limit() -> None:
    times = AnswerTimes(MIN_S, MAX_S)
    for _ in range(20):
        times.record_answer(0.004)
    assert times.limit_s == MIN_S


def test_slow_answers_raise_the_limit_above_their_time() -> None:
    """A host whose link was full took each slow answer for a lost ledger."""
    times = AnswerTimes(MIN_S, MAX_S)
    times.record_timeout()
    assert times.limit_s == 2 * MIN_S
    for _ in range(50):
        times.record_answer(0.4)
    assert 0.4 < times.limit_s < MAX_S


def test_every_other_call_in_a_partition_has_the_usual_limit() -> None:
    """Otherwise the end of a partition would be found as late as the highest limit allows."""
    times = AnswerTimes(MIN_S, MAX_S)
    limits = []
    for _ in range(4):
        limits.append(times.limit_s)
        times.record_timeout()
    assert limits == [0.25, 0.5, 0.25, 0.5]


async def test_a_call_with_the_highest_limit_shows_how_long_answers_take() -> None:
    """A ledger whose answers take longer than the limit of all calls stayed lost."""
    clock = ManualClock()
    times = AnswerTimes(MIN_S, MAX_S)
    limits = []

    async def answer_late(limit_s: float) -> Result[str, Refusal]:
        limits.append(limit_s)
        await clock.advance(0.6)
        return Ok("answer")

    async def time_out(limit_s: float) -> Result[str, Refusal]:
        return Err(Refusal(ErrorKind.TIMEOUT, "no leader answered"))

    await times.measure(time_out, clock)
    assert times.limit_s == MIN_S
    await times.measure(answer_late, clock)
    assert limits == [MAX_S]
    assert times.limit_s > 0.6


def test_a_fixed_limit_does_not_move() -> None:
    times = AnswerTimes(MAX_S, MAX_S)
    times.record_timeout()
    times.record_answer(3.0)
    assert times.limit_s == MAX_S
