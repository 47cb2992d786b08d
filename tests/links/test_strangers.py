"""Tests of invalid input: each case is counted by reason and harms no other peer."""

import asyncio
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import msgpack
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from cranberrywall.errors import ErrorKind
from cranberrywall.links import DropReason, Limits, Peer
from cranberrywall.links._frames import VERSION, FrameKind, encode_frame, read_frame
from cranberrywall.links._handshake import Handshake
from cranberrywall.runtime import Reader, Writer
from tests.links.pair import ADDRESS, CALLER_IP, KEY, OTHER_IP, WORK, Pair, Work, in_pair
from tests.links.test_calls import kind_of

DEEP = b"\x91" * 100_000 + b"\xc0"
DEEP_REQUEST = b"\x94\x01\xa9test.work\x01" + DEEP
BAD_UTF8 = b"\x94\x01\xa2\xff\xfe\x01\x90"


def raw(kind: int, body: bytes, version: int = VERSION) -> bytes:
    return struct.pack(">IBB", len(body) + 2, version, kind) + body


def call(number: Any = 1, method: Any = WORK.name, timeout: Any = 1.0, request: Any = ()) -> bytes:
    return encode_frame(FrameKind.CALL, (number, method, timeout, request))


MALFORMED = [
    ("cut in the length", b"\x00\x00", DropReason.TRUNCATED),
    ("cut in the body", raw(FrameKind.PING, b"\x90")[:-1], DropReason.TRUNCATED),
    ("too large", struct.pack(">I", 2**32 - 1), DropReason.TOO_LARGE),
    ("empty", struct.pack(">I", 0), DropReason.MALFORMED_FRAME),
    ("another version", raw(FrameKind.PING, b"\x90", version=9), DropReason.BAD_VERSION),
    ("unknown kind", raw(99, b"\x90"), DropReason.UNKNOWN_FRAME),
    ("an answer to a server", raw(FrameKind.REPLY, b"\x92\x01\xc0"), DropReason.UNKNOWN_FRAME),
    ("a handshake again", raw(FrameKind.HELLO, b"\x90"), DropReason.UNKNOWN_FRAME),
    ("no msgpack", raw(FrameKind.CALL, b"\xc1\xc1\xc1"), DropReason.MALFORMED_FRAME),
    ("trailing bytes", raw(FrameKind.CANCEL, b"\x91\x01\x00"), DropReason.MALFORMED_FRAME),
    ("too few fields", raw(FrameKind.CALL, b"\x91\x01"), DropReason.MALFORMED_FRAME),
    ("a text for a number", call(number="one"), DropReason.MALFORMED_FRAME),
    ("a name that is no text", raw(FrameKind.CALL, BAD_UTF8), DropReason.MALFORMED_FRAME),
    ("a deadline that is no number", call(timeout=float("nan")), DropReason.MALFORMED_FRAME),
    ("an endless deadline", call(timeout=float("inf")), DropReason.MALFORMED_FRAME),
    ("a past deadline", call(timeout=-1.0), DropReason.MALFORMED_FRAME),
    ("nested too deep", raw(FrameKind.CALL, DEEP_REQUEST), DropReason.MALFORMED_FRAME),
    ("nested too deep outside", raw(FrameKind.CANCEL, DEEP), DropReason.MALFORMED_FRAME),
    ("a request of another shape", call(request=(1, 2, 3, 4)), DropReason.MALFORMED_REQUEST),
    ("an unknown method", call(method="x" * 10_000), DropReason.UNKNOWN_METHOD),
    ("a repeated number", call() + call(), DropReason.REPEATED_CALL),
]  # fmt: skip


def test_frames_are_plain_msgpack():
    frame = encode_frame(FrameKind.CALL, (7, "m", 1.5, Work("a")))
    assert struct.unpack(">I", frame[:4]) == (len(frame) - 4,)
    assert frame[4:6] == bytes([VERSION, FrameKind.CALL])
    assert msgpack.unpackb(frame[6:]) == [7, "m", 1.5, ["a", 0.0, 0]]


