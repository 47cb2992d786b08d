"""Frames: their format, encoding and decoding.

A frame consists of its length (4 bytes, big-endian, of everything after the length),
the version (1 byte), the frame's kind (1 byte) and a msgpack array.
"""

import asyncio
import struct
from enum import IntEnum
from typing import Annotated, Any, NamedTuple

import msgspec

from cranberrywall.links._counters import DropReason, LinkCounters
from cranberrywall.runtime import Reader

VERSION = 1
"""Version number of the link protocol, in each frame and in the handshake."""

_HEADER = struct.Struct(">IBB")
_LENGTH = struct.Struct(">I")
_VERSION_AND_KIND_BYTES = 2
_MAX_TIMEOUT_S = 86_400.0

_encoder = msgspec.msgpack.Encoder()
_decoder_by_type: dict[type, msgspec.msgpack.Decoder[Any]] = {}


class FrameKind(IntEnum):
    """Kind of a frame, as the number on the wire."""

    HELLO = 1
    CHALLENGE = 2
    PROOF = 3
    WELCOME = 4
    CALL = 10
    REPLY = 11
    REFUSAL = 12
    CANCEL = 13
    PING = 14
    PONG = 15


# The bounds exclude NaN and infinity, which would break the order of the timers.
Timeout = Annotated[float, msgspec.Meta(ge=0, le=_MAX_TIMEOUT_S)]


class CallFrame(NamedTuple):
    """Request for one call; ``timeout`` is in seconds from its arrival."""

    number: int
    method: str
    timeout: Timeout
    request: msgspec.Raw


class ReplyFrame(NamedTuple):
    """Reply to call ``number``."""

    number: int
    reply: msgspec.Raw


class RefusalFrame(NamedTuple):
    """Refusal of call ``number``."""

    number: int
    kind: str
    message: str
    field: str
    remedy: str
    retry_after: float | None


class CancelFrame(NamedTuple):
    """Notice that the caller no longer waits for call ``number``."""

    number: int


class BadFrameError(Exception):
    """A frame is invalid, so the connection must be closed."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(str(reason))
        self.reason = reason


def encode_frame(kind: FrameKind, body: Any = ()) -> bytes:
    """Return the bytes of a frame; ``body`` is a tuple of values that msgpack can encode."""
    frame = bytearray(_HEADER.size)
    _encoder.encode_into(body, frame, _HEADER.size)
    _HEADER.pack_into(frame, 0, len(frame) - _LENGTH.size, VERSION, kind)
    return bytes(frame)


async def read_frame(
    reader: Reader, max_bytes: int, counters: LinkCounters
) -> tuple[int, memoryview] | None:
    """Return the next frame's kind and body, or ``None`` if the stream ends between frames.

    Raises:
        BadFrameError: the frame is truncated, larger than ``max_bytes``, malformed or of another
            version.
    """
    try:
        head = await reader.readexactly(_LENGTH.size)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BadFrameError(DropReason.TRUNCATED) from error
        return None
    (length,) = _LENGTH.unpack(head)
    if length > max_bytes:
        raise BadFrameError(DropReason.TOO_LARGE)
    if length < _VERSION_AND_KIND_BYTES:
        raise BadFrameError(DropReason.MALFORMED_FRAME)
    try:
        data = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise BadFrameError(DropReason.TRUNCATED) from error
    if data[0] != VERSION:
        raise BadFrameError(DropReason.BAD_VERSION)
    counters.frames_in += 1
    counters.bytes_in += length + _LENGTH.size
    return data[1], memoryview(data)[_VERSION_AND_KIND_BYTES:]


def decode(message_type: type, data: Any) -> Any:
    """Return the message in ``data`` as ``message_type``.

    Raises:
        ValueError: the bytes are not a valid message of the type.
    """
    decoder = _decoder_by_type.get(message_type)
    if decoder is None:
        decoder = _decoder_by_type[message_type] = msgspec.msgpack.Decoder(message_type)
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise ValueError("the message is nested too deeply") from error


def decode_body(message_type: type, body: Any) -> Any:
    """Return the frame's body as ``message_type``.

    Raises:
        BadFrameError: the body is not a valid message of the type.
    """
    try:
        return decode(message_type, body)
    except ValueError as error:
        raise BadFrameError(DropReason.MALFORMED_FRAME) from error
