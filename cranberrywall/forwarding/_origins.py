"""Versions that began streams, stored so that any host can go on with a stream.

A few entry hosts store them, and control hosts, which outlive the loss of all entry hosts.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

import xxhash
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.forwarding.messages import (
    FIND_ORIGIN,
    RECORD_ORIGIN,
    OriginQuery,
    OriginRecorded,
    OriginReply,
    StreamOrigin,
)
from cranberrywall.hosts import HostView, Membership
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.records import Record, RecordClient
from cranberrywall.runtime import Clock

REPLICAS = 3
"""Number of other hosts that store an origin: it survives the loss of its host and two more."""

MAX_ASKED = 12
"""Maximum number of hosts that are asked for an origin: the first in the order of its replicas.

There are more of them than replicas, as hosts join and leave between a record and a question."""

CALL_TIMEOUT_S = 0.3
"""Time limit of a record and of a question, in seconds: a caller waits for the question."""

MAX_ORIGINS = 20_000
"""Maximum number of origins that a host stores; the oldest ones are removed first."""

ORIGINS_TOPIC = "stream-origin"

TAKE_UP_S = 10.0
"""Time after a stream's deadline in which a caller may still take it up, in seconds."""

_NOT_FOUND = Refusal(
    ErrorKind.NOT_READY,
    "no host that answered knows which version began the stream",
    "Resumes",
    "send the request again, or start the stream anew",
    retry_after=0.5,
)

_LOST = Refusal(
    ErrorKind.NOT_READY,
    "no host knows which version began the stream",
    "Resumes",
    "start the stream anew",
    retry_after=5.0,
)


class _Stored(NamedTuple):
    version: str
    expires_at: float


class StreamOrigins:
    """Table of the origins that this host knows, and the questions to others."""

    def __init__(
        self,
        host: str,
        membership: Membership,
        caller: Caller,
        server: Server,
        clock: Clock,
        records: RecordClient,
    ) -> None:
        self._host = host
        self._membership = membership
        self._caller = caller
        self._clock = clock
        self._records = records
        self._stored_by_id: OrderedDict[str, _Stored] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        self._unknown = 0
        server.register(RECORD_ORIGIN, self._handle_record)
        server.register(FIND_ORIGIN, self._handle_find)

    def export(self, metrics: Metrics) -> None:
        """Register the number of stored origins and of questions without an answer."""
        metrics.gauge_of(
            "stream_origins",
            "Streams of which this host stores the version that began them.",
            lambda: len(self._stored_by_id),
        )
        metrics.gauge_of(
            "stream_origins_unknown",
            "Streams that could not go on because no host that was asked knows their version.",
            lambda: self._unknown,
        )

    def record(self, request_id: str, version: str, lifetime_s: float) -> None:
        """Store an origin here, and at other hosts in the background."""
        self.store(request_id, version, lifetime_s)
        expires_at_ms = round(1000.0 * (self._clock.wall() + lifetime_s))
        self._records.write(
            Record(
                ORIGINS_TOPIC,
                request_id,
                (expires_at_ms,),
                version.encode(),
                lifetime_s,
                is_durable=False,
            )
        )
        task = asyncio.create_task(self._replicate(StreamOrigin(request_id, version, lifetime_s)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def find(self, request_id: str) -> Result[str, Refusal]:
        """Return the version that began a stream, or a refusal if no host that was asked knows."""
        version = self._find_here(request_id)
        found = Ok(version) if version is not None else await self._ask(request_id)
        if isinstance(found, Err):
            self._unknown += 1
            is_lost = found.err_value is _LOST
            log_event("WARNING", "stream_origin_unknown", resumes=request_id, is_lost=is_lost)
        return found

    def close(self) -> None:
        """Stop the records in the background."""
        for task in self._tasks:
            task.cancel()

    async def _ask(self, request_id: str) -> Result[str, Refusal]:
        """Ask the hosts that may know at the same time, and return the first version named."""
        views = self._others(request_id)[:MAX_ASKED]
        tasks = [asyncio.create_task(self._ask_host(view, request_id)) for view in views]
        tasks.append(asyncio.create_task(self._ask_controls(request_id)))
        have_all_answered = True
        try:
            for answer in asyncio.as_completed(tasks):
                version = await answer
                if version:
                    return Ok(version)
                have_all_answered &= version is not None
        finally:
            for task in tasks:
                task.cancel()
        return Err(_LOST if have_all_answered else _NOT_FOUND)

    async def _ask_host(self, view: HostView, request_id: str) -> str | None:
        """Return the version, empty if the host does not know it; ``None`` without an answer."""
        query = OriginQuery(request_id)
        reply = await self._caller.call(view.links, FIND_ORIGIN, query, CALL_TIMEOUT_S)
        return reply.ok_value.version if isinstance(reply, Ok) else None

    async def _ask_controls(self, request_id: str) -> str | None:
        found = await self._records.read(ORIGINS_TOPIC, request_id, CALL_TIMEOUT_S)
        if isinstance(found, Err):
            return None
        return found.ok_value.payload.decode() if found.ok_value is not None else ""

    async def _replicate(self, origin: StreamOrigin) -> None:
        await asyncio.gather(
            *(
                self._caller.call(view.links, RECORD_ORIGIN, origin, CALL_TIMEOUT_S)
                for view in self._others(origin.request_id)[:REPLICAS]
            )
        )

    def _others(self, request_id: str) -> Sequence[HostView]:
        """Return the other hosts, in an order by a hash of host and id (rendezvous hashing)."""
        others = [view for view in self._membership.alive() if view.host != self._host]
        return sorted(
            others, key=lambda view: xxhash.xxh64_intdigest(f"{view.host}\n{request_id}".encode())
        )

    def _find_here(self, request_id: str) -> str | None:
        stored = self._stored_by_id.get(request_id)
        if stored is None or stored.expires_at <= self._clock.now():
            return None
        return stored.version

    def stores(self, request_id: str) -> bool:
        """Return whether this host itself has the origin of a stream."""
        return self._find_here(request_id) is not None

    def store(self, request_id: str, version: str, lifetime_s: float) -> None:
        """Store an origin at this host only."""
        now = self._clock.now()
        self._stored_by_id[request_id] = _Stored(version, now + lifetime_s)
        self._stored_by_id.move_to_end(request_id)
        while self._stored_by_id:
            oldest_id, oldest = next(iter(self._stored_by_id.items()))
            if len(self._stored_by_id) <= MAX_ORIGINS and oldest.expires_at > now:
                return
            del self._stored_by_id[oldest_id]

    async def _handle_record(
        self, origin: StreamOrigin, peer: Peer
    ) -> Result[OriginRecorded, Refusal]:
        self.store(origin.request_id, origin.version, origin.lifetime_s)
        return Ok(OriginRecorded())

    async def _handle_find(self, query: OriginQuery, peer: Peer) -> Result[OriginReply, Refusal]:
        return Ok(OriginReply(self._find_here(query.request_id) or ""))
