"""Store of the records on a control host.

Control hosts do not agree on records: each stores what entry hosts write to it. A control host that
starts reads its file and copies the records of the others.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.records._journal import RecordJournal
from cranberrywall.records._table import Entry, RecordTable
from cranberrywall.records.messages import (
    LIST_RECORDS,
    READ_RECORD,
    WRITE_RECORDS,
    ListReply,
    ListRequest,
    ReadReply,
    ReadRequest,
    Record,
    StoredRecord,
    WriteReply,
    WriteRequest,
)
from cranberrywall.runtime import Clock, Storage

WRITE_INTERVAL_S = 0.05
"""Minimum time between two writes to the file, in seconds; a crash loses the records of this time
here."""

WRITE_RETRY_DELAY_S = 0.5
"""Time after which the file is written again if that failed, in seconds."""

EXPIRY_INTERVAL_S = 10.0
"""Interval at which expired records are removed, in seconds."""

MAX_PAGE_BYTES = 256 * 1024
"""Maximum size of the payloads in one answer, in bytes."""

COPY_TIMEOUT_S = 1.0
"""Time limit of a call for a page of another control host's records, in seconds."""

COPY_RETRY_DELAY_S = 0.5
COPY_DURATION_S = 30.0
"""Time after its start in which a control host copies the records of the others, in seconds."""

_NOT_READ = Refusal(ErrorKind.NOT_READY, "the file of records is being read")


class RecordStore:
    """Records of one control host.

    ``others`` returns the addresses of the other control hosts. Without a storage, records are in
    memory only.
    """

    def __init__(
        self,
        others: Callable[[], Sequence[str]],
        caller: Caller,
        clock: Clock,
        storage: Storage | None,
    ) -> None:
        self._others = others
        self._caller = caller
        self._clock = clock
        self._storage = storage
        self._journal = RecordJournal(storage) if storage is not None else None
        self._table = RecordTable()
        self._unwritten_by_key: dict[tuple[str, str], Entry] = {}
        self._is_changed = asyncio.Event()
        self._is_read = self._journal is None
        self._received = 0
        self._failures = 0

    def register(self, server: Server) -> None:
        """Register the handlers of the calls."""
        server.register(WRITE_RECORDS, self._handle_write)
        server.register(READ_RECORD, self._handle_read)
        server.register(LIST_RECORDS, self._handle_list)

    def export(self, metrics: Metrics) -> None:
        """Register the number of records, and of failures to write them to disk."""
        metrics.gauge_of(
            "records", "Records that this host stores for entry hosts.", lambda: len(self._table)
        )
        metrics.counters_of(
            "record_events",
            "Records that were new, and writes to disk that failed.",
            "event",
            lambda: {"received": self._received, "failed_writes": self._failures},
        )

    async def run(self) -> None:
        """Read the file, copy the other hosts' records, and write new ones, until cancelled."""
        await self._read_file()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._copy_from_others())
            tasks.create_task(self._write_changes())
            tasks.create_task(self._expire_periodically())

    async def _handle_write(self, request: WriteRequest, peer: Peer) -> Result[WriteReply, Refusal]:
        self._put(request.records)
        return Ok(WriteReply())

    async def _handle_read(self, request: ReadRequest, peer: Peer) -> Result[ReadReply, Refusal]:
        record = self._table.get(request.topic, request.key, self._clock.now())
        return Ok(ReadReply((record,) if record is not None else ()))

    async def _handle_list(self, request: ListRequest, peer: Peer) -> Result[ListReply, Refusal]:
        if not self._is_read:
            return Err(_NOT_READ)
        records, before = self._table.page(
            request.topics, request.before, MAX_PAGE_BYTES, self._clock.now()
        )
        return Ok(ListReply(tuple(records), before))

    def _put(self, records: Sequence[Record]) -> None:
        now = self._clock.now()
        for record in records:
            entry = self._table.put(record, now)
            if entry is None:
                continue
            self._received += 1
            if record.is_durable and self._journal is not None:
                self._unwritten_by_key[record.topic, record.key] = entry
                self._is_changed.set()

    async def _read_file(self) -> None:
        if self._storage is None or self._journal is None:
            return
        stored = await self._storage.run_blocking(self._journal.read)
        self._is_read = True
        now, wall = self._clock.now(), self._clock.wall()
        for one in stored:
            record = one.record
            # The wall clock may have been set since, so a record never lives longer than written.
            lifetime_s = min(one.expires_at - wall, one.expires_at - one.written_at)
            if lifetime_s > 0.0:
                age_s = max(0.0, wall - one.written_at)
                self._table.put(record._replace(lifetime_s=lifetime_s, age_s=age_s), now)
        log_event("INFO", "records_read", read=len(stored), records=len(self._table))

    async def _copy_from_others(self) -> None:
        """Copy the records of each other control host once: any of them may have lost its own."""
        until = self._clock.now() + COPY_DURATION_S
        copied: set[str] = set()
        while self._clock.now() < until:
            addresses = [address for address in self._others() if address not in copied]
            answers = await asyncio.gather(*(self._copy_from(address) for address in addresses))
            copied.update(itertools.compress(addresses, answers))
            await self._clock.sleep(COPY_RETRY_DELAY_S)

    async def _copy_from(self, address: str) -> bool:
        before, copied = 0, 0
        while True:
            answer = await self._caller.call(
                address, LIST_RECORDS, ListRequest((), before), COPY_TIMEOUT_S
            )
            if isinstance(answer, Err):
                return False
            self._put(answer.ok_value.records)
            copied += len(answer.ok_value.records)
            before = answer.ok_value.before
            if not before:
                log_event("INFO", "records_copied", control=address, records=copied)
                return True

    async def _write_changes(self) -> None:
        while True:
            await self._is_changed.wait()
            self._is_changed.clear()
            while not await self._write():
                await self._clock.sleep(WRITE_RETRY_DELAY_S)
            await self._clock.sleep(WRITE_INTERVAL_S)

    async def _write(self) -> bool:
        """Write the new records, or all after a failure; return whether the file has them now."""
        storage, journal = self._storage, self._journal
        if storage is None or journal is None:
            return True
        entries, self._unwritten_by_key = list(self._unwritten_by_key.values()), {}
        is_rewrite = journal.should_rewrite
        if is_rewrite:
            live = self._table.entries(self._clock.now())
            entries = [entry for entry in live if entry.record.is_durable]
        stored = [self._stored(entry) for entry in entries]
        work = journal.rewrite if is_rewrite else journal.append
        try:
            await storage.run_blocking(lambda: work(stored))
        except OSError as error:
            self._failures += 1
            log_event("WARNING", "records_not_written", reason=str(error), records=len(stored))
            return False
        return True

    def _stored(self, entry: Entry) -> StoredRecord:
        offset = self._clock.wall() - self._clock.now()
        return StoredRecord(entry.record, entry.written_at + offset, entry.expires_at + offset)

    async def _expire_periodically(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_INTERVAL_S)
            self._table.expire(self._clock.now())
