"""Records of an entry host: written to control hosts in the background, and read back.

No request waits for a write.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence

import xxhash
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import EventLimiter, Metrics
from cranberrywall.records._fetch import RecordFetch, aged
from cranberrywall.records.messages import (
    READ_RECORD,
    WRITE_RECORDS,
    ReadRequest,
    Record,
    WriteRequest,
)
from cranberrywall.runtime import Clock

COPIES = 3
"""Number of control hosts that store a record: it survives the loss of two of them."""

DURABLE_COPIES = 5
"""Number of control hosts that store a durable record; there are few of these."""

MAX_ASKED = 2 * COPIES
"""Maximum number of control hosts that are asked for a record.

There are more of them than copies, as a host that has just started knows only some, and a record
goes to another one in place of each that did not confirm it."""

WRITE_INTERVAL_S = 0.01
"""Minimum time between two calls to a control host, in seconds; records are collected meanwhile."""

WRITE_TIMEOUT_S = 1.0

MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0
"""Bounds of the time before durable records are written again to a host that did not confirm them,
in seconds."""

MAX_BATCH = 200
"""Maximum number of records in one call."""

MAX_BATCH_BYTES = 256 * 1024
"""Maximum size of the payloads in one call, in bytes; a single record may be larger."""

MAX_PENDING = 4096
"""Maximum number of records that wait for one control host.

The oldest are dropped first, and durable ones only if there are no others."""

_TOO_FEW_ASKED = Refusal(ErrorKind.UNREACHABLE, "too few control hosts are known")

_Key = tuple[str, str]


class RecordClient:
    """Writer and reader of records. ``controls`` returns the control hosts' addresses."""

    def __init__(self, controls: Callable[[], Sequence[str]], caller: Caller, clock: Clock) -> None:
        self._controls = controls
        self._caller = caller
        self._clock = clock
        self._writer_by_address: dict[str, _Writer] = {}
        self._events = EventLimiter(clock.now)

    def export(self, metrics: Metrics) -> None:
        """Register the numbers of records that wait for control hosts, and were dropped."""
        metrics.gauge_of(
            "records_waiting",
            "Records that wait to be written to control hosts.",
            lambda: sum(len(writer) for writer in self._writer_by_address.values()),
        )
        metrics.gauge_of(
            "records_dropped",
            "Records that were not written because a control host did not confirm them.",
            lambda: sum(writer.dropped for writer in self._writer_by_address.values()),
        )

    def write(self, record: Record) -> None:
        """Write a record to control hosts in the background; the newest of a key wins."""
        copies = DURABLE_COPIES if record.is_durable else COPIES
        for address in self._ranked(record.topic, record.key)[:copies]:
            self._writer(address).add(record)

    async def read(self, topic: str, key: str, timeout_s: float) -> Result[Record | None, Refusal]:
        """Return a record, or ``None`` if control hosts that would have it do not know it.

        ``Err`` if one that was asked did not answer in time, or fewer were asked than store a
        record, and none of the others knows it.
        """
        calls = [
            self._caller.call(address, READ_RECORD, ReadRequest(topic, key), timeout_s)
            for address in self._ranked(topic, key)[:MAX_ASKED]
        ]
        tasks = [asyncio.ensure_future(call) for call in calls]
        refusal = _TOO_FEW_ASKED if len(tasks) < COPIES else None
        try:
            for answer in asyncio.as_completed(tasks):
                reply = await answer
                if isinstance(reply, Err):
                    refusal = reply.err_value
                elif reply.ok_value.records:
                    return Ok(reply.ok_value.records[0])
        finally:
            for task in tasks:
                task.cancel()
        return Ok(None) if refusal is None else Err(refusal)

    def make_fetch(self, topics: Sequence[str]) -> RecordFetch:
        """Return a fetch of the records of topics that control hosts store."""
        return RecordFetch(self._controls, self._caller, self._clock, topics)

    def _writer(self, address: str) -> "_Writer":
        writer = self._writer_by_address.get(address)
        if writer is None:
            self._remove_writers()
            writer = _Writer(
                address, self._caller, self._clock, self._events, self._write_elsewhere
            )
            self._writer_by_address[address] = writer
        return writer

    def _remove_writers(self) -> None:
        """Remove the writers to hosts that are no longer control hosts."""
        controls = set(self._controls())
        for address in self._writer_by_address.keys() - controls:
            self._writer_by_address.pop(address).close()

    def _write_elsewhere(self, record: Record, address: str) -> bool:
        """Write a record that a host did not confirm to another one; return whether there is one.

        Of the hosts that come next in the order, each takes the place of one that should store it.
        """
        ranked = self._ranked(record.topic, record.key)
        if address not in ranked[:COPIES]:
            return False
        others = ranked[ranked.index(address) + COPIES :][:1]
        for other in others:
            self._writer(other).add(record)
        return bool(others)

    def close(self) -> None:
        """Stop writing."""
        for writer in self._writer_by_address.values():
            writer.close()

    def _ranked(self, topic: str, key: str) -> list[str]:
        """Return the control hosts in an order by a hash of host and key (rendezvous hashing)."""
        return sorted(
            self._controls(),
            key=lambda address: xxhash.xxh64_intdigest(f"{address}\n{topic}\n{key}".encode()),
        )


