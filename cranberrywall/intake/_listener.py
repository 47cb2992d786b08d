"""Listener for callers' connections that accepts none while the link is full."""

import asyncio
import socket
from collections.abc import Callable

from cranberrywall.intake._link_load import FIRST_REQUEST_BYTES, LinkLimit, LinkLoad
from cranberrywall.observability import EventLimiter, Metrics
from cranberrywall.runtime import Clock, split_address

PENDING_S = 0.05
"""Connections that wait to be accepted may bring what the link carries in this time, in seconds."""

MIN_PENDING = 2
MAX_PENDING = 128
"""Bounds of the number of connections that wait to be accepted."""

RECEIVE_BUFFER_BYTES = 8 * 1024
"""Size of the system's buffer for what arrives on a connection and is not read yet, in bytes.

The system grants twice as much."""

ACCEPT_BATCH = 16
"""Maximum number of connections that are accepted in one turn of the event loop."""

ACCEPT_RETRY_S = 0.5
"""Time without accepting after the system refused a connection, in seconds."""

ProtocolFactory = Callable[[], asyncio.Protocol]


def pending_connections(limit: LinkLimit) -> int:
    """Return how many connections may wait to be accepted.

    Their requests take the link although the host has not admitted them.
    """
    if limit.bytes_per_s is None:
        return MAX_PENDING
    fitting = int(PENDING_S * limit.bytes_per_s / FIRST_REQUEST_BYTES)
    return max(MIN_PENDING, min(MAX_PENDING, fitting))


def make_listening_socket(address: str, pending: int) -> socket.socket:
    """Listen at an address, with ``pending`` connections that may wait; raise ``OSError``."""
    listening = socket.socket()
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the size; the system would raise it otherwise.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.setblocking(False)
        listening.bind(split_address(address))
        listening.listen(pending)
    except OSError:
        listening.close()
        raise
    return listening


class CallerListener:
    """Accept callers' connections, except while ``load`` is full.

    A connection that is not accepted costs the link next to nothing, unlike a request that is
    refused. Its caller connects again within a second, or gives up and tries another host.
    """

    def __init__(self, address: str, limit: LinkLimit, clock: Clock) -> None:
        self._address = address
        self._limit = limit
        self._clock = clock
        self.load = LinkLoad(limit, clock.now())
        self._socket: socket.socket | None = None
        self._make_protocol: ProtocolFactory | None = None
        self._resuming: asyncio.Task[None] | None = None
        self._accepting: set[asyncio.Task[None]] = set()
        self._accepts_always = False
        self._pauses = 0
        self._events = EventLimiter(clock.now, every=1.0)

    @property
    def is_paused(self) -> bool:
        """Return whether no connection is accepted now."""
        return self._resuming is not None

    def start(self, make_protocol: ProtocolFactory) -> None:
        """Listen, or raise ``OSError``; ``make_protocol`` is called for each connection."""
        self._make_protocol = make_protocol
        self._socket = make_listening_socket(self._address, pending_connections(self._limit))
        self._watch()

    def close(self) -> None:
        """Stop listening; open connections stay."""
        if self._resuming is not None:
            self._resuming.cancel()
            self._resuming = None
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def accept_always(self) -> None:
        """Accept connections also while the link is full: a host that stops refuses requests."""
        self._accepts_always = True
        if self._resuming is not None:
            self._resuming.cancel()
            self._resume()

    def record_request(self, body_bytes: int, now: float) -> None:
        """Record a request whose head arrived and announces a body of ``body_bytes``."""
        self.load.record_request(body_bytes, now)
        self._check(now)

    def record_body(self, announced_bytes: int, body_bytes: int, now: float) -> None:
        """Record that a body has arrived; ``announced_bytes`` is 0 if its head had no size."""
        self.load.record_body(announced_bytes, body_bytes, now)
        self._check(now)

    def record_answer(self, size: int, now: float) -> None:
        """Record ``size`` bytes of an answer."""
        self.load.record_answer(size, now)
        self._check(now)

    def export(self, metrics: Metrics) -> None:
        """Register the state of the listener with ``metrics``."""
        metrics.gauge_of(
            "link_queue_seconds",
            "Estimated time that the link needs for admitted requests.",
            lambda: self.load.queue_s(self._clock.now()),
        )
        metrics.counters_of(
            "callers_paused",
            "Times at which callers' connections were no longer accepted, by cause.",
            "cause",
            lambda: {"link_full": self._pauses},
        )

    def _check(self, now: float) -> None:
        if self._socket is None or self._accepts_always or self._resuming is not None:
            return
        if not self.load.is_full(now):
            return
        self._pauses += 1
        self._events.log("WARNING", "callers_paused", "link_full", queue_s=self.load.queue_s(now))
        self._pause(self.load.resumes_in_s(now))

    def _pause(self, seconds: float) -> None:
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        self._resuming = loop.create_task(self._resume_later(seconds))

    async def _resume_later(self, seconds: float) -> None:
        while seconds > 0.0:
            await self._clock.sleep(seconds)
            seconds = self.load.resumes_in_s(self._clock.now())
        self._resume()

    def _resume(self) -> None:
        self._resuming = None
        if self._socket is not None:
            self._watch()

    def _watch(self) -> None:
        assert self._socket is not None
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if self._socket is None or self._resuming is not None:
                return
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._events.log("ERROR", "callers_not_accepted", "system", detail=str(error))
                self._pause(ACCEPT_RETRY_S)
                return
            connection.setblocking(False)
            now = self._clock.now()
            self.load.record_accepted(now)
            self._check(now)
            task = asyncio.get_running_loop().create_task(self._connect(connection))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    async def _connect(self, connection: socket.socket) -> None:
        assert self._make_protocol is not None
        try:
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError as error:
            connection.close()
            self._events.log("INFO", "caller_lost", "accepting", detail=str(error))
