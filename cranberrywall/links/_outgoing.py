"""Write one connection's frames in batches."""

import asyncio
from collections import deque
from collections.abc import Callable

from cranberrywall.links._counters import LinkCounters
from cranberrywall.runtime import Timers, Writer

_BATCH_BYTES = 256 * 1024


class Outbound:
    """Hold one frame until it is written; ``frame`` is ``None`` once sent or withdrawn."""

    __slots__ = ("frame", "sent")

    def __init__(self, frame: bytes) -> None:
        self.frame: bytes | None = frame
        self.sent = False


class Outgoing:
    """Queue frames, and write all that have gathered at once."""

    def __init__(self, writer: Writer, counters: LinkCounters) -> None:
        self._writer = writer
        self._counters = counters
        self._queue: deque[Outbound] = deque()
        self._filled = asyncio.Event()
        self._drained = asyncio.Event()
        self.queued_bytes = 0

    def add(self, outbound: Outbound) -> None:
        """Queue a frame behind the others."""
        assert outbound.frame is not None
        self._queue.append(outbound)
        self.queued_bytes += len(outbound.frame)
        self._filled.set()

    def withdraw(self, outbound: Outbound) -> None:
        """Drop a frame that is not sent yet."""
        if outbound.frame is not None:
            self.queued_bytes -= len(outbound.frame)
            outbound.frame = None

    async def below(self, most_bytes: int) -> None:
        """Wait until at most ``most_bytes`` are queued."""
        while self.queued_bytes > most_bytes:
            self._drained.clear()
            await self._drained.wait()

    async def run(
        self,
        timers: Timers,
        write_timeout: float,
        on_drained: Callable[[], None] = lambda: None,
    ) -> None:
        """Write until cancelled or the connection ends, and tell of each batch that went.

        Raise ``TimeoutError`` where the peer takes nothing for ``write_timeout`` seconds.
        """
        while True:
            await self._filled.wait()
            batch = self._take_batch()
            if not batch:
                self._filled.clear()
                continue
            self._writer.write(batch)
            async with timers.limit(write_timeout):
                await self._writer.drain()
            self._drained.set()
            on_drained()

    def _take_batch(self) -> bytes:
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
