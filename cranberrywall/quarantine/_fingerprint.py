"""Tell whether two arrivals are the same request."""

import xxhash

Fingerprint = bytes
"""16 bytes of hash. Collisions can be made on purpose, but only within one caller's requests."""


def fingerprint_of(caller: str, path: str, body: bytes) -> Fingerprint:
    """Return the hash of what makes a request the same one wherever and whenever it comes.

    The request's id, its headers, the route and the host that took it in don't count: a caller
    that sends the same once more gives it another id, and may come to another host.

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