async def authenticate(pair: Pair) -> tuple[Reader, Writer]:
    reader, writer = await pair.fabric.network(OTHER_IP).dial(ADDRESS, 1.0)
    identity = Peer("odd", "kranj", 1)
    await Handshake(KEY, identity, 2048, pair.caller_counters).as_client(reader, writer)
    return reader, writer


@pytest.mark.parametrize(("name", "data", "reason"), MALFORMED)
def test_each_malformed_frame_is_counted_and_harms_no_other_peer(
    name: str, data: bytes, reason: DropReason
):
    async def test(pair: Pair):
        valid_call = asyncio.ensure_future(pair.work(Work("honest", 0.5)))
        _, writer = await authenticate(pair)
        writer.write(data)
        await pair.clock.sleep(0.1)
        writer.close()
        await pair.clock.sleep(0.1)
        assert pair.dropped()[reason] == 1
        assert isinstance(await valid_call, Ok)
        assert len(pair.server.state()["peers"]) == 1

    in_pair(test)


FRAMES = st.builds(raw, st.integers(0, 20), st.binary(max_size=30))


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.one_of(st.binary(max_size=60), FRAMES), max_size=5))
def test_no_bytes_stop_the_server(chunks: list[bytes]):
    async def test(pair: Pair):
        _, writer = await authenticate(pair)
        for chunk in chunks:
            writer.write(chunk)
        await pair.clock.sleep(1)
        writer.close()
        _, unauthenticated = await pair.fabric.network(OTHER_IP).dial(ADDRESS, 1.0)
        unauthenticated.write(b"".join(chunks))
        await pair.clock.sleep(1)
        assert isinstance(await pair.work(Work("honest")), Ok)

    in_pair(test)


def test_an_unresponsive_unauthenticated_peer_is_dropped_and_their_number_is_bounded():
    async def test(pair: Pair):
        network = pair.fabric.network(OTHER_IP)
        for _ in range(5):
            await network.dial(ADDRESS, 1.0)
        await pair.clock.sleep(0.1)
        assert pair.dropped() == {DropReason.TOO_MANY_STRANGERS: 2}
        await pair.clock.sleep(pair.limits.handshake_timeout)
        assert pair.dropped()[DropReason.HANDSHAKE_TIMEOUT] == 3
        assert isinstance(await pair.work(Work("honest")), Ok)

    in_pair(test, Limits(strangers=3))


def test_a_caller_with_another_key_is_refused_by_both_ends():
    async def test(pair: Pair):
        unauthenticated = pair.make_caller(OTHER_IP, key=b"j" * 32)
        result = await unauthenticated.call(ADDRESS, WORK, Work("a"), 1.0)
        assert kind_of(result) is ErrorKind.UNREACHABLE
        await unauthenticated.close()
        assert pair.started == []

    in_pair(test)


FrameChange = Callable[[int, Any], Any]


async def _forward(
    reader: Reader, writer: Writer, pair: Pair, change: Callable[[int, Any], Any]
) -> None:
    """Read frames, apply ``change`` to their bodies, and forward them."""
    while True:
        frame = await read_frame(reader, 4096, pair.caller_counters)
        if frame is None:
            return
        body = change(frame[0], msgspec.msgpack.decode(frame[1]))
        writer.write(encode_frame(FrameKind(frame[0]), body))


def call_through_proxy(pair: Pair, change: FrameChange) -> Awaitable[Any]:
    """Call through a proxy that changes frames."""

    async def on_connect(reader: Reader, writer: Writer) -> None:
        far_reader, far_writer = await pair.fabric.network(OTHER_IP).dial(ADDRESS, 1.0)
        there = _forward(reader, far_writer, pair, change)
        back = _forward(far_reader, writer, pair, change)
        await asyncio.gather(there, back, return_exceptions=True)

    async def run() -> Any:
        listener = await pair.fabric.network(OTHER_IP).listen(f"{OTHER_IP}:9", on_connect)
        return await pair.caller.call(listener.address, WORK, Work("a"), 1.0)

    return run()


