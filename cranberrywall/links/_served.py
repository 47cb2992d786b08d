"""Server's end of an authenticated connection, with one task for each call in progress."""

import asyncio
from typing import Any, NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links._counters import DropReason, LinkCounters
from cranberrywall.links._frames import (
    BadFrameError,
    CallFrame,
    CancelFrame,
    FrameKind,
    RefusalFrame,
    decode,
    decode_body,
    encode_frame,
    read_frame,
)
from cranberrywall.links._interfaces import Handler, Method, Peer
from cranberrywall.links._limits import Limits
from cranberrywall.links._outgoing import FrameWriter, QueuedFrame
from cranberrywall.links._race import run_until_first
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock, Reader, Timers, Writer

_MAX_FRAMES_PER_TURN = 32


class Registered(NamedTuple):
    """Method with its handler."""

    method: Method[Any, Any]
    handler: Handler[Any, Any]


class ServerContext:
    """State that all connections of one server share."""

    def __init__(
        self, clock: Clock, timers: Timers, counters: LinkCounters, limits: Limits
    ) -> None:
        self.clock = clock
        self.timers = timers
        self.counters = counters
        self.limits = limits
        self.registered_by_name: dict[str, Registered] = {}
        self._tasks_by_host: dict[str, set[asyncio.Task[None]]] = {}

    def calls_in_progress(self, host: str) -> int:
        """Return the number of a peer's calls in progress.

        They are counted over all its connections, because a handler may run longer than its
        connection, and a peer must not get new capacity each time that it reconnects.
        """
        return len(self._tasks_by_host.get(host, ()))

    def start(self, host: str, task: asyncio.Task[None]) -> None:
        """Count a call of ``host`` until its task ends."""
        tasks = self._tasks_by_host.setdefault(host, set())
        tasks.add(task)
        task.add_done_callback(lambda _: self._remove_task(host, task))

    async def cancel_calls(self) -> None:
        """Cancel all calls, and wait until their tasks end."""
        tasks = [task for tasks in self._tasks_by_host.values() for task in tasks]
        tasks = [task for task in tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _remove_task(self, host: str, task: asyncio.Task[None]) -> None:
        tasks = self._tasks_by_host[host]
        tasks.discard(task)
        if not tasks:
            del self._tasks_by_host[host]


class ServedConnection:
    """Reads a peer's calls, runs their handlers concurrently, and writes the answers."""

    def __init__(self, peer: Peer, writer: Writer, shared: ServerContext) -> None:
        self._peer = peer
        self._shared = shared
        self._clock = shared.clock
        self._timers = shared.timers
        self._counters = shared.counters
        self._limits = shared.limits
        self._outgoing = FrameWriter(writer, shared.counters)
        self._cancellable_by_number: dict[int, asyncio.Task[None]] = {}
        self._highest_number = 0
        self._is_open = True

    def state(self) -> dict[str, Any]:
        """Return this connection's state for the state dump."""
        return {
            "host": self._peer.host,
            "place": self._peer.place,
            "incarnation": self._peer.incarnation,
            "calls": self._shared.calls_in_progress(self._peer.host),
            "queued_bytes": self._outgoing.queued_bytes,
        }

    async def run(self, reader: Reader) -> None:
        """Serve until the connection ends.

        Raises:
            BadFrameError: the peer sent an invalid frame or does not read the answers.
        """
        try:
            await run_until_first(self._read(reader), self._write())
        finally:
            self._is_open = False
            for task in list(self._cancellable_by_number.values()):
                task.cancel()

    async def _write(self) -> None:
        try:
            await self._outgoing.run(self._timers, self._limits.write_timeout)
        except TimeoutError as error:
            raise BadFrameError(DropReason.SLOW_PEER) from error

    async def _read(self, reader: Reader) -> None:
        frames_read = 0
        while True:
            # Stop reading calls from a peer that does not read the answers, so that queued
            # answers cannot exhaust this process's memory.
            await self._outgoing.wait_until_below(self._limits.queued_bytes)
            frame = await read_frame(reader, self._limits.frame_bytes, self._counters)
            if frame is None:
                return
            self._handle_frame(*frame)
            frames_read += 1
            if frames_read % _MAX_FRAMES_PER_TURN == 0:
                # Reading frames that have arrived does not yield to the event loop. Without
                # this, a burst of one peer would start all its calls before any other task ran.
                await asyncio.sleep(0)

    def _handle_frame(self, kind: int, body: memoryview) -> None:
        if kind == FrameKind.CALL:
            self._handle_call(decode_body(CallFrame, body))
        elif kind == FrameKind.CANCEL:
            self._cancel(decode_body(CancelFrame, body).number)
        elif kind == FrameKind.PING:
            self._send(FrameKind.PONG, ())
        else:
            raise BadFrameError(DropReason.UNKNOWN_FRAME)

    def _handle_call(self, call: CallFrame) -> None:
        # Numbers increase, so that a duplicated frame cannot run its call twice.
        if call.number <= self._highest_number:
            self._counters.drop(DropReason.REPEATED_CALL)
            return
        self._highest_number = call.number
        registered = self._shared.registered_by_name.get(call.method)
        if registered is None:
            self._counters.drop(DropReason.UNKNOWN_METHOD)
            message = f"unknown method: {call.method[:64]}"
            self._refuse(call.number, Refusal(ErrorKind.MALFORMED, message))
            return
        if self._shared.calls_in_progress(self._peer.host) >= self._limits.calls:
            self._counters.drop(DropReason.TOO_MANY_CALLS)
            message = "this peer has too many calls in progress"
            self._refuse(call.number, Refusal(ErrorKind.OVERLOADED, message))
            return
        try:
            request = decode(registered.method.request_type, call.request)
        except ValueError as error:
            self._counters.drop(DropReason.MALFORMED_REQUEST)
            self._refuse(call.number, Refusal(ErrorKind.MALFORMED, str(error), call.method))
            return
        self._start(call, registered, request)

    def _start(self, call: CallFrame, registered: Registered, request: Any) -> None:
        deadline = self._clock.now() + call.timeout
        work = self._answer(call.number, deadline, registered, request)
        task = asyncio.get_running_loop().create_task(work)
        self._shared.start(self._peer.host, task)
        if registered.method.is_cancellable:
            self._make_cancellable(call.number, deadline, task)

    def _make_cancellable(self, number: int, deadline: float, task: asyncio.Task[None]) -> None:
        self._cancellable_by_number[number] = task
        timer = self._timers.call_at(deadline, task.cancel)

        def on_done(_: object) -> None:
            timer.cancel()
            del self._cancellable_by_number[number]
            if task.cancelled():
                self._counters.drop(DropReason.EXPIRED_CALL)

        task.add_done_callback(on_done)

    async def _answer(
        self, number: int, deadline: float, registered: Registered, request: Any
    ) -> None:
        result = await self._handle(registered, request)
        if not self._is_open or self._clock.now() > deadline:
            # The caller no longer waits for this answer.
            self._counters.drop(DropReason.EXPIRED_CALL)
        elif isinstance(result, Ok):
            self._reply(number, registered, result.ok_value)
        else:
            self._refuse(number, result.err_value)

    async def _handle(self, registered: Registered, request: Any) -> Result[Any, Refusal]:
        try:
            return await registered.handler(request, self._peer)
        except Exception as error:
            return Err(self._report(registered, "handler_raised", error))

    def _reply(self, number: int, registered: Registered, reply: Any) -> None:
        try:
            frame = encode_frame(FrameKind.REPLY, (number, reply))
        except (TypeError, ValueError, OverflowError) as error:
            self._refuse(number, self._report(registered, "reply_not_encodable", error))
            return
        if len(frame) > self._limits.frame_bytes:
            # The caller would have to drop the connection with all its other calls.
            size = ValueError(f"{len(frame)} bytes")
            self._refuse(number, self._report(registered, "reply_too_large", size))
            return
        self._outgoing.add(QueuedFrame(frame))

    def _report(self, registered: Registered, event: str, error: Exception) -> Refusal:
        method = registered.method.name
        log_event("ERROR", event, error, method=method, peer=self._peer.host)
        return Refusal(ErrorKind.INTERNAL, f"{method}: {event}")

    def _cancel(self, number: int) -> None:
        task = self._cancellable_by_number.get(number)
        if task is not None:
            task.cancel()

    def _refuse(self, number: int, refusal: Refusal) -> None:
        self._send(FrameKind.REFUSAL, RefusalFrame(number, *refusal))

    def _send(self, kind: FrameKind, body: Any) -> None:
        self._outgoing.add(QueuedFrame(encode_frame(kind, body)))
