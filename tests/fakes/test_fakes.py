"""Check that the fakes fail in the ways that they promise."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from cranberrywall.runtime import Reader, Writer
from tests.fakes.clock import ManualClock, VirtualClock, run_virtual
from tests.fakes.network import FakeFabric, MachineLink, Rule
from tests.fakes.storage import DISK_FULL, CrashError, FakeStorage

ONE, TWO = "10.0.0.1", "10.0.0.2"


async def connect(fabric: FakeFabric) -> tuple[Reader, Writer, Reader, Writer]:
    """Return the dialler's ends and the listener's ends of one connection."""
    accepted: asyncio.Future[tuple[Reader, Writer]] = asyncio.get_running_loop().create_future()

    async def on_connect(reader: Reader, writer: Writer) -> None:
        accepted.set_result((reader, writer))

    listener = await fabric.network(TWO).listen(f"{TWO}:0", on_connect)
    reader, writer = await fabric.network(ONE).dial(listener.address, 1.0)
    return reader, writer, *await accepted


def in_fabric(test: Callable[[FakeFabric], Awaitable[None]], rule: Rule | None = None) -> None:
    async def main() -> None:
        await test(FakeFabric(VirtualClock(), random.Random(1), rule))

    run_virtual(main())


def test_a_cut_holds_bytes_of_one_direction_until_it_is_mended():
    async def test(fabric: FakeFabric):
        reader, writer, far_reader, far_writer = await connect(fabric)
        fabric.cut_one_way(ONE, TWO)
        writer.write(b"there")
        far_writer.write(b"back")
        assert await reader.readexactly(4) == b"back"
        arriving = asyncio.ensure_future(far_reader.readexactly(5))
        await asyncio.sleep(100)
        assert not arriving.done()
        fabric.heal(ONE, TWO)
        assert await arriving == b"there"

    in_fabric(test)


def test_a_dial_over_a_cut_times_out_and_a_dial_to_nobody_is_refused():
    async def test(fabric: FakeFabric):
        with pytest.raises(ConnectionRefusedError):
            await fabric.network(ONE).dial(f"{TWO}:1", 1.0)
        fabric.cut(ONE, TWO)
        with pytest.raises(TimeoutError):
            await fabric.network(ONE).dial(f"{TWO}:1", 1.0)

    in_fabric(test)


def test_jitter_reorders_across_connections_but_not_within_one():
    async def test(fabric: FakeFabric):
        arrivals: list[int] = []

        async def read(number: int, reader: Reader) -> None:
            for expected in b"abc":
                assert await reader.readexactly(1) == bytes([expected])
                arrivals.append(number)

        ends = [await connect(fabric) for _ in range(3)]
        for _, writer, _, _ in ends:
            for letter in (b"a", b"b", b"c"):
                writer.write(letter)
        await asyncio.gather(*(read(number, end[2]) for number, end in enumerate(ends)))
        assert arrivals != sorted(arrivals)

    in_fabric(test, Rule(delay=0.01, jitter=0.5))


def test_a_halved_connection_swallows_and_a_dropped_one_fails_both_ends():
    async def test(fabric: FakeFabric):
        reader, writer, far_reader, far_writer = await connect(fabric)
        fabric.halve(ONE, TWO)
        writer.write(b"lost")
        await writer.drain()
        far_writer.write(b"back")
        assert await reader.readexactly(4) == b"back"
        fabric.drop(ONE, TWO)
        for end in (reader, far_reader):
            with pytest.raises(ConnectionError):
                await end.readexactly(1)
        with pytest.raises(ConnectionError):
            await far_writer.drain()

    in_fabric(test)


def test_a_closed_end_is_seen_as_the_end_of_the_stream_after_its_last_bytes():
    async def test(fabric: FakeFabric):
        _, writer, far_reader, far_writer = await connect(fabric)
        writer.write(b"bye")
        writer.close()
        assert await far_reader.readexactly(3) == b"bye"
        with pytest.raises(asyncio.IncompleteReadError):
            await far_reader.readexactly(1)
        with pytest.raises(ConnectionError):
            await far_writer.drain()

    in_fabric(test, Rule(delay=0.01))


def test_a_writer_waits_for_a_reader_that_does_not_read():
    async def test(fabric: FakeFabric):
        _, writer, far_reader, _ = await connect(fabric)
        writer.write(bytes(100_000))
        drained = asyncio.ensure_future(writer.drain())
        await asyncio.sleep(10)
        assert not drained.done()
        await far_reader.readexactly(50_000)
        await drained

    in_fabric(test)


def test_a_machines_link_takes_time_for_bytes_in_each_direction():
    async def test(fabric: FakeFabric):
        fabric.set_link(ONE, MachineLink(100_000.0))
        fabric.set_link(TWO, MachineLink(200_000.0, seconds_per_byte=5e-6))
        reader, writer, far_reader, far_writer = await connect(fabric)
        began_at = fabric.clock.now()
        writer.write(bytes(100_000))
        await far_reader.readexactly(100_000)
        there_s = fabric.clock.now() - began_at
        assert 1.0 <= there_s < 1.2
        far_writer.write(bytes(100_000))
        await reader.readexactly(100_000)
        assert 1.0 <= fabric.clock.now() - began_at - there_s < 1.2

    in_fabric(test)


def test_connections_of_one_machine_share_its_link():
    """A short message waits behind what other connections have under way, not behind all of it."""

    async def test(fabric: FakeFabric):
        fabric.set_link(ONE, MachineLink(100_000.0))
        _, writer, far_reader, _ = await connect(fabric)
        _, other_writer, other_far_reader, _ = await connect(fabric)
        writer.write(bytes(1_000_000))
        other_writer.write(b"short")
        await other_far_reader.readexactly(5)
        assert 0.5 < fabric.clock.now() < 1.0
        await far_reader.readexactly(1_000_000)
        assert fabric.clock.now() >= 10.0

    in_fabric(test)


def test_a_silence_ends():
    async def test(fabric: FakeFabric):
        _, writer, far_reader, _ = await connect(fabric)
        fabric.silence(TWO)
        writer.write(b"held")
        arriving = asyncio.ensure_future(far_reader.readexactly(4))
        await asyncio.sleep(10)
        assert not arriving.done()
        fabric.unsilence(TWO)
        assert await arriving == b"held"

    in_fabric(test)


def test_chunks_may_come_twice():
    async def test(fabric: FakeFabric):
        _, writer, far_reader, _ = await connect(fabric)
        writer.write(b"ab")
        assert await far_reader.readexactly(4) == b"abab"

    in_fabric(test, Rule(duplicates=1.0))


def test_a_crash_loses_what_was_not_synced_and_may_tear_the_tail():
    storage = FakeStorage(random.Random(3))
    file = storage.open_append("log/1")
    file.append(b"kept")
    file.sync()
    file.append(b"unsynced tail")
    storage.crash()
    with pytest.raises(CrashError):
        storage.read("log/1")
    storage.restart()
    data = storage.read("log/1")
    assert data is not None and data.startswith(b"kept") and len(data) < 17
    with pytest.raises(CrashError):
        file.append(b"from before")


def test_each_operation_can_crash_and_replace_is_all_or_nothing():
    for operation in range(1, 5):
        storage = FakeStorage(random.Random(operation))
        storage.crash_at = operation
        with pytest.raises(CrashError):
            storage.replace("a", b"old")
            storage.replace("a", b"new")
        storage.restart()
        assert storage.read("a") in ((None, b"old") if operation < 3 else (b"old", b"new"))


def test_errors_come_at_the_operation_named():
    storage = FakeStorage()
    file = storage.open_append("log")
    storage.error_by_operation = {2: DISK_FULL}
    with pytest.raises(OSError, match="No space left"):
        file.append(b"12345678")
    assert storage.read("log") == b"1234"


def test_a_failed_sync_loses_its_bytes_though_a_later_one_succeeds():
    storage = FakeStorage()
    file = storage.open_append("log")
    file.append(b"ab")
    storage.error_by_operation = {3: DISK_FULL}
    with pytest.raises(OSError):
        file.sync()
    file.append(b"cd")
    file.sync()
    storage.restart()
    assert storage.read("log") == b"\0\0cd"


async def test_the_manual_clock_wakes_sleepers_in_order():
    clock = ManualClock()
    woken: list[float] = []

    async def sleeper(seconds: float) -> None:
        await clock.sleep(seconds)
        woken.append(clock.now() - 1000.0)

    tasks = [asyncio.ensure_future(sleeper(seconds)) for seconds in (3.0, 1.0, 2.0)]
    await clock.advance(2.5)
    assert woken == [1.0, 2.0]
    await clock.advance(0.5)
    assert woken == [1.0, 2.0, 3.0]
    await asyncio.gather(*tasks)


def test_waiting_for_nothing_in_virtual_time_is_an_error():
    async def main() -> None:
        await asyncio.Event().wait()

    with pytest.raises(RuntimeError, match="never comes"):
        run_virtual(main())
