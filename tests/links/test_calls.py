"""Tests of calls between processes, and of their refusals."""

import asyncio
from typing import Any, NamedTuple

import pytest
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import DropReason, Limits, Method, Peer
from tests.fakes.network import Rule
from tests.links.pair import (
    ADDRESS,
    CALLER_IP,
    CANCELLABLE,
    OTHER_IP,
    SERVER_IP,
    WORK,
    Done,
    Pair,
    Work,
    in_pair,
)


def kind_of(result: Result[Done, Refusal]) -> ErrorKind:
    assert isinstance(result, Err)
    return result.err_value.kind


def test_calls_run_side_by_side_on_one_connection():
    async def test(pair: Pair):
        slow = asyncio.ensure_future(pair.work(Work("slow", 0.5)))
        quick = await pair.work(Work("quick"))
        assert quick == Ok(Done("quick"))
        assert pair.finished == ["quick"]
        assert await slow == Ok(Done("slow"))
        assert len(pair.server.state()["peers"]) == 1

    in_pair(test, rule=Rule(delay=0.002))


def test_a_handler_that_raises_harms_only_its_call():
    async def test(pair: Pair):
        slow = asyncio.ensure_future(pair.work(Work("slow", 0.5)))
        assert kind_of(await pair.work(Work("raise"))) is ErrorKind.INTERNAL
        assert isinstance(await slow, Ok)

    in_pair(test)


class Weird(NamedTuple):
    number: int


class Unsendable(NamedTuple):
    thing: object


async def _refuse(work: Work, peer: Peer) -> Result[Done, Refusal]:
    refusal = Refusal(ErrorKind.CONFLICT, f"no, {peer.host}", "name", "take another", 1.5)
    return Err(refusal)


async def _unsendable(work: Work, peer: Peer) -> Result[object, Refusal]:
    return Ok(Unsendable(object()))


def test_refusals_arrive_complete():
    async def test(pair: Pair):
        refuse = Method("test.refuse", Work, Done)
        pair.server.register(refuse, _refuse)
        result = await pair.caller.call(ADDRESS, refuse, Work("a"), 1.0)
        message = f"no, host-{CALLER_IP}"
        assert result == Err(Refusal(ErrorKind.CONFLICT, message, "name", "take another", 1.5))

    in_pair(test)


def test_a_second_handler_for_a_method_is_an_error():
    async def test(pair: Pair):
        with pytest.raises(ValueError, match=r"test\.work"):
            pair.server.register(WORK, _refuse)

    in_pair(test)


def test_calls_that_do_not_fit_are_refused_and_counted():
    async def test(pair: Pair):
        unsendable = Method("test.unsendable", Work, Done)
        pair.server.register(unsendable, _unsendable)
        cases: list[tuple[Method[Any, Any], object, ErrorKind]] = [
            (Method("test.nothing", Work, Done), Work("a"), ErrorKind.MALFORMED),
            (Method("test.work", Weird, Done), Weird(3), ErrorKind.MALFORMED),
            (Method("test.work", Work, Weird), Work("a"), ErrorKind.INTERNAL),
            (WORK, Work("a" * 5000), ErrorKind.TOO_LARGE),
            (WORK, Work("a", size=5000), ErrorKind.INTERNAL),
            (unsendable, Work("a"), ErrorKind.INTERNAL),
        ]
        for method, request, kind in cases:
            result = await pair.caller.call(ADDRESS, method, request, 1.0)
            assert kind_of(result) is kind
        assert pair.dropped() == {DropReason.UNKNOWN_METHOD: 1, DropReason.MALFORMED_REQUEST: 1}
        assert pair.caller_counters.dropped_by_reason == {DropReason.MALFORMED_REPLY: 1}
        assert isinstance(await pair.work(Work("still")), Ok)

    in_pair(test, Limits(frame_bytes=4000))


def test_the_answer_to_a_call_that_timed_out_is_not_sent():
    async def test(pair: Pair):
        assert kind_of(await pair.work(Work("late", 0.5), 0.2)) is ErrorKind.TIMEOUT
        await pair.clock.sleep(1)
        assert pair.finished == ["late"]
        assert pair.dropped() == {DropReason.EXPIRED_CALL: 1}

    in_pair(test)


