"""Bound what a stream may cost this process."""

from typing import NamedTuple

from cranberrywall.settings import Settings, seconds, size_in_bytes


class Limits(NamedTuple):
    """Hold the bounds of each connection; sizes in bytes, times in seconds.

    ``queued_bytes`` and ``calls`` bound one connection's outgoing bytes and calls in
    progress. ``ping_after`` is the silence after which a caller asks whether the peer is
    there, and ``silence`` how long it waits for any frame before it gives the connection
    up. A connection without calls for ``idle_after`` is closed until the next call.
    ``strangers`` bounds the connections that have not proved themselves yet.
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
    idle_after: float = 120.0
    backoff_first: float = 0.05
    backoff_most: float = 1.0


def limits_of(settings: Settings) -> Limits:
    """Return the limits of a process's settings, as ``load_settings`` gave them."""
    streams = settings["streams"]
    return Limits(
        frame_bytes=size_in_bytes(streams["frame"]),
        queued_bytes=size_in_bytes(streams["queued"]),
        calls=streams["calls"],
        dial_timeout=seconds(streams["dial_timeout"]),
        handshake_timeout=seconds(streams["handshake_timeout"]),
        write_timeout=seconds(streams["write_timeout"]),
    )
