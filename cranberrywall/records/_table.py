"""Table of the newest record per topic and key, with limits on time, number and size.

Times are monotonic seconds.
"""

import heapq
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from cranberrywall.records.messages import Record

MAX_TOPICS = 16
"""Maximum number of topics; records of further ones are not stored."""

MAX_TOPIC_RECORDS = 20_000
"""Maximum number of records of one topic; the oldest are evicted first."""

MAX_DURABLE_RECORDS = 4_096
"""Maximum number of records of a topic of durable records."""

MAX_TOPIC_BYTES = 4 * 1024 * 1024
"""Maximum size of the keys and payloads of one topic, in bytes; the oldest are evicted first."""

RECORD_OVERHEAD_BYTES = 64
"""Approximate size of a record in a message beside its key and payload, in bytes."""


class Entry(NamedTuple):
    """Record in the table; ``number`` is its position in the order of arrival."""

    record: Record
    written_at: float
    expires_at: float
    number: int


class RecordTable:
    """Records of all topics."""

    def __init__(self) -> None:
        self._topic_by_name: dict[str, _Topic] = {}
        self._number = 0

    def __len__(self) -> int:
        return sum(len(topic.entry_by_key) for topic in self._topic_by_name.values())

    def put(self, record: Record, now: float) -> Entry | None:
        """Store a record that is newer than the one in the table, and return its entry."""
        topic = self._topic_by_name.get(record.topic)
        if topic is None:
            if len(self._topic_by_name) >= MAX_TOPICS:
                return None
            topic = self._topic_by_name[record.topic] = _Topic()
        stored = topic.entry_by_key.get(record.key)
        if stored is not None and record.version <= stored.record.version:
            return None
        self._number += 1
        lifetime_s, age_s = max(0.0, record.lifetime_s), max(0.0, record.age_s)
        entry = Entry(record, now - age_s, now + lifetime_s, self._number)
        topic.put(entry, now)
        return entry

    def get(self, topic: str, key: str, now: float) -> Record | None:
        """Return a record as of now; ``None`` if it is unknown or has expired."""
        found = self._topic_by_name.get(topic)
        entry = found.entry_by_key.get(key) if found is not None else None
        return record_of(entry, now) if entry is not None and entry.expires_at > now else None

    def page(
        self, topics: Iterable[str], before: int, max_bytes: int, now: float
    ) -> tuple[list[Record], int]:
        """Return the newest records that arrived before a number, and the number to go on at.

        That number is 0 after the last page, and ``before`` is 0 for the first one. Without
        ``topics``, the page has the records of all topics.
        """
        wanted = frozenset(topics)
        entries = heapq.merge(
            *(
                reversed(topic.entry_by_key.values())
                for name, topic in self._topic_by_name.items()
                if not wanted or name in wanted
            ),
            key=lambda entry: -entry.number,
        )
        page: list[Record] = []
        size = 0
        for entry in entries:
            if entry.expires_at <= now or (before and entry.number >= before):
                continue
            size += _size_of(entry.record) + RECORD_OVERHEAD_BYTES
            if page and size > max_bytes:
                return page, entry.number + 1
            page.append(record_of(entry, now))
        return page, 0

    def entries(self, now: float) -> Iterator[Entry]:
        """Return the entries that have not expired."""
        for topic in self._topic_by_name.values():
            yield from (entry for entry in topic.entry_by_key.values() if entry.expires_at > now)

    def expire(self, now: float) -> None:
        """Remove all expired records."""
        for topic in self._topic_by_name.values():
            for key in [key for key, one in topic.entry_by_key.items() if one.expires_at <= now]:
                topic.remove(key)


class _Topic:
    __slots__ = ("entry_by_key", "size")

    def __init__(self) -> None:
        self.entry_by_key: OrderedDict[str, Entry] = OrderedDict()
        self.size = 0

    def put(self, entry: Entry, now: float) -> None:
        self.remove(entry.record.key)
        self.entry_by_key[entry.record.key] = entry
        self.size += _size_of(entry.record)
        max_records = MAX_DURABLE_RECORDS if entry.record.is_durable else MAX_TOPIC_RECORDS
        while self.entry_by_key:
            key, oldest = next(iter(self.entry_by_key.items()))
            is_full = len(self.entry_by_key) > max_records or self.size > MAX_TOPIC_BYTES
            if not is_full and oldest.expires_at > now:
                return
            self.remove(key)

    def remove(self, key: str) -> None:
        entry = self.entry_by_key.pop(key, None)
        if entry is not None:
            self.size -= _size_of(entry.record)


def record_of(entry: Entry, now: float) -> Record:
    """Return the record of an entry with its age and lifetime as of now."""
    return entry.record._replace(
        lifetime_s=entry.expires_at - now, age_s=max(0.0, now - entry.written_at)
    )


def _size_of(record: Record) -> int:
    return len(record.key) + len(record.payload)
