"""Write down who did what, one JSON line each, synced before the page says so."""

import json
from collections import deque
from typing import NamedTuple

from cranberrywall.runtime import Storage

FILE = "audit.jsonl"
MOST_SHOWN = 500


class AuditEntry(NamedTuple):
    """Hold one act; ``at`` is seconds since the epoch, ``outcome`` says what became of it."""

    at: float
    operator: str
    action: str
    what: str
    outcome: str


class Audit:
    """Append entries to the trail and show the newest."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._shown: deque[AuditEntry] = deque(_read(storage), maxlen=MOST_SHOWN)
        self._file = storage.open_append(FILE)

    def newest(self) -> list[AuditEntry]:
        """Return the newest entries, newest first."""
        return list(reversed(self._shown))

    async def add(self, entry: AuditEntry) -> None:
        """Write an entry; it lasts once this returns."""
        line = json.dumps(entry._asdict(), ensure_ascii=False) + "\n"
        await self._storage.run_blocking(lambda: self._append(line.encode()))
        self._shown.append(entry)

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _append(self, line: bytes) -> None:
        self._file.append(line)
        self._file.sync()


def make_audit(storage: Storage) -> Audit:
    """Return the trail kept in ``storage``."""
    return Audit(storage)


def _read(storage: Storage) -> list[AuditEntry]:
    entries: list[AuditEntry] = []
    for line in (storage.read(FILE) or b"").splitlines():
        try:
            entries.append(AuditEntry(**json.loads(line)))
        except (ValueError, TypeError):
            # A crash can leave a torn last line. It was never shown as written.
            continue
    return entries
