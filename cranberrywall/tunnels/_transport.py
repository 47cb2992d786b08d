"""Transport of a connection to a target that a neighbour opened."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from result import Err, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import Caller, Method
from cranberrywall.tunnels.messages import (
    CLOSE_TUNNEL,
    READ_TUNNEL,
    WRITE_TUNNEL,
    CloseTunnel,
    ReadTunnel,
    TunnelEnd,
    WriteTunnel,
)

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")

CALL_TIMEOUT_S = 2.0
"""Timeout of the calls to the neighbour, in seconds."""

CHUNK_BYTES = 64 * 1024
"""Maximum number of bytes in one message; a protocol that has queued more is paused."""


class TunnelEndpoint(NamedTuple):
    """Neighbour that carries a connection, and the number that it assigned to it."""

    caller: Caller
    neighbour: str
    number: int


class TunnelTransport(asyncio.Transport):
    """Carry the bytes of one connection in calls to the neighbour, one at a time each way.

    Data is requested only while the protocol reads, so that a slow reader makes the target wait.
    """

    def __init__(
        self,
        endpoint: TunnelEndpoint,
        protocol: asyncio.Protocol,
        loop: asyncio.AbstractEventLoop,
        on_closed: Callable[[], None],
    ) -> None:
        super().__init__({"peername": (endpoint.neighbour, endpoint.number)})
        self._endpoint = endpoint
        self._on_closed = on_closed
        self._protocol = protocol
        self._loop = loop
        self._is_closing = False
        self._queued = bytearray()
        self._may_read = asyncio.Event()
        self._may_read.set()
        self._is_writing_paused = False
        self._writer: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        protocol.connection_made(self)
        self._reader = self._spawn(self._read())

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol that receives the data."""
        return self._protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol that receives the data from now on."""
        assert isinstance(protocol, asyncio.Protocol)
        self._protocol = protocol

    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return self._is_closing

    def is_reading(self) -> bool:
        """Return whether the protocol receives data."""
        return self._may_read.is_set() and not self._is_closing

    def pause_reading(self) -> None:
        """Pass on no data until ``resume_reading``."""
        self._may_read.clear()

    def resume_reading(self) -> None:
        """Pass data on again."""
        self._may_read.set()

    def get_write_buffer_size(self) -> int:
        """Return the number of queued bytes."""
        return len(self._queued)

    def write(self, data: Any) -> None:
        """Queue bytes for the target."""
        if self._is_closing or not data:
            return
        self._queued += data
        if len(self._queued) > CHUNK_BYTES and not self._is_writing_paused:
            self._is_writing_paused = True
            self._protocol.pause_writing()
        if self._writer is None:
            self._writer = self._spawn(self._write())

    def can_write_eof(self) -> bool:
        """Return false: the sending side is closed only together with the receiving side."""
        return False

    def close(self) -> None:
        """Close the connection; queued bytes are dropped."""
        self._end(None)

    def abort(self) -> None:
        """Close the connection at once."""
        self._end(None)

    async def _read(self) -> None:
        while True:
            await self._may_read.wait()
            call = ReadTunnel(self._endpoint.number)
            reply = await self._call(READ_TUNNEL, call)
            await self._may_read.wait()
            if isinstance(reply, Err):
                self._end(ConnectionResetError(f"the tunnel is lost: {reply.err_value}"))
                return
            data, end = reply.ok_value
            if data:
                self._protocol.data_received(data)
            if end is TunnelEnd.RESET:
                self._end(ConnectionResetError("the target reset the connection"))
                return
            if end is TunnelEnd.CLOSED:
                self._protocol.eof_received()
                self._end(None)
                return

    async def _write(self) -> None:
        while self._queued:
            data = bytes(self._queued[:CHUNK_BYTES])
            del self._queued[:CHUNK_BYTES]
            call = WriteTunnel(self._endpoint.number, data)
            reply = await self._call(WRITE_TUNNEL, call)
            if isinstance(reply, Err):
                self._end(ConnectionResetError(f"the tunnel is lost: {reply.err_value}"))
                return
            if self._is_writing_paused and len(self._queued) <= CHUNK_BYTES:
                self._is_writing_paused = False
                self._protocol.resume_writing()
        self._writer = None

    def _end(self, error: Exception | None) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()
        self._spawn(self._close_at_neighbour())
        self._on_closed()
        self._loop.call_soon(self._protocol.connection_lost, error)

    async def _close_at_neighbour(self) -> None:
        # If the call fails, the neighbour closes the tunnel once its lease ends.
        await self._call(CLOSE_TUNNEL, CloseTunnel(self._endpoint.number))

    async def _call(
        self, method: Method[RequestT, ReplyT], request: RequestT
    ) -> Result[ReplyT, Refusal]:
        caller, neighbour, _ = self._endpoint
        return await caller.call(neighbour, method, request, CALL_TIMEOUT_S)

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
