"""Pack documents and revisions for the way between hosts.

Routes and workspaces repeat each other's words: 1,400 routes take 320 KB, and 26 KB once packed.
Hosts' own lines are thin, and each hands revisions on to several others; unpacked, these would fill
the lines for seconds, and probes and answers would wait behind them.
"""

import zlib
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from cranberrywall.configuration.messages import Pack
from cranberrywall.errors import ErrorKind, Refusal

T = TypeVar("T")

LEVEL = 3
"""How hard zlib tries. Higher levels take twice the time for a fifth less."""

MOST_BYTES = 64 * 1024 * 1024
"""A pack that would take more than this is refused, in bytes: it would fill the memory."""

PACKS_KEPT = 8
"""Packs that a host keeps: the hosts that fetch after a change ask for the same one or two."""


def pack(content: Any) -> bytes:
    """Return a message as packed bytes."""
    return zlib.compress(msgspec.msgpack.encode(content), LEVEL)


def unpack(packed: bytes, kind: type[T]) -> Result[T, Refusal]:
    """Return the message of type ``kind``, or a refusal of what cannot be read.

    >>> unpack(pack(Pack((), None)), Pack).unwrap()
    Pack(deltas=(), snapshot=None)
    >>> unpack(b"no pack", Pack).is_err()
    True
    """
    try:
        reader = zlib.decompressobj()
        data = reader.decompress(packed, MOST_BYTES)
        if not reader.eof:
            return Err(_unreadable(f"it is cut short, or over {MOST_BYTES} bytes"))
        return Ok(msgspec.msgpack.decode(data, type=kind))
    except (zlib.error, msgspec.MsgspecError) as error:
        return Err(_unreadable(str(error)))


def _unreadable(message: str) -> Refusal:
    return Refusal(ErrorKind.MALFORMED, f"what was packed cannot be read: {message}")


class Packs:
    """Keep the last packs that were sent, by what they lead from and to."""

    def __init__(self) -> None:
        self._packed_by_span: OrderedDict[tuple[int, int], bytes] = OrderedDict()

    def get(self, since: int, revision: int, make: Callable[[], Pack]) -> bytes:
        """Return the pack that leads from one revision to another."""
        span = (since, revision)
        packed = self._packed_by_span.get(span)
        if packed is None:
            packed = pack(make())
            self._packed_by_span[span] = packed
            while len(self._packed_by_span) > PACKS_KEPT:
                self._packed_by_span.popitem(last=False)
        return packed
