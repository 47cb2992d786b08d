"""Limits of the resources that one stream uses in this process."""

from typing import NamedTuple

from cranberrywall.settings import Settings, seconds, size_in_bytes


class Limits(NamedTuple):
    """Limits of each connection; sizes in bytes, times in seconds.

    ``queued_bytes`` and ``calls`` limit one connection's queued outgoing bytes and its calls in
    progress. If a peer sends no frame for ``ping_after`` after a call, the caller sends a ping.
    If no frame arrives for another ``silence``, the caller closes the connection. A connection
    without calls for ``idle_after`` is closed until the next call. ``strangers`` limits the
    number of connections that are not authenticated yet.
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
    """Return the limits in ``settings``, as ``load_settings`` returned them."""
    streams = settings["streams"]
    return Limits(
        frame_bytes=size_in_bytes(streams["frame"]),
        queued_bytes=size_in_bytes(streams["queued"]),
        calls=streams["calls"],
        dial_timeout=seconds(streams["dial_timeout"]),
        handshake_timeout=seconds(streams["handshake_timeout"]),
        write_timeout=seconds(streams["write_timeout"]),
    )
