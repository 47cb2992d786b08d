"""Cut the power at every write, sync, rename and removal of a group's files."""

import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest
import xxhash
from result import Err, Ok

from cranberrywall.errors import ErrorKind
from cranberrywall.replication._files import GroupFiles, Opened, Vote
from cranberrywall.replication._rosters import EMPTY_ROSTER
from cranberrywall.replication.messages import Entry, EntryKind, SnapshotInfo
from tests.fakes.storage import CrashError, FakeStorage

DISK = "d1"


class Contents(NamedTuple):
    """What a restart must find: the vote's term, the snapshot, and the entries behind it."""

    term: int
    base: int
    words: tuple[bytes, ...]


def entries(term: int, *words: str) -> list[Entry]:
    return [Entry(term, EntryKind.COMMAND, word.encode()) for word in words]


def snapshot(index: int, term: int, data: bytes) -> SnapshotInfo:
    return SnapshotInfo(index, term, EMPTY_ROSTER, len(data), xxhash.xxh64_intdigest(data))


def contents(opened: Opened) -> Contents:
    log, base = opened.log, opened.log.base_index
    words = tuple(log.entry(index).data for index in range(base + 1, log.last_index + 1))
    return Contents(opened.vote.term, base, words)


def steps(files: GroupFiles) -> Iterator[tuple[Callable[[], object], Contents]]:
    """Yield each step with what must be found once it is done."""
    yield lambda: files.save_vote(Vote(DISK, "", 1, "a")), Contents(1, 0, ())
    yield lambda: files.append(1, entries(1, "a", "b")), Contents(1, 0, (b"a", b"b"))
    yield lambda: files.append(3, entries(1, "c", "d")), Contents(1, 0, (b"a", b"b", b"c", b"d"))
    yield lambda: files.save_vote(Vote(DISK, "", 2, "b")), Contents(2, 0, (b"a", b"b", b"c", b"d"))
    # A new leader overwrites what the old one had not committed.
    yield lambda: files.append(2, entries(2, "B")), Contents(2, 0, (b"a", b"B"))
    yield files.rotate, Contents(2, 0, (b"a", b"B"))
    yield lambda: files.append(3, entries(2, "C")), Contents(2, 0, (b"a", b"B", b"C"))
    taken = snapshot(2, 2, b"a B")
    for step in files.write_snapshot(taken, b"a B"):
        yield step, Contents(2, 0, (b"a", b"B", b"C"))
    yield lambda: files.commit_snapshot(taken, forget_log=False), Contents(2, 2, (b"C",))
    yield lambda: files.append(4, entries(2, "D")), Contents(2, 2, (b"C", b"D"))
    # A leader's snapshot replaces a log that contradicts it.
    sent = snapshot(3, 3, b"a B X")
    for step in files.write_snapshot(sent, b"a B X"):
        yield step, Contents(2, 2, (b"C", b"D"))
    yield lambda: files.commit_snapshot(sent, forget_log=True), Contents(2, 3, ())
    yield lambda: files.append(4, entries(3, "Y")), Contents(2, 3, (b"Y",))


def run_until_crash(storage: FakeStorage) -> tuple[Contents, Contents]:
    """Take steps until the power is cut; return what was found before and after the last."""
    before = after = Contents(0, 0, ())
    files = GroupFiles(storage, "g")
    try:
        files.open(DISK)
        for step, expected in steps(files):
            before, after = after, expected
            step()
        before = after
    except CrashError:
        pass
    return before, after


def count_operations() -> int:
    storage = FakeStorage()
    run_until_crash(storage)
    return storage.operations


@pytest.mark.parametrize("seed", range(4))
def test_power_is_cut_at_every_operation_and_nothing_synced_is_lost(seed: int):
    """A host loses power at any moment, with any part of the unsynced bytes kept.

    After the restart it holds either what it held before the step that was cut short, or
    what it held after it; a half-written frame, snapshot or manifest is never believed.
    """
    operations = count_operations()
    assert operations > 30
    for operation in range(1, operations + 1):
        storage = FakeStorage(random.Random(seed * 1000 + operation))
        storage.crash_at = operation
        before, after = run_until_crash(storage)
        storage.restart()
        files = GroupFiles(storage, "g")
        opened = files.open("other")
        assert isinstance(opened, Ok), (operation, storage.log[-1], opened)
        assert contents(opened.ok_value) in (before, after), (operation, storage.log[-1])
        files.append(opened.ok_value.log.last_index + 1, entries(9, "later"))
        reopened = GroupFiles(storage, "g").open("other")
        assert isinstance(reopened, Ok), (operation, storage.log[-1], reopened)


