"""Frame what is appended to a log file, so that damage is found.

One write is one frame, and the next frame is written only after the last one was synced.
So a crash can tear only the last frame of a file. Damage with anything behind it was done
to bytes that had been synced, and is never repaired by guess.
"""

import struct
from typing import NamedTuple

import xxhash
from result import Err, Ok, Result

_MAGIC = b"cwl1"
_HEADER = struct.Struct(">4sIQ")
_CHECKSUM = struct.Struct(">I")
_HEADER_SIZE = _HEADER.size + _CHECKSUM.size


class Scan(NamedTuple):
    """Hold the payloads of a file, and the size of its sound part in bytes."""

    payloads: list[bytes]
    sound_size: int


class _Head(NamedTuple):
    length: int
    checksum: int


def encode_frame(payload: bytes) -> bytes:
    """Return ``payload`` with its header and checksums.

    >>> scan_frames(encode_frame(b"one") + encode_frame(b"two")).unwrap().payloads
    [b'one', b'two']
    """
    head = _HEADER.pack(_MAGIC, len(payload), xxhash.xxh64_intdigest(payload))
    return head + _CHECKSUM.pack(xxhash.xxh32_intdigest(head)) + payload


def scan_frames(data: bytes) -> Result[Scan, int]:
    """Return the sound frames up to a torn tail, or the offset of damage in the middle."""
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        head = _read_head(data, offset)
        if head is None:
            if _has_frame_after(data, offset):
                return Err(offset)
            break
        start = offset + _HEADER_SIZE
        end = start + head.length
        payload = data[start:end]
        if end > len(data):
            break
        if xxhash.xxh64_intdigest(payload) != head.checksum:
            if end < len(data):
                return Err(offset)
            break
        payloads.append(payload)
        offset = end
    return Ok(Scan(payloads, offset))


def _read_head(data: bytes, offset: int) -> _Head | None:
    if offset + _HEADER_SIZE > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    (head_checksum,) = _CHECKSUM.unpack_from(data, offset + _HEADER.size)
    head = data[offset : offset + _HEADER.size]
    if magic != _MAGIC or xxhash.xxh32_intdigest(head) != head_checksum:
        return None
    return _Head(length, checksum)


def _has_frame_after(data: bytes, offset: int) -> bool:
    candidate = data.find(_MAGIC, offset + 1)
    while candidate != -1:
        head = _read_head(data, candidate)
        if head is not None:
            start = candidate + _HEADER_SIZE
            payload = data[start : start + head.length]
            if xxhash.xxh64_intdigest(payload) == head.checksum:
                return True
        candidate = data.find(_MAGIC, candidate + 1)
    return False
