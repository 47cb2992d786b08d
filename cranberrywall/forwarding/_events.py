"""Splitter of an event stream into complete events; it changes no byte of them."""

from typing import NamedTuple

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event; a larger one means that the stream is malformed."""


class Event(NamedTuple):
    """One event as it was sent; ``number`` is its id, or ``None`` if it has none."""

    data: bytes
    number: int | None


class EventSplitter:
    """Collect bytes and return complete events.

    A target may stop in the middle of an event. The incomplete part must not reach the caller,
    because another target sends the complete event again.
    """

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._remainder

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes; raise ``ValueError`` if one is too large.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
        [Event(data=b'id: 1\\ndata: a\\n\\n', number=1)]
        >>> splitter.feed(b"ta: b\\n\\n")
        [Event(data=b'id: 2\\ndata: b\\n\\n', number=2)]
        """
        self._remainder += data
        events = []
        while (end := self._find_end()) > 0:
            complete, self._remainder = self._remainder[:end], self._remainder[end:]
            events.append(Event(complete, _number_of(complete)))
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _find_end(self) -> int:
        ends = [
            self._remainder.find(mark) + len(mark)
            for mark in _EVENT_TERMINATORS
            if mark in self._remainder
        ]
        return min(ends, default=0)


def _number_of(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