def _other_host(kind: int, body: Any) -> Any:
    if kind == FrameKind.HELLO:
        return [body[0], ["control-1", *body[1][1:]]]
    return body


def _other_server(kind: int, body: Any) -> Any:
    if kind == FrameKind.CHALLENGE:
        return [body[0], ["control-1", *body[1][1:]], body[2]]
    return body


def _reflect(kind: int, body: Any) -> Any:
    """Answer the server's challenge with the server's own proof."""
    if kind == FrameKind.CHALLENGE:
        _reflect.proof = body[2]  # type: ignore[attr-defined]  # stored for the next frame
    if kind == FrameKind.PROOF:
        return [_reflect.proof]  # type: ignore[attr-defined]  # stored above
    return body


@pytest.mark.parametrize("change", [_other_host, _other_server, _reflect])
def test_changed_identities_and_reflected_proofs_are_refused(change: FrameChange):
    async def test(pair: Pair):
        assert kind_of(await call_through_proxy(pair, change)) is ErrorKind.UNREACHABLE
        drops = pair.counters.dropped_by_reason + pair.caller_counters.dropped_by_reason
        assert drops[DropReason.WRONG_PROOF] == 1
        assert pair.started == []

    in_pair(test)


def test_a_recorded_handshake_is_refused_when_played_again():
    """An eavesdropper records a valid handshake and replays it to the server later."""

    async def test(pair: Pair):
        recorded: dict[int, Any] = {}

        def record(kind: int, body: Any) -> Any:
            recorded[kind] = body
            return body

        assert isinstance(await call_through_proxy(pair, record), Ok)
        reader, writer = await pair.fabric.network(CALLER_IP).dial(ADDRESS, 1.0)
        for kind in (FrameKind.HELLO, FrameKind.PROOF):
            writer.write(encode_frame(kind, recorded[kind]))
        await pair.clock.sleep(0.1)
        assert pair.dropped() == {DropReason.WRONG_PROOF: 1}

    in_pair(test)


INVALID_ANSWERS = [
    ("another version", raw(FrameKind.PONG, b"\x90", version=9), DropReason.BAD_VERSION),
    ("a call to a caller", call(), DropReason.UNKNOWN_FRAME),
    ("no msgpack", raw(FrameKind.REPLY, b"\xc1"), DropReason.MALFORMED_FRAME),
    ("too large", struct.pack(">I", 2**31), DropReason.TOO_LARGE),
    ("an answer to no call", raw(FrameKind.REPLY, b"\x92\x63\xc0"), DropReason.LATE_REPLY),
]


@pytest.mark.parametrize(("name", "data", "reason"), INVALID_ANSWERS)
def test_a_server_that_sends_invalid_frames_leaves_the_call_in_doubt_and_other_calls_intact(
    name: str, data: bytes, reason: DropReason
):
    async def test(pair: Pair):
        async def on_connect(reader: Reader, writer: Writer) -> None:
            handshake = Handshake(KEY, Peer("odd", "kranj", 1), 2048, pair.counters)
            await handshake.as_server(reader, writer)
            await reader.readexactly(1)
            writer.write(data)
            await pair.clock.sleep(5)

        listener = await pair.fabric.network(OTHER_IP).listen(f"{OTHER_IP}:9", on_connect)
        valid_call = asyncio.ensure_future(pair.work(Work("honest", 0.5)))
        result = await pair.caller.call(listener.address, WORK, Work("a"), 1.0)
        assert kind_of(result) is ErrorKind.TIMEOUT
        assert pair.caller_counters.dropped_by_reason[reason] == 1
        assert isinstance(await valid_call, Ok)

    in_pair(test)
