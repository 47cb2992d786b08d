"""Keep one group's files: vote, manifest, log segments and snapshot.

The manifest is what a restart believes: it names the snapshot and the first segment that
counts. Everything else in the folder is left over from a step that a crash cut short.
All calls block; they raise ``OSError`` on failure.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

import msgspec
import xxhash
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.replication._frames import encode_frame, scan_frames
from cranberrywall.replication._log import Log
from cranberrywall.replication._settings import MEBIBYTE
from cranberrywall.replication.messages import Entry, SnapshotInfo
from cranberrywall.runtime import AppendFile, Storage

_T = TypeVar("_T")
_SNAPSHOT_WRITE_BYTES = 1 * MEBIBYTE
_RESTORE_REMEDY = "replace this host's disk: empty the group's folder and let the host join anew"


class Vote(NamedTuple):
    """Hold what a member must never forget, with the identity of its disk."""

    disk: str
    lineage: str
    term: int
    voted_for: str


class Manifest(NamedTuple):
    """Name the snapshot, ``None`` before the first, and the first segment that counts."""

    snapshot: SnapshotInfo | None
    first_segment: int


class Frame(NamedTuple):
    """Hold the entries of one write; they replace all from ``first_index`` on."""

    first_index: int
    entries: tuple[Entry, ...]


class SavedSnapshot(NamedTuple):
    """Hold a snapshot with its description."""

    info: SnapshotInfo
    data: bytes


class Opened(NamedTuple):
    """Hold what a group's files say; ``torn_bytes`` were cut from the end of the log."""

    vote: Vote
    snapshot: SavedSnapshot | None
    log: Log
    torn_bytes: int


class _Segment(NamedTuple):
    """Hold the newest index that counts in a segment, and its size in bytes."""

    newest_index: int
    size: int


class CorruptError(Exception):
    """Report a file whose bytes are not those that were synced."""


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)


