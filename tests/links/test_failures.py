"""Cause losses, cuts and slow peers on the streams."""

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


def test_nobody_listens_then_somebody_does():
    """A host is down: calls fail at once as unreachable, also while the next dial waits.

    When it is back, a call succeeds within the longest back-off.
    """

    async def test(pair: Pair):
        await pair.server.close()
        began = pair.clock.now()
        for _ in range(50):
            result = await pair.work(Work("a"))
            assert kind_of(result) is ErrorKind.UNREACHABLE
            await pair.clock.sleep(0.05)
        assert pair.clock.now() - began == pytest.approx(50 * 0.05)
        pair.server = pair.make_server()
        await pair.server.start()
        await pair.clock.sleep(pair.limits.backoff_most)
        assert isinstance(await pair.work(Work("b")), Ok)

    in_pair(test)


def test_a_dial_over_a_cut_is_unreachable_at_the_deadline():
    async def test(pair: Pair):
        pair.fabric.cut(CALLER_IP, SERVER_IP)
        began = pair.clock.now()
        assert kind_of(await pair.work(Work("a"), 0.3)) is ErrorKind.UNREACHABLE
        assert pair.clock.now() - began == pytest.approx(0.3)
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
def test_a_silent_cut_is_noticed_and_a_new_connection_made_after_it(direction: str):
    """Packets are dropped for 20 s, in one direction or both, and no end is closed.

    Calls time out meanwhile. When the cut is mended, calls must work within the longest
    back-off and a dial: waiting for the old connection's retransmissions would take longer.
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
        pair.fabric.mend(CALLER_IP, SERVER_IP)
        await pair.clock.sleep(pair.limits.backoff_most + pair.limits.dial_timeout)
        assert await pair.work(Work("after")) == Ok(Done("after"))

    in_pair(test, rule=Rule(delay=0.001))


def test_a_halved_connection_is_given_up():
    """A host on the way forgets the connection: what goes out vanishes, and no reset comes."""

    async def test(pair: Pair):
        await pair.work(Work("before"))
        pair.fabric.halve(CALLER_IP, SERVER_IP)
        assert kind_of(await pair.work(Work("lost"), 10.0)) is ErrorKind.TIMEOUT
        await pair.clock.sleep(pair.limits.backoff_most)
        assert isinstance(await pair.work(Work("after")), Ok)

    in_pair(test)


def test_a_call_that_never_left_the_queue_is_unreachable():
    """A peer's reading stops: what is written waits in the buffers, and the rest in the queue.

    The calls whose bytes were handed on are in doubt; the others surely did not run.
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
    """A faulty network doubles bytes: frames come twice, or the stream turns to nonsense."""

    async def test(pair: Pair):
        await pair.work(Work("connect"))
        pair.fabric.set_rule(CALLER_IP, SERVER_IP, Rule(duplicates=1.0))
        for number in range(20):
            await pair.work(Work(str(number)), 0.5)
        assert len(pair.started) == len(set(pair.started)) == 21
        assert pair.dropped()[DropReason.REPEATED_CALL] == 20

    in_pair(test)


async def _deaf_peer(pair: Pair, calls: int) -> None:
    """Authenticate, send calls with large answers in one burst, and never read them."""
    reader, writer = await pair.fabric.network(OTHER_IP).dial(ADDRESS, 1.0)
    handshake = Handshake(KEY, Peer("deaf", "kranj", 1), 2048, pair.caller_counters)
    await handshake.as_client(reader, writer)
    for number in range(1, calls + 1):
        body = (number, WORK.name, 60.0, Work("big", size=50_000))
        writer.write(encode_frame(FrameKind.CALL, body))


def test_a_peer_that_does_not_read_is_bounded_then_dropped_and_harms_nobody():
    async def test(pair: Pair):
        await _deaf_peer(pair, calls=200)
        await pair.clock.sleep(1)
        [deaf] = pair.server.state()["peers"]
        assert deaf["queued_bytes"] < 5_000_000
        assert isinstance(await pair.work(Work("other")), Ok)
        await pair.clock.sleep(pair.limits.write_timeout)
        assert pair.dropped()[DropReason.SLOW_PEER] == 1
        assert [peer["host"] for peer in pair.server.state()["peers"]] == [f"host-{CALLER_IP}"]

    in_pair(test, Limits(queued_bytes=1_000_000))


def test_many_hosts_redial_at_different_moments():
    """A host comes back and all others dial it; with equal back-offs they would all at once."""

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
    """A host joins by another and does not call it again for long.

    With 1,700 hosts that join by the same few, each of these would keep 1,700 connections.
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
    """A connection is being closed as idle, over a few turns of the event loop; a call comes."""

    async def test(pair: Pair):
        await pair.work(Work("a"))
        [link] = pair.caller._outlet_by_address.values()  # type: ignore[attr-defined]  # the moment shows only inside
        wait_until_asked = link._wait_until_asked
        calls = []

        async def call_as_it_ends() -> None:
            try:
                await wait_until_asked()
            except Exception:
                calls.append(asyncio.ensure_future(pair.work(Work("b"))))
                raise

        link._wait_until_asked = call_as_it_ends
        await pair.clock.sleep(pair.limits.idle_after * 1.5)
        assert await asyncio.gather(*calls) == [Ok(Done("b"))]

    in_pair(test)
