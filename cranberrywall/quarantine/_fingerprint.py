"""Fingerprints by which hosts recognise that two arrivals are the same request."""

import xxhash

Fingerprint = bytes
"""Hash of 16 bytes. A caller can produce collisions on purpose, but only among its own requests."""


def fingerprint_of(caller: str, path: str, body: bytes) -> Fingerprint:
    """Return the hash of what identifies a request, whenever it arrives and at whichever host.

    The request id, the headers, the route and the host that received the request are not included:
    a caller that repeats a request gives it another id, and may send it to another host.

    >>> fingerprint_of("desk", "/a/1", b"x") == fingerprint_of("desk", "/a/1", b"x")
    True
    >>> fingerprint_of("desk", "/a/1", b"x") == fingerprint_of("desk", "/a/", b"1x")
    False
    """
    hasher = xxhash.xxh3_128()
    for part in (caller.encode(), path.encode("utf-8", "surrogateescape"), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()