class GroupFiles:
    """Read and write the files of one group."""

    def __init__(self, storage: Storage, group: str) -> None:
        self._storage = storage
        self._folder = f"groups/{group}"
        self._manifest = Manifest(None, 1)
        self._by_number: dict[int, _Segment] = {}
        self._file: AppendFile | None = None
        self.bytes_since_snapshot = 0

    @property
    def segment_bytes(self) -> int:
        """Return the size of the segment that is written to, in bytes."""
        return self._by_number[self._current].size

    @property
    def snapshot(self) -> SnapshotInfo | None:
        """Return the snapshot in force, or ``None`` before the first."""
        return self._manifest.snapshot

    @property
    def _current(self) -> int:
        return max(self._by_number)

    def open(self, fresh_disk: str) -> Result[Opened, Refusal]:
        """Read everything, cut a torn tail, and get ready to append.

        An empty folder is given the identity ``fresh_disk``. ``Err`` is ``CORRUPT``
        where a file is damaged or missing, or ``STORAGE_FAILED``.
        """
        return self._read(lambda: self._open(fresh_disk))

    def open_existing(self) -> Result[Opened, Refusal]:
        """Read everything as ``open`` does, but refuse a folder that was never in use."""
        if self._storage.read(self._name("vote")) is None:
            message = f"{self._folder} holds no member of the group"
            return Err(Refusal(ErrorKind.NOT_FOUND, message, "data", "give another data folder"))
        return self._read(lambda: self._open(""))

    def _read(self, work: Callable[[], Opened]) -> Result[Opened, Refusal]:
        try:
            return Ok(work())
        except CorruptError as error:
            return Err(_corrupt(str(error)))
        except OSError as error:
            return Err(Refusal(ErrorKind.STORAGE_FAILED, str(error), "data", "mend the disk"))

    def save_vote(self, vote: Vote) -> None:
        """Make a vote durable."""
        self._storage.replace(self._name("vote"), _seal(vote))

    def append(self, first_index: int, entries: Sequence[Entry]) -> None:
        """Make entries durable by one write and one sync."""
        assert self._file is not None
        frame = encode_frame(_encoder.encode(Frame(first_index, tuple(entries))))
        self._file.append(frame)
        self._file.sync()
        size = self._by_number[self._current].size + len(frame)
        self._note_frame(self._current, first_index, len(entries))
        self._by_number[self._current] = self._by_number[self._current]._replace(size=size)
        self.bytes_since_snapshot += len(frame)

    def rotate(self) -> None:
        """Go on in a new segment, so that the older ones can be removed later."""
        self._open_segment(self._current + 1)

    def write_snapshot(self, info: SnapshotInfo, data: bytes) -> list[Callable[[], None]]:
        """Return the steps that write a snapshot beside the log.

        Each step is short, so that appends can go on between them. Nothing counts until
        ``commit_snapshot``.
        """
        name = self._snapshot_name(info)
        opened: list[AppendFile] = []

        def start() -> None:
            self._storage.remove(name)
            opened.append(self._storage.open_append(name))

        def write(offset: int) -> None:
            # A newer snapshot that was installed meanwhile has removed this file.
            if not self._is_older(info):
                opened[0].append(data[offset : offset + _SNAPSHOT_WRITE_BYTES])
                opened[0].sync()

        def finish() -> None:
            opened[0].close()

        offsets = range(0, len(data), _SNAPSHOT_WRITE_BYTES)
        return [start, *(_bind(write, offset) for offset in offsets), finish]

    def commit_snapshot(self, info: SnapshotInfo, *, forget_log: bool) -> None:
        """Let a written snapshot count, and remove what it makes needless.

        With ``forget_log`` the whole log up to now stops counting in the same step: the
        snapshot came from a leader, and entries that contradict it must not come back
        behind it after a restart.
        """
        if forget_log:
            self.rotate()
        needed = [
            number
            for number, segment in self._by_number.items()
            if number == self._current
            or (segment.newest_index > info.last_index and not forget_log)
        ]
        self._save_manifest(Manifest(info, min(needed)))
        self._remove_leftovers()
        # What was appended while the snapshot was written is not behind it.
        self.bytes_since_snapshot = sum(segment.size for segment in self._by_number.values())

    def read_snapshot(self) -> Result[SavedSnapshot | None, Refusal]:
        """Return the snapshot in force, ``None`` before the first, or ``Err`` ``CORRUPT``."""
        info = self._manifest.snapshot
        if info is None:
            return Ok(None)
        name = self._snapshot_name(info)
        data = self._storage.read(name)
        if data is None or not matches(info, data):
            return Err(_corrupt(f"{name} is missing or damaged"))
        return Ok(SavedSnapshot(info, data))

    def close(self) -> None:
        """Close the segment that is written to."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _is_older(self, info: SnapshotInfo) -> bool:
        newest = self._manifest.snapshot
        return newest is not None and newest.last_index > info.last_index

    def _open(self, fresh_disk: str) -> Opened:
        sealed_vote = self._storage.read(self._name("vote"))
        if sealed_vote is None:
            return self._create(fresh_disk)
        vote = _unseal(sealed_vote, Vote, self._name("vote"))
        sealed_manifest = self._storage.read(self._name("manifest"))
        if sealed_manifest is None:
            raise CorruptError(f"{self._name('manifest')} is missing")
        self._manifest = _unseal(sealed_manifest, Manifest, self._name("manifest"))
        self._remove_leftovers()
        snapshot = self.read_snapshot()
        if isinstance(snapshot, Err):
            raise CorruptError(snapshot.err_value.message)
        frames, torn_bytes = self._read_segments()
        log = self._make_log(frames)
        self._open_segment(self._current)
        return Opened(vote, snapshot.ok_value, log, torn_bytes)

    def _create(self, disk: str) -> Opened:
        # The vote file is written last: without it the folder was never in use, so
        # anything that holds entries has lost its vote and must not be trusted.
        for name in self._storage.names(self._folder):
            is_log = name.startswith("log-")
            has_entries = is_log and self._storage.read(f"{self._folder}/{name}")
            if has_entries or name.startswith("snapshot-"):
                raise CorruptError(f"{self._name('vote')} is missing beside {name}")
        self._open_segment(1)
        self._save_manifest(Manifest(None, 1))
        vote = Vote(disk, "", 0, "")
        self.save_vote(vote)
        return Opened(vote, None, Log(), 0)

    def _make_log(self, frames: Sequence[Frame]) -> Log:
        info = self._manifest.snapshot
        log = Log(info.last_index, info.last_term, info.roster) if info else Log()
        for frame in frames:
            if frame.first_index > log.last_index + 1:
                raise CorruptError(
                    f"{self._folder} lacks the entries {log.last_index + 1} to "
                    f"{frame.first_index - 1}"
                )
            skipped = max(0, log.base_index + 1 - frame.first_index)
            log.append(frame.first_index + skipped, frame.entries[skipped:])
        return log

    def _read_segments(self) -> tuple[list[Frame], int]:
        numbers = self._segment_numbers()
        first = self._manifest.first_segment
        if numbers != list(range(first, first + len(numbers))) or not numbers:
            raise CorruptError(f"a log segment is missing in {self._folder}: have {numbers}")
        frames: list[Frame] = []
        torn_bytes = 0
        for number in numbers:
            torn_bytes = self._read_segment(number, number == numbers[-1], frames)
        return frames, torn_bytes

    def _read_segment(self, number: int, is_last: bool, frames: list[Frame]) -> int:
        name = self._segment_name(number)
        data = self._storage.read(name) or b""
        scanned = scan_frames(data)
        if isinstance(scanned, Err):
            raise CorruptError(f"{name} is damaged at byte {scanned.err_value}, before its end")
        payloads, sound_size = scanned.ok_value
        torn_bytes = len(data) - sound_size
        if torn_bytes and not is_last:
            raise CorruptError(f"{name} is damaged at byte {sound_size}, and is not the last")
        if torn_bytes:
            self._storage.truncate(name, sound_size)
        self._by_number[number] = _Segment(0, sound_size)
        for payload in payloads:
            frame = _frame_decoder.decode(payload)
            frames.append(frame)
            self._note_frame(number, frame.first_index, len(frame.entries))
        self.bytes_since_snapshot += sound_size
        return torn_bytes

    def _note_frame(self, number: int, first_index: int, count: int) -> None:
        # Entries from the first index on no longer count in any older segment, so they
        # must not keep that segment from being removed.
        for other, segment in self._by_number.items():
            if segment.newest_index >= first_index:
                self._by_number[other] = segment._replace(newest_index=first_index - 1)
        last = first_index + count - 1
        self._by_number[number] = self._by_number[number]._replace(newest_index=last)

    def _remove_leftovers(self) -> None:
        for number in self._segment_numbers():
            if number < self._manifest.first_segment:
                self._storage.remove(self._segment_name(number))
                self._by_number.pop(number, None)
        kept = self._manifest.snapshot and self._snapshot_name(self._manifest.snapshot)
        for name in self._storage.names(self._folder):
            path = f"{self._folder}/{name}"
            if name.startswith("snapshot-") and path != kept:
                self._storage.remove(path)

    def _open_segment(self, number: int) -> None:
        self.close()
        self._file = self._storage.open_append(self._segment_name(number))
        self._by_number.setdefault(number, _Segment(0, 0))

    def _save_manifest(self, manifest: Manifest) -> None:
        self._storage.replace(self._name("manifest"), _seal(manifest))
        self._manifest = manifest

    def _segment_numbers(self) -> list[int]:
        names = self._storage.names(self._folder)
        return sorted(int(name.removeprefix("log-")) for name in names if name.startswith("log-"))

    def _segment_name(self, number: int) -> str:
        return self._name(f"log-{number:08d}")

    def _snapshot_name(self, info: SnapshotInfo) -> str:
        return self._name(f"snapshot-{info.last_index:020d}")

    def _name(self, name: str) -> str:
        return f"{self._folder}/{name}"


def matches(info: SnapshotInfo, data: bytes) -> bool:
    """Say whether ``data`` are the bytes that ``info`` describes."""
    return len(data) == info.size and xxhash.xxh64_intdigest(data) == info.checksum


def _corrupt(message: str) -> Refusal:
    return Refusal(ErrorKind.CORRUPT, message, "data", _RESTORE_REMEDY)


def _bind(work: Callable[[int], None], argument: int) -> Callable[[], None]:
    return lambda: work(argument)


def _seal(value: object) -> bytes:
    return encode_frame(_encoder.encode(value))


def _unseal(data: bytes, value_type: type[_T], name: str) -> _T:
    scanned = scan_frames(data)
    if isinstance(scanned, Err) or len(scanned.ok_value.payloads) != 1:
        raise CorruptError(f"{name} is damaged")
    return msgspec.msgpack.decode(scanned.ok_value.payloads[0], type=value_type)
