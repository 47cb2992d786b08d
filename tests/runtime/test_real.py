"""Tests of the system's network, files and random numbers; network tests run on uvloop."""

import asyncio
import os
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest
import uvloop

from cranberrywall.runtime import Network, Reader, Writer, make_network, make_random, make_runtime
from cranberrywall.runtime._connecting import REPEAT_INTERVAL_S

SENT_BYTES = 32_000_000
"""More than the buffers of a connection hold."""


def run_on_uvloop(test: Callable[[Network], Awaitable[None]]) -> None:
    async def main() -> None:
        await test(make_network())

    uvloop.run(main())


async def _echo(reader: Reader, writer: Writer) -> None:
    writer.write(await reader.readexactly(4))
    await writer.drain()


def test_bytes_go_there_and_back_and_the_end_is_seen():
    async def test(network: Network):
        listener = await network.listen("127.0.0.1:0", _echo)
        reader, writer = await network.dial(listener.address, 1.0)
        writer.write(b"ping")
        assert await reader.readexactly(4) == b"ping"
        with pytest.raises(asyncio.IncompleteReadError):
            await reader.readexactly(1)
        writer.close()
        writer.close()
        await listener.close()
        with pytest.raises(OSError):
            await network.dial(listener.address, 1.0)

    run_on_uvloop(test)


@contextmanager
def unanswered_listener() -> Iterator[socket.socket]:
    """Yield a listener whose queue is full: new connections get no answer until it accepts."""
    with socket.socket() as listener, socket.socket() as first, socket.socket() as second:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        listener.setblocking(False)
        for waiting in (first, second):
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield listener


def address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()
    return f"{host}:{port}"


async def accept_all(listener: socket.socket) -> None:
    while True:
        connection, _ = await asyncio.get_running_loop().sock_accept(listener)
        connection.close()


def test_a_dial_in_a_partition_is_connected_as_soon_as_it_ends():
    """Guards against hosts that stay out of contact for seconds after a partition."""

    async def test(network: Network):
        with unanswered_listener() as listener:
            dial = asyncio.create_task(network.dial(address_of(listener), 5.0))
            await asyncio.sleep(1.1)
            assert not dial.done()
            accepting = asyncio.create_task(accept_all(listener))
            async with asyncio.timeout(2 * REPEAT_INTERVAL_S):
                _, writer = await dial
            writer.close()
            accepting.cancel()

    run_on_uvloop(test)


def test_a_dial_without_an_answer_times_out_and_leaves_nothing_open():
    async def test(network: Network):
        with unanswered_listener() as listener:
            open_files = len(os.listdir("/proc/self/fd"))
            with pytest.raises(TimeoutError):
                await network.dial(address_of(listener), 0.9)
            await asyncio.sleep(0.05)
            assert len(os.listdir("/proc/self/fd")) == open_files

    run_on_uvloop(test)


def test_a_closed_connection_ends_though_its_peer_does_not_read():
    """A connection is closed while megabytes are queued for a peer that has stopped reading.

    If the close waited until the peer received them, the connection would stay open forever.
    """

    async def test(network: Network):
        ended = asyncio.Event()

        async def on_connect(reader: Reader, writer: Writer) -> None:
            writer.write(bytes(32_000_000))
            writer.close()
            with suppress(ConnectionError):
                await writer.drain()
            ended.set()

        listener = await network.listen("127.0.0.1:0", on_connect)
        reader, writer = await network.dial(listener.address, 1.0)
        await asyncio.wait_for(ended.wait(), 10)
        writer.close()
        await listener.close()

    run_on_uvloop(test)


def test_an_aborted_connection_delivers_nothing_more():
    """Guards against calls that the kernel goes on to send after their connection was given up."""

    async def test(network: Network):
        received = asyncio.get_running_loop().create_future()

        async def on_connect(reader: Reader, writer: Writer) -> None:
            await asyncio.sleep(0.1)
            try:
                received.set_result(await reader.readexactly(SENT_BYTES))
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                received.set_result(error)
            writer.close()

        listener = await network.listen("127.0.0.1:0", on_connect)
        _, writer = await network.dial(listener.address, 1.0)
        writer.write(bytes(SENT_BYTES))
        await asyncio.sleep(0.05)
        writer.abort()
        writer.abort()
        assert isinstance(await asyncio.wait_for(received, 5.0), Exception)
        await listener.close()

    run_on_uvloop(test)