def written() -> FakeStorage:
    """Return a disk with two frames behind the first one."""
    storage = FakeStorage()
    files = GroupFiles(storage, "g")
    files.open(DISK)
    for number in range(1, 4):
        files.append(number, entries(1, f"word-{number}"))
    files.save_vote(Vote(DISK, "", 1, ""))
    return storage


def test_damage_in_the_middle_of_the_log_is_refused_at_every_byte():
    """A disk changes one byte that had been synced, and a later frame is sound.

    To cut the log there would forget acknowledged entries, so the host says which file is
    damaged where, and takes no part.
    """
    name = "groups/g/log-00000001"
    size = len(written().read(name) or b"")
    for position in range(size * 2 // 3):
        storage = written()
        storage.flip(name, position)
        opened = GroupFiles(storage, "g").open("other")
        assert isinstance(opened, Err), position
        assert opened.err_value.kind is ErrorKind.CORRUPT
        assert name in opened.err_value.message and opened.err_value.remedy
        assert len(storage.read(name) or b"") == size


@pytest.mark.parametrize("name", ["vote", "manifest"])
def test_a_damaged_or_missing_vote_or_manifest_is_refused(name: str):
    """A host whose vote is lost could vote twice in one term, so it takes no part."""
    storage = written()
    storage.flip(f"groups/g/{name}", 21)
    assert GroupFiles(storage, "g").open("other").unwrap_err().kind is ErrorKind.CORRUPT
    storage = written()
    storage.remove(f"groups/g/{name}")
    assert GroupFiles(storage, "g").open("other").unwrap_err().kind is ErrorKind.CORRUPT
    # Behind a snapshot the log may be empty.
    storage = written()
    files = GroupFiles(storage, "g")
    files.open("other")
    taken = snapshot(3, 1, b"all")
    for step in files.write_snapshot(taken, b"all"):
        step()
    files.commit_snapshot(taken, forget_log=True)
    storage.remove(f"groups/g/{name}")
    assert GroupFiles(storage, "g").open("other").unwrap_err().kind is ErrorKind.CORRUPT


def test_a_missing_segment_frame_or_snapshot_is_refused():
    """Somebody removes a file by hand; an emptier log must not be taken for the whole."""
    storage = written()
    storage.remove("groups/g/log-00000001")
    assert GroupFiles(storage, "g").open("other").unwrap_err().kind is ErrorKind.CORRUPT
    storage = written()
    sealed = storage.read("groups/g/log-00000001") or b""
    second = sealed.index(b"cwl1", 1), sealed.rindex(b"cwl1")
    storage.truncate("groups/g/log-00000001", second[0])
    storage.open_append("groups/g/log-00000001").append(sealed[second[1] :])
    opened = GroupFiles(storage, "g").open("other")
    assert opened.unwrap_err().kind is ErrorKind.CORRUPT
    assert "lacks the entries 2 to 2" in opened.unwrap_err().message
    storage = FakeStorage()
    run_until_crash(storage)
    (name,) = [name for name in storage.names("groups/g") if name.startswith("snapshot")]
    storage.flip(f"groups/g/{name}", 1)
    assert GroupFiles(storage, "g").open("other").unwrap_err().kind is ErrorKind.CORRUPT


def test_segments_go_as_soon_as_a_snapshot_covers_what_counts_in_them():
    storage = FakeStorage()
    files = GroupFiles(storage, "g")
    files.open(DISK)
    files.append(1, entries(1, "a", "b", "c", "d", "e"))
    files.append(2, entries(2, "B"))
    files.rotate()
    files.append(3, entries(2, "C"))
    behind = files.segment_bytes
    taken = snapshot(2, 2, b"a B")
    for step in files.write_snapshot(taken, b"a B"):
        step()
    files.commit_snapshot(taken, forget_log=False)
    assert [name for name in storage.names("groups/g") if "log-" in name] == ["log-00000002"]
    assert files.bytes_since_snapshot == behind
    again = GroupFiles(storage, "g")
    again.open(DISK)
    assert again.bytes_since_snapshot == behind
