"""Messages by which an entry host uses a connection of its neighbour to a target."""

from enum import IntEnum
from typing import NamedTuple

from cranberrywall.links import Method


class TunnelEnd(IntEnum):
    """How the target's side of a tunnel ended; ``RESET`` if its connection broke."""

    OPEN = 0
    CLOSED = 1
    RESET = 2


class OpenTunnel(NamedTuple):
    """Request to connect to a target within ``timeout`` seconds, for the request ``request_id``.

    The refusal is ``UNREACHABLE`` if the neighbour does not try, because it has no path to the
    target or is not reached itself.
    """

    target: str
    incarnation: int
    request_id: str
    timeout: float


class TunnelOpened(NamedTuple):
    """Number of the tunnel, which the neighbour assigned; the connection is established."""

    number: int


class ReadTunnel(NamedTuple):
    """Request for the next bytes from the target; it is answered once there are any."""

    number: int


class TunnelData(NamedTuple):
    """Bytes from the target, which may be empty; ``end`` applies after these bytes."""

    data: bytes
    end: TunnelEnd = TunnelEnd.OPEN


class WriteTunnel(NamedTuple):
    """Bytes to send to the target."""

    number: int
    data: bytes


class TunnelWritten(NamedTuple):
    """Confirmation that the connection has capacity for more bytes."""


class CloseTunnel(NamedTuple):
    """Request to close the connection to the target."""

    number: int


class TunnelClosed(NamedTuple):
    """Confirmation that the tunnel is closed, or was before."""


OPEN_TUNNEL = Method("tunnels.open", OpenTunnel, TunnelOpened, is_cancellable=True)
READ_TUNNEL = Method("tunnels.read", ReadTunnel, TunnelData, is_cancellable=True)
WRITE_TUNNEL = Method("tunnels.write", WriteTunnel, TunnelWritten, is_cancellable=True)
CLOSE_TUNNEL = Method("tunnels.close", CloseTunnel, TunnelClosed)
