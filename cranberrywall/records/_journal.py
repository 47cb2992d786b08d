"""File of the durable records of one control host.

The file is a copy of what the entry hosts know. A host that cannot write it serves the records from
memory.
"""

from collections.abc import Sequence

from result import Err

from cranberrywall.links import MalformedMessageError
from cranberrywall.observability import log_event
from cranberrywall.records.messages import RECORDS_CODEC, StoredBatch, StoredRecord
from cranberrywall.replication import encode_frame, scan_frames
from cranberrywall.runtime import AppendFile, Storage

FILE = "records/journal"

MAX_FILE_BYTES = 4 * 1024 * 1024
"""Size above which the file is rewritten without obsolete records, in bytes."""

MAX_GROWTH_FACTOR = 2.0
"""Size at which a file whose live records exceed half of ``MAX_FILE_BYTES`` is rewritten, as a
multiple of its size after the last rewrite."""


class RecordJournal:
    """Durable records on disk. All methods block."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._file: AppendFile | None = None
        self._size = 0
        self._max_size = 0.0

    def read(self) -> list[StoredRecord]:
        """Return the records in the file up to the first damage, oldest first."""
        try:
            data = self._storage.read(FILE) or b""
        except OSError as error:
            log_event("WARNING", "records_not_read", reason=str(error))
            return []
        scan = scan_frames(data)
        if isinstance(scan, Err):
            log_event("WARNING", "records_not_read", reason="the file is damaged")
            scan = scan_frames(data[: scan.err_value])
        records: list[StoredRecord] = []
        for payload in scan.unwrap().payloads:
            try:
                records += RECORDS_CODEC.decode(payload).records
            except MalformedMessageError as error:
                log_event("WARNING", "records_not_read", reason=str(error))
        return records

    @property
    def should_rewrite(self) -> bool:
        """Return whether the next write must be a ``rewrite``."""
        return self._file is None or self._size > self._max_size

    def append(self, records: Sequence[StoredRecord]) -> None:
        """Add records durably; raise ``OSError`` on failure, after which a rewrite is due."""
        if self._file is None:
            raise OSError("the file is not open")
        frame = encode_frame(RECORDS_CODEC.encode(StoredBatch(tuple(records))))
        try:
            self._file.append(frame)
            self._file.sync()
        except OSError:
            self.close()
            raise
        self._size += len(frame)

    def rewrite(self, records: Sequence[StoredRecord]) -> None:
        """Replace the file by these records; raise ``OSError`` on failure."""
        self.close()
        frame = encode_frame(RECORDS_CODEC.encode(StoredBatch(tuple(records))))
        self._storage.replace(FILE, frame)
        self._file = self._storage.open_append(FILE)
        self._size = len(frame)
        self._max_size = max(MAX_FILE_BYTES, MAX_GROWTH_FACTOR * self._size)

    def close(self) -> None:
        """Close the file."""
        file, self._file = self._file, None
        if file is not None:
            file.close()
