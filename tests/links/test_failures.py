"""Tests of lost connections, partitions and slow peers."""

import asyncio

import pytest
from result import Err, Ok

from cranberrywall.errors import ErrorKind
from cranberrywall.links import DropReason, Limits, LinkCaller
from cranberrywall.links._frames import FrameKind, encode_frame
from cranberrywall.links._handshake import Handshake
from cranberrywall.links._interfaces import Peer
from tests.fakes.network import Rule
from tests.links.pair import (
    ADDRESS,
    CALLER_IP,
    KEY,
    OTHER_IP,
    SERVER_IP,
    WORK,
    Done,
    Pair,
    Work,
    in_pair,
)
from tests.links.test_calls import kind_of


def test_no_process_listens_then_one_does():
    """A host is down: calls fail immediately as unreachable, also during the backoff.

    When it is back, a call succeeds within the longest backoff.
    """

    async def test(pair: Pair):
        await pair.server.close()
        started_at = pair.clock.now()
        for _ in range(50):
            result = await pair.work(Work("a"))
            assert kind_of(result) is ErrorKind.UNREACHABLE
            await pair.clock.sleep(0.05)
        assert pair.clock.now() - started_at == pytest.approx(50 * 0.05)
        pair.server = pair.make_server()
        await pair.server.start()
        await pair.clock.sleep(pair.limits.backoff_most)
        assert isinstance(await pair.work(Work("b")), Ok)

    in_pair(test)


def test_a_dial_during_a_partition_is_unreachable_at_the_deadline():
    async def test(pair: Pair):
        pair.fabric.cut(CALLER_IP, SERVER_IP)
        started_at = pair.clock.now()
        assert kind_of(await pair.work(Work("a"), 0.3)) is ErrorKind.UNREACHABLE
        assert pair.clock.now() - started_at == pytest.approx(0.3)
        assert pair.started == []

    in_pair(test)


def test_a_lost_connection_leaves_calls_in_doubt_and_the_next_call_redials():
    async def test(pair: Pair):
        call = asyncio.ensure_future(pair.work(Work("a", 0.5)))
        await pair.clock.sleep(0.1)
        pair.fabric.drop(CALLER_IP, SERVER_IP)
        assert kind_of(await call) is ErrorKind.TIMEOUT
        await pair.clock.sleep(pair.limits.backoff_first)
        assert isinstance(await pair.work(Work("b")), Ok)

    in_pair(test)


@pytest.mark.parametrize("direction", ["there", "back", "both"])
def test_a_partition_without_resets_is_detected_and_a_new_connection_made_after_it(direction: str):
    """Packets are dropped for 20 s, in one direction or both, and neither end is closed.

    Calls time out in the meantime. After the partition, calls must work within the longest
    backoff and a dial: waiting for the old connection's retransmissions would take longer.
    """

    async def test(pair: Pair):
        assert isinstance(await pair.work(Work("before")), Ok)
        if direction in ("there", "both"):
            pair.fabric.cut_one_way(CALLER_IP, SERVER_IP)
        if direction in ("back", "both"):
            pair.fabric.cut_one_way(SERVER_IP, CALLER_IP)
        kinds = set()
        for _ in range(20):
            kinds.add(kind_of(await pair.work(Work("cut"), 0.5)))
            await pair.clock.sleep(0.5)
        assert kinds == {ErrorKind.TIMEOUT, ErrorKind.UNREACHABLE}
        assert pair.caller_counters.dropped_by_reason[DropReason.SILENT_PEER] == 1
        pair.fabric.heal(CALLER_IP, SERVER_IP)
        await pair.clock.sleep(pair.limits.backoff_most + pair.limits.dial_timeout)
        assert await pair.work(Work("after")) == Ok(Done("after"))

    in_pair(test, rule=Rule(delay=0.001))


def test_a_call_of_a_partition_does_not_arrive_long_after_it():
    """Guards against commands that overtake later ones, and against a burst of them at a leader.

    The connection was given up in the partition, and calls are made on the next one.
    """

    async def test(pair: Pair):
        assert isinstance(await pair.work(Work("before")), Ok)
        pair.fabric.cut(CALLER_IP, SERVER_IP)
        assert kind_of(await pair.work(Work("cut"), 0.5)) is ErrorKind.TIMEOUT
        await pair.clock.sleep(2 * pair.limits.ping_after + pair.limits.silence)
        pair.fabric.heal(CALLER_IP, SERVER_IP)
        assert await pair.work(Work("after"), 5.0) == Ok(Done("after"))
        await pair.clock.sleep(20.0)
        assert pair.started == ["before", "after"]

    in_pair(test)


def test_a_half_open_connection_is_closed():
    """A router drops the connection's state: sent data is lost, and no reset arrives."""

    async def test(pair: Pair):
        await pair.work(Work("before"))
        pair.fabric.halve(CALLER_IP, SERVER_IP)
        assert kind_of(await pair.work(Work("lost"), 10.0)) is ErrorKind.TIMEOUT
        await pair.clock.sleep(pair.limits.backoff_most)
        assert isinstance(await pair.work(Work("after")), Ok)

    in_pair(test)


