"""Reset TCP connections instead of closing them in order."""

import socket
import struct
from typing import Any, Protocol

_LINGER_FOR_NOTHING = struct.pack("ii", 1, 0)


class _Connection(Protocol):
    def setsockopt(self, level: int, option: int, value: Any, /) -> None: ...


def reset_on_close(connection: _Connection) -> None:
    """Make the end of a connection's socket a reset, also if the process is killed.

    Otherwise the kernel goes on to send what the process has written, and its peer may receive it
    long after its sender has given it up.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_FOR_NOTHING)
