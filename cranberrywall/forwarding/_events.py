"""Splitter of an event stream into complete events; it changes no byte of them."""

from typing import NamedTuple

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
_LONGEST_TERMINATOR = max(map(len, _EVENT_TERMINATORS))
_FIELDS = frozenset((b"", b"data", b"event", b"id", b"retry"))
"""Names of fields by the HTML standard, section 9.2.6; that of a comment is empty."""

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event; a larger one means that the stream is malformed."""


class Event(NamedTuple):
    """One event as it was sent; ``number`` is its id, or ``None`` if it has none."""

    data: bytes
    number: int | None


def is_event(data: bytes) -> bool:
    """Return whether a block has a line of an event stream: a comment, or a field of an event.

    >>> is_event(b"id: 3\\ndata: a\\n\\n"), is_event(b": comment\\n\\n"), is_event(b"<html>\\n\\n")
    (True, True, False)
    """
    return any(line.partition(b":")[0] in _FIELDS and b":" in line for line in data.splitlines())


def is_comment(data: bytes) -> bool:
    """Return whether a block has only comments, which keep a connection open.

    >>> is_comment(b": comment\\n\\n"), is_comment(b": comment\\ndata: a\\n\\n")
    (True, False)
    """
    return all(line.startswith(b":") for line in data.splitlines() if line)


class EventSplitter:
    """Collect bytes and return complete events.

    A target may stop in the middle of an event. The incomplete part must not reach the caller,
    because another target sends the complete event again.
    """

    def __init__(self) -> None:
        self._remainder = bytearray()
        self._searched = 0

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._remainder)

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
            complete = bytes(self._remainder[:end])
            del self._remainder[:end]
            self._searched = 0
            events.append(Event(complete, _number_of(complete)))
        # A terminator may be split between two pieces of data.
        self._searched = max(0, len(self._remainder) - _LONGEST_TERMINATOR + 1)
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _find_end(self) -> int:
        found = [(self._remainder.find(mark, self._searched), mark) for mark in _EVENT_TERMINATORS]
        return min((at + len(mark) for at, mark in found if at >= 0), default=0)


def _number_of(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
