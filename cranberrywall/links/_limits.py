"""Bound what a stream may cost this process."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Hold the bounds of each connection; sizes in bytes, times in seconds.

    ``queued_bytes`` and ``calls`` bound one connection's outgoing bytes and calls in
    progress. ``ping_after`` is the silence after which a caller asks whether the peer is
    there, and ``silence`` how long it waits for any frame before it gives the connection
    up. ``strangers`` bounds the connections that have not proved themselves yet.
    """

    frame_bytes: int = 16 * 1024 * 1024
    handshake_bytes: int = 2048
    queued_bytes: int = 8 * 1024 * 1024
    calls: int = 4096
    strangers: int = 256
    dial_timeout: float = 2.0
    handshake_timeout: float = 3.0
    write_timeout: float = 10.0
    ping_after: float = 1.0
    silence: float = 2.0
    backoff_first: float = 0.05
    backoff_most: float = 1.0
