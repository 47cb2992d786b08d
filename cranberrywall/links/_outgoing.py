"""Writer that sends the frames of one connection in batches."""

import asyncio
from collections import deque
from collections.abc import Callable

from cranberrywall.links._counters import LinkCounters
from cranberrywall.runtime import Timers, Writer

_BATCH_BYTES = 256 * 1024


class QueuedFrame:
    """Frame that waits to be written; ``frame`` is ``None`` after it is sent or withdrawn."""

    __slots__ = ("frame", "sent")

    def __init__(self, frame: bytes) -> None:
        self.frame: bytes | None = frame
        self.sent = False


class FrameWriter:
    """Queues frames, and writes all queued frames in one batch."""

    def __init__(self, writer: Writer, counters: LinkCounters) -> None:
        self._writer = writer
        self._counters = counters
        self._queue: deque[QueuedFrame] = deque()
        self._has_frames = asyncio.Event()
        self._drained = asyncio.Event()
        self.queued_bytes = 0

    def add(self, outbound: QueuedFrame) -> None:
        """Append a frame to the queue."""
        assert outbound.frame is not None
        self._queue.append(outbound)
        self.queued_bytes += len(outbound.frame)
        self._has_frames.set()

    def withdraw(self, outbound: QueuedFrame) -> None:
        """Remove a frame from the queue if it is not sent yet."""
        if outbound.frame is not None:
            self.queued_bytes -= len(outbound.frame)
            outbound.frame = None

    async def wait_until_below(self, max_bytes: int) -> None:
        """Wait until at most ``max_bytes`` are queued."""
        while self.queued_bytes > max_bytes:
            self._drained.clear()
            await self._drained.wait()

    async def run(
        self,
        timers: Timers,
        write_timeout: float,
        on_drained: Callable[[], None] = lambda: None,
    ) -> None:
        """Write until cancelled or the connection ends; call ``on_drained`` after each batch.

        Raises:
            TimeoutError: the peer did not read for ``write_timeout`` seconds.
        """
        while True:
            await self._has_frames.wait()
            batch = self._next_batch()
            if not batch:
                self._has_frames.clear()
                continue
            self._writer.write(batch)
            async with timers.limit(write_timeout):
                await self._writer.drain()
            self._drained.set()
            on_drained()

    def _next_batch(self) -> bytes:
        frames = []
        size = 0
        while self._queue and size < _BATCH_BYTES:
            outbound = self._queue.popleft()
            if outbound.frame is None:
                continue
            frames.append(outbound.frame)
            size += len(outbound.frame)
            outbound.frame = None
            outbound.sent = True
        self.queued_bytes -= size
        self._counters.frames_out += len(frames)
        self._counters.bytes_out += size
        return b"".join(frames)
