"""Messages by which entry hosts write records to control hosts and read them back."""

from typing import NamedTuple

from cranberrywall.links import MessageCodec, Method


class Record(NamedTuple):
    """Fact that outlives the entry host that found it.

    Of two records with the same ``topic`` and ``key``, the one with the higher ``version`` wins, in
    whichever order they arrive. An empty ``payload`` means that the fact was removed.
    ``lifetime_s`` is the time until the record expires, in seconds from the moment at which it is
    sent, and ``age_s`` the time since it was written. Control hosts write a durable record to disk.
    """

    topic: str
    key: str
    version: tuple[int, ...]
    payload: bytes
    lifetime_s: float
    age_s: float = 0.0
    is_durable: bool = True


class WriteRequest(NamedTuple):
    """Request to store records."""

    records: tuple[Record, ...]


class WriteReply(NamedTuple):
    """Confirmation that the called host has the records in memory."""


class ReadRequest(NamedTuple):
    """Request for one record."""

    topic: str
    key: str


class ReadReply(NamedTuple):
    """The record, or none if the called host does not have it."""

    records: tuple[Record, ...]


class ListRequest(NamedTuple):
    """Request for the records of topics, or of all topics if there are none, newest first.

    ``before`` is 0 for the first page.
    """

    topics: tuple[str, ...]
    before: int


class ListReply(NamedTuple):
    """One page of records; ``before`` requests the next page, and is 0 after the last one."""

    records: tuple[Record, ...]
    before: int


WRITE_RECORDS = Method("records.write", WriteRequest, WriteReply)
READ_RECORD = Method("records.read", ReadRequest, ReadReply, is_cancellable=True)
LIST_RECORDS = Method("records.list", ListRequest, ListReply, is_cancellable=True)


class StoredRecord(NamedTuple):
    """Record in a file; ``written_at`` and ``expires_at`` are seconds since the epoch."""

    record: Record
    written_at: float
    expires_at: float


class StoredBatch(NamedTuple):
    """Records of one write to the file."""

    records: tuple[StoredRecord, ...]


RECORDS_CODEC = MessageCodec([StoredBatch])
