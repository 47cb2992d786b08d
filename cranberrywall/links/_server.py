"""Answer calls: one task for each connection, one for each call in progress."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
from loguru import logger
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links._counters import DropReason, LinkCounters
from cranberrywall.links._frames import (
    BadFrameError,
    CallFrame,
    CancelFrame,
    FrameKind,
    RefusalFrame,
    decode_body,
    decoder_for,
    encode_frame,
    read_frame,
)
from cranberrywall.links._handshake import Handshake
from cranberrywall.links._interfaces import Handler, LinkServer, Method, Peer
from cranberrywall.links._limits import Limits
from cranberrywall.links._outgoing import Outbound, Outgoing
from cranberrywall.links._race import run_until_first
from cranberrywall.runtime import Clock, Listener, Network, Reader, Timers, Writer


def make_link_server(
    network: Network,
    clock: Clock,
    address: str,
    key: bytes,
    identity: Peer,
    counters: LinkCounters | None = None,
    limits: Limits | None = None,
) -> LinkServer:
    """Return a server that will listen at ``address`` once started."""
    return _LinkServer(
        network, clock, address, key, identity, counters or LinkCounters(), limits or Limits()
    )


class _Registered:
    def __init__(self, method: Method[Any, Any], handler: Handler[Any, Any]) -> None:
        self.method = method
        self.handler = handler


class _LinkServer:
    def __init__(
        self,
        network: Network,
        clock: Clock,
        address: str,
        key: bytes,
        identity: Peer,
        counters: LinkCounters,
        limits: Limits,
    ) -> None:
        self._network = network
        self._clock = clock
        self._address = address
        self._counters = counters
        self._limits = limits
        self._timers = Timers(clock)
        self._handshake = Handshake(key, identity, limits.handshake_bytes, counters)
        self._registered_by_name: dict[str, _Registered] = {}
        self._listener: Listener | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._connections: set[_ServedConnection] = set()
        self._strangers = 0

    @property
    def address(self) -> str:
        return self._address if self._listener is None else self._listener.address

    def register(self, method: Method[Any, Any], handler: Handler[Any, Any]) -> None:
        if method.name in self._registered_by_name:
            raise ValueError(f"{method.name} has a handler already")
        self._registered_by_name[method.name] = _Registered(method, handler)

    async def start(self) -> None:
        self._listener = await self._network.listen(self._address, self._on_connect)

    async def close(self) -> None:
        if self._listener is not None:
            await self._listener.close()
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._timers.close()

    def state(self) -> dict[str, object]:
        return {
            "address": self.address,
            "strangers": self._strangers,
            "peers": [connection.state() for connection in self._connections],
            "counters": self._counters.state(),
        }

    async def _on_connect(self, reader: Reader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except BadFrameError as error:
            self._counters.drop(error.reason)
        except OSError:
            # The peer went away; its calls are cancelled with the connection.
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        peer = await self._authenticate(reader, writer)
        if peer is None:
            return
        connection = _ServedConnection(
            peer, writer, self._registered_by_name, self._clock, self._timers, self._counters,
            self._limits,
        )  # fmt: skip
        self._connections.add(connection)
        try:
            await connection.run(reader)
        finally:
            self._connections.discard(connection)

    async def _authenticate(self, reader: Reader, writer: Writer) -> Peer | None:
        # Connections that have not proved themselves are few and short-lived, so that
        # strangers cannot use up this process's memory or sockets.
        if self._strangers >= self._limits.strangers:
            self._counters.drop(DropReason.TOO_MANY_STRANGERS)
            return None
        self._strangers += 1
        try:
            async with self._timers.limit(self._limits.handshake_timeout):
                return await self._handshake.as_server(reader, writer)
        except TimeoutError:
            self._counters.drop(DropReason.HANDSHAKE_TIMEOUT)
            return None
        finally:
            self._strangers -= 1


class _ServedConnection:
    def __init__(
        self,
        peer: Peer,
        writer: Writer,
        registered_by_name: dict[str, _Registered],
        clock: Clock,
        timers: Timers,
        counters: LinkCounters,
        limits: Limits,
    ) -> None:
        self._peer = peer
        self._registered_by_name = registered_by_name
        self._clock = clock
        self._timers = timers
        self._counters = counters
        self._limits = limits
        self._outgoing = Outgoing(writer, counters)
        self._task_by_number: dict[int, asyncio.Task[None]] = {}
        self._highest_number = 0

    def state(self) -> dict[str, object]:
        return {
            "host": self._peer.host,
            "place": self._peer.place,
            "incarnation": self._peer.incarnation,
            "calls": len(self._task_by_number),
            "queued_bytes": self._outgoing.queued_bytes,
        }

    async def run(self, reader: Reader) -> None:
        try:
            await run_until_first(self._read(reader), self._write())
        finally:
            for task in list(self._task_by_number.values()):
                task.cancel()

    async def _write(self) -> None:
        try:
            await self._outgoing.run(self._timers, self._limits.write_timeout)
        except TimeoutError as error:
            raise BadFrameError(DropReason.SLOW_PEER) from error

    async def _read(self, reader: Reader) -> None:
        while True:
            # A peer that sends calls and does not take the answers is not read further,
            # so that its answers cannot fill this process's memory.
            await self._outgoing.below(self._limits.queued_bytes)
            frame = await read_frame(reader, self._limits.frame_bytes, self._counters)
            if frame is None:
                return
            self._take(*frame)

    def _take(self, kind: int, body: memoryview) -> None:
        if kind == FrameKind.CALL:
            self._take_call(decode_body(CallFrame, body))
        elif kind == FrameKind.CANCEL:
            self._cancel(decode_body(CancelFrame, body).number)
        elif kind == FrameKind.PING:
            self._send(FrameKind.PONG, ())
        else:
            raise BadFrameError(DropReason.UNKNOWN_FRAME)

    def _take_call(self, call: CallFrame) -> None:
        # Numbers rise, so that a frame which came twice cannot run its call twice.
        if call.number <= self._highest_number:
            self._counters.drop(DropReason.REPEATED_CALL)
            return
        self._highest_number = call.number
        registered = self._registered_by_name.get(call.method)
        if registered is None:
            self._counters.drop(DropReason.UNKNOWN_METHOD)
            message = f"no such call: {call.method[:64]}"
            self._refuse(call.number, Refusal(ErrorKind.MALFORMED, message))
            return
        if len(self._task_by_number) >= self._limits.calls:
            self._counters.drop(DropReason.TOO_MANY_CALLS)
            message = "too many calls in progress on this connection"
            self._refuse(call.number, Refusal(ErrorKind.OVERLOADED, message))
            return
        try:
            request = decoder_for(registered.method.request_type).decode(call.request)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._counters.drop(DropReason.MALFORMED_REQUEST)
            self._refuse(call.number, Refusal(ErrorKind.MALFORMED, str(error), call.method))
            return
        work = self._answer(call.number, call.timeout, registered, request)
        self._start(call.number, work)

    def _start(self, number: int, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._task_by_number[number] = task
        task.add_done_callback(lambda _: self._task_by_number.pop(number, None))

    async def _answer(
        self, number: int, timeout: float, registered: _Registered, request: Any
    ) -> None:
        try:
            async with self._timers.limit(timeout):
                result = await self._handle(registered, request)
        except TimeoutError:
            # Nobody waits for this answer any more.
            self._counters.drop(DropReason.EXPIRED_CALL)
            return
        if isinstance(result, Ok):
            self._send(FrameKind.REPLY, (number, result.ok_value))
        else:
            self._refuse(number, result.err_value)

    async def _handle(self, registered: _Registered, request: Any) -> Result[Any, Refusal]:
        try:
            return await registered.handler(request, self._peer)
        except Exception:
            method = registered.method.name
            logger.exception("event=handler_raised method={} peer={}", method, self._peer.host)
            return Err(Refusal(ErrorKind.INTERNAL, f"the handler of {method} raised"))

    def _cancel(self, number: int) -> None:
        task = self._task_by_number.get(number)
        if task is not None:
            task.cancel()

    def _refuse(self, number: int, refusal: Refusal) -> None:
        self._send(FrameKind.REFUSAL, RefusalFrame(number, *refusal))

    def _send(self, kind: FrameKind, body: Any) -> None:
        self._outgoing.add(Outbound(encode_frame(kind, body)))
