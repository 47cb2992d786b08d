"""Connection to one peer, with the calls in progress and the queued calls."""

import asyncio
import itertools
import ssl
from functools import partial
from typing import Any

import msgspec
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links._counters import DropReason, LinkCounters
from cranberrywall.links._frames import (
    BadFrameError,
    FrameKind,
    RefusalFrame,
    ReplyFrame,
    decode,
    decode_body,
    encode_frame,
    read_frame,
)
from cranberrywall.links._handshake import Handshake
from cranberrywall.links._interfaces import Method, Peer, ReplyT, RequestT
from cranberrywall.links._limits import Limits
from cranberrywall.links._outgoing import FrameWriter, QueuedFrame
from cranberrywall.links._race import run_until_first
from cranberrywall.observability import EventLimiter
from cranberrywall.runtime import Clock, Network, Random, Reader, Timers, Writer


class _IdleError(Exception):
    """A connection had no calls for ``Limits.idle_after`` seconds."""


class _Pending:
    """Call that waits for its answer."""

    __slots__ = ("answer", "outbound")

    def __init__(self, answer: asyncio.Future[Result[Any, Refusal]], outbound: QueuedFrame) -> None:
        self.answer = answer
        self.outbound = outbound


class PeerConnection:
    """Calls one address; connects on demand, and reconnects after the connection is lost."""

    def __init__(
        self,
        address: str,
        network: Network,
        clock: Clock,
        random: Random,
        timers: Timers,
        handshake: Handshake,
        counters: LinkCounters,
        limits: Limits,
    ) -> None:
        self._address = address
        self._network = network
        self._clock = clock
        self._random = random
        self._timers = timers
        self._handshake = handshake
        self._counters = counters
        self._limits = limits
        self._drops = EventLimiter(clock.now)
        self._task: asyncio.Task[None] | None = None
        self._peer: Peer | None = None
        self._outgoing: FrameWriter | None = None
        self._pending_by_number: dict[int, _Pending] = {}
        # A dict preserves the order of arrival, and a waiter that timed out can be removed from it.
        self._waiters: dict[asyncio.Future[Refusal | None], None] = {}
        self._number = 0
        self._failures = 0
        self._dial_not_before = float("-inf")
        self._last_error = ""
        self._is_closed = False
        self._received_frames = 0
        self._call_started = asyncio.Event()

    @property
    def is_idle(self) -> bool:
        """Return whether there is neither a connection nor an attempt to connect."""
        return self._task is None

    def state(self) -> dict[str, Any]:
        """Return this peer's state for the state dump."""
        return {
            "host": "" if self._peer is None else self._peer.host,
            "connected": self._outgoing is not None,
            "calls": len(self._pending_by_number),
            "waiting": len(self._waiters),
            "queued_bytes": 0 if self._outgoing is None else self._outgoing.queued_bytes,
            "failures": self._failures,
            "last_error": self._last_error,
        }

    async def call(
        self, method: Method[RequestT, ReplyT], request: RequestT, deadline: float
    ) -> Result[ReplyT, Refusal]:
        """Send one call, and wait until ``deadline`` for its answer."""
        if self._waiters or not self._has_capacity():
            refusal = await self._wait_for_capacity(deadline)
            if refusal is not None:
                return Err(refusal)
        assert self._outgoing is not None
        self._number += 1
        number = self._number
        timeout = max(0.0, deadline - self._clock.now())
        frame = encode_frame(FrameKind.CALL, (number, method.name, timeout, request))
        if len(frame) > self._limits.frame_bytes:
            message = (
                f"{method.name} takes {len(frame)} bytes, the limit is {self._limits.frame_bytes}"
            )
            return Err(Refusal(ErrorKind.TOO_LARGE, message))
        result = await self._exchange(number, QueuedFrame(frame), deadline)
        if isinstance(result, Err):
            return result
        return self._decode(method, result.ok_value)

    async def close(self) -> None:
        """Close the connection; calls in progress return a refusal."""
        self._is_closed = True
        self._last_error = "this process is closing"
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _has_capacity(self) -> bool:
        return (
            self._outgoing is not None
            and len(self._pending_by_number) < self._limits.calls
            and self._outgoing.queued_bytes <= self._limits.queued_bytes
        )

    async def _wait_for_capacity(self, deadline: float) -> Refusal | None:
        """Return ``None`` when the call may be sent, or a refusal if that is not in time."""
        refusal = self._connect_on_demand()
        if refusal is not None:
            return refusal
        while True:
            refusal = await self._wait_once(deadline)
            if refusal is not None or self._has_capacity():
                return refusal

    async def _wait_once(self, deadline: float) -> Refusal | None:
        waiter: asyncio.Future[Refusal | None] = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        timer = self._timers.call_at(deadline, partial(self._time_out_waiter, waiter))
        try:
            return await waiter
        except asyncio.CancelledError:
            # Pass the capacity that this call was given to the next one in the queue.
            self._admit_waiters()
            raise
        finally:
            timer.cancel()
            self._waiters.pop(waiter, None)

    def _connect_on_demand(self) -> Refusal | None:
        if self._is_closed:
            return Refusal(ErrorKind.UNREACHABLE, self._last_error)
        if self._task is not None:
            return None
        wait = self._dial_not_before - self._clock.now()
        if wait > 0:
            return Refusal(ErrorKind.UNREACHABLE, self._last_error, retry_after=wait)
        self._task = asyncio.get_running_loop().create_task(self._run())
        return None

    def _time_out_waiter(self, waiter: asyncio.Future[Refusal | None]) -> None:
        if waiter.done():
            return
        reason = (
            "is not connected"
            if self._outgoing is None
            else "has too many calls in progress or queued bytes"
        )
        waiter.set_result(Refusal(ErrorKind.UNREACHABLE, f"{self._address} {reason}"))

    def _admit_waiters(self) -> None:
        if not self._waiters or not self._has_capacity():
            return
        capacity = self._limits.calls - len(self._pending_by_number)
        for waiter in list(itertools.islice(self._waiters, capacity)):
            del self._waiters[waiter]
            if not waiter.done():
                waiter.set_result(None)

    async def _exchange(
        self, number: int, outbound: QueuedFrame, deadline: float
    ) -> Result[msgspec.Raw, Refusal]:
        assert self._outgoing is not None
        outgoing = self._outgoing
        pending = _Pending(asyncio.get_running_loop().create_future(), outbound)
        self._pending_by_number[number] = pending
        outgoing.add(outbound)
        self._call_started.set()
        timer = self._timers.call_at(deadline, partial(self._expire, pending))
        try:
            return await pending.answer
        except asyncio.CancelledError:
            if outbound.sent:
                outgoing.add(QueuedFrame(encode_frame(FrameKind.CANCEL, (number,))))
            raise
        finally:
            timer.cancel()
            outgoing.withdraw(outbound)
            self._pending_by_number.pop(number, None)
            self._admit_waiters()

    def _expire(self, pending: _Pending) -> None:
        if pending.answer.done():
            return
        if pending.outbound.sent:
            refusal = Refusal(ErrorKind.TIMEOUT, f"{self._address} did not answer in time")
        else:
            refusal = Refusal(
                ErrorKind.UNREACHABLE,
                f"the call to {self._address} was not sent before the deadline",
            )
        pending.answer.set_result(Err(refusal))

    def _decode(
        self, method: Method[RequestT, ReplyT], reply: msgspec.Raw
    ) -> Result[ReplyT, Refusal]:
        try:
            return Ok(decode(method.reply_type, reply))
        except ValueError as error:
            self._counters.drop(DropReason.MALFORMED_REPLY)
            return Err(Refusal(ErrorKind.INTERNAL, f"malformed reply to {method.name}: {error}"))

    async def _run(self) -> None:
        """Connect, and read and write until the connection ends."""
        writer: Writer | None = None
        is_idle = is_given_up = False
        try:
            reader, writer = await self._network.dial(self._address, self._limits.dial_timeout)
            async with self._timers.limit(self._limits.handshake_timeout):
                self._peer = await self._handshake.as_client(reader, writer)
            await self._serve(reader, writer)
            self._last_error = f"{self._address} closed the connection"
        except _IdleError:
            is_idle = True
        except BadFrameError as error:
            is_given_up = True
            self._counters.drop(error.reason)
            self._drops.log("WARNING", "connection_dropped", error.reason, peer=self._address)
            self._last_error = f"{self._address}: {error.reason}"
        except ssl.SSLError as error:
            self._counters.drop(DropReason.TLS_FAILED)
            detail = error.reason or type(error).__name__
            self._drops.log(
                "WARNING",
                "connection_dropped",
                DropReason.TLS_FAILED,
                peer=self._address,
                detail=detail,
            )
            self._last_error = f"{self._address}: TLS failed: {detail}"
        except OSError as error:
            self._last_error = f"{self._address}: {str(error) or type(error).__name__}"
        finally:
            if writer is not None and is_given_up:
                # TCP would deliver the calls of a partition long after its end, and after later
                # ones of the next connection.
                writer.abort()
            elif writer is not None:
                writer.close()
            if is_idle:
                self._close_after_idle()
            else:
                self._close_after_failure()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self._outgoing = FrameWriter(writer, self._counters)
        self._call_started.clear()
        self._admit_waiters()
        await run_until_first(
            self._read(reader), self._write(self._outgoing), self._monitor(self._outgoing)
        )

    async def _write(self, outgoing: FrameWriter) -> None:
        try:
            await outgoing.run(self._timers, self._limits.write_timeout, self._admit_waiters)
        except TimeoutError as error:
            raise BadFrameError(DropReason.SLOW_PEER) from error

    async def _read(self, reader: Reader) -> None:
        while True:
            frame = await read_frame(reader, self._limits.frame_bytes, self._counters)
            if frame is None:
                return
            # The peer answered, so the next loss does not count as a consecutive failure.
            self._failures = 0
            self._received_frames += 1
            self._handle_frame(*frame)

    def _handle_frame(self, kind: int, body: memoryview) -> None:
        if kind == FrameKind.REPLY:
            reply = decode_body(ReplyFrame, body)
            self._complete(reply.number, Ok(reply.reply))
        elif kind == FrameKind.REFUSAL:
            refusal: RefusalFrame = decode_body(RefusalFrame, body)
            self._complete(refusal.number, Err(_refusal_from(refusal)))
        elif kind != FrameKind.PONG:
            raise BadFrameError(DropReason.UNKNOWN_FRAME)

    def _complete(self, number: int, result: Result[msgspec.Raw, Refusal]) -> None:
        pending = self._pending_by_number.get(number)
        if pending is None or pending.answer.done():
            self._counters.drop(DropReason.LATE_REPLY)
            return
        pending.answer.set_result(result)

    async def _monitor(self, outgoing: FrameWriter) -> None:
        """End a connection on which calls are sent and no frame is received.

        If a partition drops packets, the connection stays open for minutes. After the partition
        its retransmissions arrive late, while a new connection works immediately.
        """
        while True:
            await self._wait_for_call()
            received_before = self._received_frames
            await self._clock.sleep(self._limits.ping_after)
            if self._received_frames != received_before:
                continue
            outgoing.add(QueuedFrame(encode_frame(FrameKind.PING)))
            await self._clock.sleep(self._limits.silence)
            if self._received_frames == received_before:
                raise BadFrameError(DropReason.SILENT_PEER)

    async def _wait_for_call(self) -> None:
        """Wait for the next call, or raise ``_IdleError`` after ``idle_after`` without calls.

        Hosts sometimes call hosts that they rarely call again, for example when they join.
        Without the limit, each host would finally have a connection to every other host.
        """
        while True:
            try:
                async with self._timers.limit(self._limits.idle_after):
                    await self._call_started.wait()
                self._call_started.clear()
                return
            except TimeoutError:
                if not self._pending_by_number:
                    # From now on, calls wait for the next connection.
                    self._outgoing = None
                    raise _IdleError from None

    def _close_after_failure(self) -> None:
        """Refuse all calls of the connection, and set the time of the next dial."""
        self._outgoing = None
        self._task = None
        self._schedule_backoff()
        for pending in list(self._pending_by_number.values()):
            if not pending.answer.done():
                pending.answer.set_result(Err(self._refusal_for(pending)))
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(Refusal(ErrorKind.UNREACHABLE, self._last_error))

    def _close_after_idle(self) -> None:
        """End an idle connection, and reconnect if calls arrived in the meantime."""
        self._task = None
        if self._waiters:
            self._connect_on_demand()

    def _schedule_backoff(self) -> None:
        self._failures += 1
        max_backoff = min(
            self._limits.backoff_most,
            self._limits.backoff_first * 2.0 ** min(self._failures - 1, 16),
        )
        # Jitter prevents that all hosts dial a restarted host at the same moment.
        backoff = max_backoff * self._random.uniform(0.5, 1.0)
        self._dial_not_before = self._clock.now() + backoff

    def _refusal_for(self, pending: _Pending) -> Refusal:
        kind = ErrorKind.TIMEOUT if pending.outbound.sent else ErrorKind.UNREACHABLE
        return Refusal(kind, self._last_error)


def _refusal_from(frame: RefusalFrame) -> Refusal:
    try:
        kind = ErrorKind(frame.kind)
    except ValueError:
        # A newer peer may send kinds that this version does not have.
        kind = ErrorKind.INTERNAL
    return Refusal(kind, frame.message, frame.field, frame.remedy, frame.retry_after)