def test_a_call_that_never_left_the_queue_is_unreachable():
    """A peer stops reading: written data stays in the buffers, and the rest in the queue.

    The outcome of calls whose bytes were written is unknown; the others cannot have run.
    """

    async def test(pair: Pair):
        await pair.work(Work("connect"))
        pair.fabric.cut_one_way(CALLER_IP, SERVER_IP)
        big = [
            asyncio.ensure_future(pair.work(Work("x" * 300_000), 0.5 + number / 1000))
            for number in range(4)
        ]
        kinds = [kind_of(result) for result in await asyncio.gather(*big)]
        assert kinds == [ErrorKind.TIMEOUT] + [ErrorKind.UNREACHABLE] * 3

    in_pair(test, Limits(queued_bytes=500_000))


def test_chunks_that_come_twice_never_run_a_call_twice():
    """A faulty network duplicates bytes: frames arrive twice, or the stream becomes invalid."""

    async def test(pair: Pair):
        await pair.work(Work("connect"))
        pair.fabric.set_rule(CALLER_IP, SERVER_IP, Rule(duplicates=1.0))
        for number in range(20):
            await pair.work(Work(str(number)), 0.5)
        assert len(pair.started) == len(set(pair.started)) == 21
        assert pair.dropped()[DropReason.REPEATED_CALL] == 20

    in_pair(test)


async def _connect_unresponsive_reader(pair: Pair, calls: int) -> None:
    """Authenticate, send a burst of calls with large answers, and never read the answers."""
    reader, writer = await pair.fabric.network(OTHER_IP).dial(ADDRESS, 1.0)
    handshake = Handshake(KEY, Peer("deaf", "kranj", 1), 2048, pair.caller_counters)
    await handshake.as_client(reader, writer)
    for number in range(1, calls + 1):
        body = (number, WORK.name, 60.0, Work("big", size=50_000))
        writer.write(encode_frame(FrameKind.CALL, body))


def test_a_peer_that_does_not_read_is_bounded_then_dropped_and_harms_no_other_peer():
    async def test(pair: Pair):
        await _connect_unresponsive_reader(pair, calls=200)
        await pair.clock.sleep(1)
        [peer_state] = pair.server.state()["peers"]
        assert peer_state["queued_bytes"] < 5_000_000
        assert isinstance(await pair.work(Work("other")), Ok)
        await pair.clock.sleep(pair.limits.write_timeout)
        assert pair.dropped()[DropReason.SLOW_PEER] == 1
        assert [peer["host"] for peer in pair.server.state()["peers"]] == [f"host-{CALLER_IP}"]

    in_pair(test, Limits(queued_bytes=1_000_000))


def test_many_hosts_redial_at_different_moments():
    """All hosts redial a restarted host; with equal backoffs they would dial at the same time."""

    async def test(pair: Pair):
        await pair.server.close()
        callers: list[LinkCaller] = [pair.make_caller(f"10.0.1.{n}") for n in range(2)]
        waits = []
        for caller in (*callers, pair.caller):
            for _ in range(2):
                result = await caller.call(ADDRESS, WORK, Work("a"), 1.0)
            assert isinstance(result, Err)
            waits.append(result.err_value.retry_after)
        assert all(wait and 0.02 < wait <= 0.05 for wait in waits)
        assert len(set(waits)) == 3

    in_pair(test)


def test_after_close_nothing_is_dialled():
    async def test(pair: Pair):
        call = asyncio.ensure_future(pair.work(Work("a", 0.5)))
        await pair.clock.sleep(0.1)
        await pair.caller.close()
        assert kind_of(await call) is ErrorKind.TIMEOUT
        assert kind_of(await pair.work(Work("b"))) is ErrorKind.UNREACHABLE

    in_pair(test)


def test_an_idle_connection_is_closed_and_made_again_without_a_failed_call():
    """A host joins through another host and does not call it again for a long time.

    If 1,700 hosts join through the same few, each of these would keep 1,700 connections.
    """

    async def test(pair: Pair):
        assert isinstance(await pair.work(Work("a", 300.0), 400.0), Ok)
        assert pair.caller.state()["peers"][ADDRESS]["connected"]
        await pair.clock.sleep(pair.limits.idle_after * 2)
        assert not pair.caller.state()["peers"][ADDRESS]["connected"]
        assert pair.server.state()["peers"] == []
        assert isinstance(await pair.work(Work("b")), Ok)

    in_pair(test, rule=Rule(delay=0.001))


def test_a_call_at_the_very_moment_of_an_idle_end_goes_through():
    """A call arrives while an idle connection closes, over a few turns of the event loop."""

    async def test(pair: Pair):
        await pair.work(Work("a"))
        [link] = pair.caller._connection_by_address.values()  # type: ignore[attr-defined]  # the moment shows only inside
        wait_for_call = link._wait_for_call
        calls = []

        async def call_as_it_ends() -> None:
            try:
                await wait_for_call()
            except Exception:
                calls.append(asyncio.ensure_future(pair.work(Work("b"))))
                raise

        link._wait_for_call = call_as_it_ends
        await pair.clock.sleep(pair.limits.idle_after * 1.5)
        assert await asyncio.gather(*calls) == [Ok(Done("b"))]

    in_pair(test)
