"""Keep the newest revisions with what each changed, so that each can be shown and undone."""

from collections import deque
from collections.abc import Collection
from itertools import islice
from typing import NamedTuple

from cranberrywall.configuration._document import Document
from cranberrywall.configuration._edits import Edit, apply_edits, inverse_of
from cranberrywall.configuration.messages import Delta, Revision

RECORDS_LIMIT = 4096
"""Revisions that can still be shown, undone and fetched one by one."""


class Record(NamedTuple):
    """Pair a delta with the edits that undo it and the chain's hash before it."""

    delta: Delta
    inverse: tuple[Edit, ...]
    chain_before: int


class RecordsState(NamedTuple):
    """Hold all records, oldest first, with the newest revision's number and chain."""

    records: tuple[Record, ...] = ()
    newest: int = 0
    chain: int = 0


class Records:
    """Keep consecutive records up to the newest revision, at most ``RECORDS_LIMIT``."""

    def __init__(self, state: RecordsState | None = None) -> None:
        state = state or RecordsState()
        self._records: deque[Record] = deque(state.records, maxlen=RECORDS_LIMIT)
        self._newest = state.newest
        self._chain = state.chain

    @property
    def oldest(self) -> int:
        """Return the oldest revision whose document can still be made."""
        return self._newest - len(self._records)

    def keeps(self, revision: int) -> bool:
        """Say whether the document of ``revision`` can still be made."""
        return self.oldest <= revision <= self._newest

    def add(self, delta: Delta, before: Document) -> None:
        """Keep ``delta``, which was applied to ``before``; the oldest record may go."""
        self._records.append(Record(delta, inverse_of(before, delta.edits), self._chain))
        self._newest = delta.revision.number
        self._chain = delta.chain

    def after(self, since: int, limit: int) -> tuple[Delta, ...]:
        """Return up to ``limit`` deltas that follow revision ``since``."""
        start = max(0, since - self.oldest)
        return tuple(record.delta for record in islice(self._records, start, start + limit))

    def touching(self, sections: Collection[str], since: int, limit: int) -> tuple[Delta, ...]:
        """Return the newest ``limit`` deltas after ``since`` that changed any of ``sections``."""
        found: list[Delta] = []
        for record in reversed(self._records):
            if record.delta.revision.number <= since or len(found) == limit:
                break
            if any(section in sections for section in record.delta.revision.sections):
                found.append(record.delta)
        return tuple(reversed(found))

    def history(self, before: int, limit: int) -> tuple[Revision, ...]:
        """Return up to ``limit`` revisions from ``before`` downwards, newest first."""
        wanted = (
            record.delta.revision
            for record in reversed(self._records)
            if record.delta.revision.number <= before
        )
        return tuple(islice(wanted, limit))

    def undo_to(self, revision: int, document: Document) -> Document:
        """Return the document as of ``revision``, given the newest one."""
        for record in reversed(self._records):
            if record.delta.revision.number <= revision:
                break
            document = apply_edits(document, record.inverse)
        return document

    def chain_at(self, revision: int) -> int:
        """Return the chain's hash as of ``revision``."""
        if revision == self._newest:
            return self._chain
        return self._records[revision - self.oldest].chain_before

    def state(self) -> RecordsState:
        """Return what a snapshot keeps."""
        return RecordsState(tuple(self._records), self._newest, self._chain)
