"""Cut an event stream into whole events, without changing a byte of them."""

from typing import NamedTuple

_ENDS = (b"\n\n", b"\r\n\r\n")
MOST_BYTES = 1024 * 1024
"""An event larger than this is taken for a stream of garbage, in bytes."""


class Event(NamedTuple):
    """Hold one event as it was sent; ``number`` is its id, ``None`` without one."""

    data: bytes
    number: int | None


class EventSplitter:
    """Collect bytes and give out the events that are whole.

    A target may stop in the middle of an event. What it sent of that event must not reach the
    caller: another target sends the whole event again.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes behind the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes; raise ``ValueError`` for a huge one.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
        [Event(data=b'id: 1\\ndata: a\\n\\n', number=1)]
        >>> splitter.feed(b"ta: b\\n\\n")
        [Event(data=b'id: 2\\ndata: b\\n\\n', number=2)]
        """
        self._rest += data
        events = []
        while (end := self._find_end()) > 0:
            whole, self._rest = self._rest[:end], self._rest[end:]
            events.append(Event(whole, _number_of(whole)))
        if len(self._rest) > MOST_BYTES:
            raise ValueError(f"an event of over {MOST_BYTES} bytes")
        return events

    def _find_end(self) -> int:
        ends = [self._rest.find(mark) + len(mark) for mark in _ENDS if mark in self._rest]
        return min(ends, default=0)


def _number_of(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