class _Writer:
    """Records that wait for one control host."""

    def __init__(
        self,
        address: str,
        caller: Caller,
        clock: Clock,
        events: EventLimiter,
        write_elsewhere: Callable[[Record, str], bool],
    ) -> None:
        self.dropped = 0
        self._write_elsewhere = write_elsewhere
        self._address = address
        self._caller = caller
        self._clock = clock
        self._events = events
        self._pending_by_key: dict[_Key, tuple[Record, float]] = {}
        self._task: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        return len(self._pending_by_key)

    def add(self, record: Record) -> None:
        key = (record.topic, record.key)
        pending = self._pending_by_key.pop(key, None)
        if pending is not None and pending[0].version > record.version:
            record = pending[0]
        self._pending_by_key[key] = (record, self._clock.now())
        if len(self._pending_by_key) > MAX_PENDING:
            self._drop_one()
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._write_all())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _drop_one(self) -> None:
        others = (key for key, (one, _) in self._pending_by_key.items() if not one.is_durable)
        del self._pending_by_key[next(others, next(iter(self._pending_by_key)))]
        self.dropped += 1

    async def _write_all(self) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while self._pending_by_key:
            is_written = await self._write_batch()
            if is_written or not self._pending_by_key:
                delay_s = MIN_RETRY_DELAY_S
                await self._clock.sleep(WRITE_INTERVAL_S)
            else:
                await self._clock.sleep(delay_s)
                delay_s = min(2.0 * delay_s, MAX_RETRY_DELAY_S)

    def _next_batch(self) -> list[tuple[_Key, tuple[Record, float]]]:
        batch: list[tuple[_Key, tuple[Record, float]]] = []
        size = 0
        for key, pending in itertools.islice(self._pending_by_key.items(), MAX_BATCH):
            size += len(pending[0].payload)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append((key, pending))
        return batch

    async def _write_batch(self) -> bool:
        now = self._clock.now()
        batch = self._next_batch()
        records = [aged(record, now - added_at) for _, (record, added_at) in batch]
        live = tuple(record for record in records if record.lifetime_s > 0.0)
        answer = await self._caller.call(
            self._address, WRITE_RECORDS, WriteRequest(live), WRITE_TIMEOUT_S
        )
        is_written = isinstance(answer, Ok)
        for key, pending in batch:
            record, added_at = pending
            is_over = record.lifetime_s <= now - added_at
            if self._pending_by_key.get(key) is not pending:
                continue
            if not is_written and not is_over and record.is_durable:
                continue
            del self._pending_by_key[key]
            if not is_written and (is_over or not self._move(record, now - added_at)):
                self.dropped += 1
        if isinstance(answer, Err):
            self._events.log(
                "WARNING",
                "records_not_confirmed",
                answer.err_value.kind,
                control=self._address,
                records=len(batch),
                refusal=answer.err_value,
            )
        return is_written

    def _move(self, record: Record, waited_s: float) -> bool:
        return self._write_elsewhere(aged(record, waited_s), self._address)