def test_an_answer_in_flight_when_the_caller_times_out_is_dropped():
    async def test(pair: Pair):
        await pair.work(Work("connect"))
        pair.fabric.set_rule(SERVER_IP, CALLER_IP, Rule(delay=0.5))
        assert kind_of(await pair.work(Work("late"), 0.2)) is ErrorKind.TIMEOUT
        assert await pair.work(Work("next")) == Ok(Done("next"))
        assert pair.caller_counters.dropped_by_reason == {DropReason.LATE_REPLY: 1}

    in_pair(test)


def test_only_cancellable_work_is_stopped_when_no_caller_waits():
    async def test(pair: Pair):
        for method in (WORK, CANCELLABLE):
            call = pair.caller.call(ADDRESS, method, Work(f"deadline {method.name}", 1.0), 0.5)
            assert kind_of(await call) is ErrorKind.TIMEOUT
            cancelled = asyncio.ensure_future(
                pair.caller.call(ADDRESS, method, Work(f"cancel {method.name}", 1.0), 5.0)
            )
            await pair.clock.sleep(0.1)
            cancelled.cancel()
            await pair.clock.sleep(2.0)
            interrupted = asyncio.ensure_future(
                pair.caller.call(ADDRESS, method, Work(f"reset {method.name}", 1.0), 5.0)
            )
            await pair.clock.sleep(0.1)
            pair.fabric.drop(CALLER_IP, SERVER_IP)
            assert kind_of(await interrupted) is ErrorKind.TIMEOUT
            await pair.clock.sleep(2.0)
        assert len(pair.started) == 6
        assert pair.finished == [f"{end} test.work" for end in ("deadline", "cancel", "reset")]

    in_pair(test)


def test_too_many_calls_of_one_peer_are_refused_also_over_new_connections():
    """One peer's handlers hang; the peer loses its connection, reconnects and calls again.

    Without a count over all connections, each new one would allow as many handlers again.
    """

    async def test(pair: Pair):
        hanging = [asyncio.ensure_future(pair.work(Work("hang", 60), 0.5)) for _ in range(4)]
        await asyncio.gather(*hanging)
        pair.fabric.drop(CALLER_IP, SERVER_IP)
        await pair.clock.sleep(5)
        assert kind_of(await pair.work(Work("more"))) is ErrorKind.OVERLOADED
        other = pair.make_caller(OTHER_IP)
        assert await other.call(ADDRESS, WORK, Work("other"), 1.0) == Ok(Done("other"))
        await other.close()

    in_pair(test, Limits(calls=4))


def test_the_caller_waits_for_capacity_within_its_deadline():
    async def test(pair: Pair):
        first = [asyncio.ensure_future(pair.work(Work("first", 0.5), 5.0)) for _ in range(2)]
        await pair.clock.sleep(0.01)
        waiting = asyncio.ensure_future(pair.work(Work("waiting"), 5.0))
        assert kind_of(await pair.work(Work("hurried"), 0.1)) is ErrorKind.UNREACHABLE
        assert isinstance(await waiting, Ok)
        await asyncio.gather(*first)
        assert pair.started == ["first", "first", "waiting"]
        assert isinstance(await pair.work(Work("after")), Ok)

    in_pair(test, Limits(calls=2))


def test_calls_that_timed_out_waiting_delay_no_other_call():
    async def test(pair: Pair):
        first = asyncio.ensure_future(pair.work(Work("first", 0.5), 5.0))
        await pair.clock.sleep(0.01)
        short_deadline = [asyncio.ensure_future(pair.work(Work("hurried"), 0.1)) for _ in range(3)]
        for result in await asyncio.gather(*short_deadline):
            assert kind_of(result) is ErrorKind.UNREACHABLE
        await first
        assert isinstance(await pair.work(Work("after"), 0.2), Ok)

    in_pair(test, Limits(calls=1))


def test_capacity_given_to_a_call_that_is_cancelled_goes_to_the_next():
    async def test(pair: Pair):
        async def work_then_cancel() -> None:
            await pair.work(Work("first", 0.5), 5.0)
            # The capacity of the first call has just been given to the second.
            second.cancel()

        first = asyncio.ensure_future(work_then_cancel())
        await pair.clock.sleep(0.01)
        second = asyncio.ensure_future(pair.work(Work("second"), 5.0))
        third = asyncio.ensure_future(pair.work(Work("third"), 5.0))
        await first
        assert isinstance(await third, Ok)
        assert pair.started == ["first", "third"]

    in_pair(test, Limits(calls=1))
