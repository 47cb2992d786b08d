"""Memory of the answers that are buffered until they are complete."""

from collections.abc import Iterator
from contextlib import contextmanager

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size of an answer that is buffered in memory."""


class AnswerMemory:
    """Limit the memory of all buffered answers of a host together.

    If the limit is exceeded, those answers fail that are larger than an even part of it.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._buffers = 0

    @contextmanager
    def buffer(self) -> Iterator["AnswerBuffer"]:
        """Return the buffer of one answer, whose memory is free after the block."""
        buffer = AnswerBuffer(self)
        self._buffers += 1
        try:
            yield buffer
        finally:
            self._buffers -= 1
            self._used_bytes -= len(buffer.data)
            # The traceback of a failed attempt refers to the buffer for as long as its request.
            buffer.data.clear()

    def take(self, size: int, held: int) -> bool:
        """Return whether an answer of ``held`` bytes may grow by ``size`` bytes."""
        is_full = self._used_bytes + size > self._limit_bytes
        if is_full and held + size > self._limit_bytes / self._buffers:
            return False
        self._used_bytes += size
        return True


class AnswerBuffer:
    """Buffer of one answer."""

    def __init__(self, memory: AnswerMemory) -> None:
        self.data = bytearray()
        self._memory = memory

    def add(self, chunk: bytes) -> str:
        """Add a chunk; return why the answer is too large, or an empty text."""
        if len(self.data) + len(chunk) > MAX_ANSWER_BYTES:
            return f"the answer exceeds {MAX_ANSWER_BYTES} bytes"
        if not self._memory.take(len(chunk), len(self.data)):
            return "the answer exceeds its part of the memory for answers"
        self.data += chunk
        return ""