def test_files_are_stored_listed_truncated_and_removed(tmp_path: Path):
    storage = make_runtime(str(tmp_path)).storage
    assert storage is not None
    assert storage.read("a/vote") is None
    assert list(storage.names("a")) == []
    storage.replace("a/vote", b"one")
    storage.replace("a/vote", b"two")
    file = storage.open_append("a/log")
    file.append(b"12345")
    file.sync()
    file.close()
    reopened = storage.open_append("a/log")
    reopened.append(b"6")
    assert storage.read("a/log") == b"123456"
    storage.truncate("a/log", 3)
    reopened.append(b"7")
    reopened.close()
    assert storage.read("a/log") == b"1237"
    (tmp_path / "a" / "vote.beside").write_bytes(b"left over from a crash")
    assert list(storage.names("a")) == ["log", "vote"]
    storage.remove("a/vote")
    storage.remove("a/vote")
    assert list(storage.names("a")) == ["log"]


def test_a_failed_replace_keeps_the_old_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    storage = make_runtime(str(tmp_path)).storage
    assert storage is not None
    storage.replace("vote", b"old")

    def fail(descriptor: int) -> None:
        raise OSError("the disk was removed")

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(OSError):
        storage.replace("vote", b"new")
    assert storage.read("vote") == b"old"


def test_files_are_not_for_other_users(tmp_path: Path):
    """Other users of the machine must not read the console's password hashes or the ledgers.

    Files written by ``replace``, such as the console's accounts, once had mode 0644; logs
    had mode 0640.
    """
    storage = make_runtime(str(tmp_path)).storage
    assert storage is not None
    before = os.umask(0)
    try:
        storage.replace("accounts", b"whole")
        storage.open_append("log").close()
    finally:
        os.umask(before)
    modes = {file.name: file.stat().st_mode & 0o007 for file in tmp_path.iterdir()}
    assert modes == {"accounts": 0, "log": 0}


def test_replace_syncs_the_file_before_the_rename_and_the_folder_after(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    """If the content is not synced before the rename, a crash may leave an empty file."""
    steps: list[str] = []
    fsync, replace = os.fsync, os.replace

    def record_sync(descriptor: int) -> None:
        kind = "folder" if os.path.isdir(f"/proc/self/fd/{descriptor}") else "file"
        steps.append(f"sync {kind}")
        fsync(descriptor)

    def record_rename(source: Path, target: Path) -> None:
        steps.append("rename")
        replace(source, target)

    monkeypatch.setattr(os, "fsync", record_sync)
    monkeypatch.setattr(os, "replace", record_rename)
    storage = make_runtime(str(tmp_path)).storage
    assert storage is not None
    storage.replace("vote", b"x")
    assert steps == ["sync file", "rename", "sync folder"]


@pytest.mark.parametrize("name", ["../vote", "a/../../vote", "/etc/vote"])
def test_no_name_leads_out_of_the_data_folder(tmp_path: Path, name: str):
    storage = make_runtime(str(tmp_path)).storage
    assert storage is not None
    with pytest.raises(ValueError, match="outside"):
        storage.read(name)


def test_a_missing_data_folder_is_an_error(tmp_path: Path):
    with pytest.raises(NotADirectoryError):
        make_runtime(str(tmp_path / "nowhere"))


async def test_blocking_work_keeps_its_order(tmp_path: Path):
    storage = make_runtime(str(tmp_path)).storage
    assert storage is not None
    done: list[int] = []
    calls = [storage.run_blocking(lambda n=n: done.append(n)) for n in range(50)]  # type: ignore[misc]  # mypy cannot infer a lambda with a default
    await asyncio.gather(*calls)
    assert done == list(range(50))


def test_a_seed_gives_the_same_numbers_again():
    assert make_random(7).getrandbits(64) == make_random(7).getrandbits(64)
    assert make_random().getrandbits(64) != make_random().getrandbits(64)
