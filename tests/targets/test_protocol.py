"""Connections to targets, over TCP."""

import asyncio
import socket
from collections.abc import Callable

import pytest
import uvloop

from cranberrywall.targets._protocol import TargetProtocol

SENT_BYTES = 32_000_000
"""More than the buffers of a connection hold."""

INVALID_HEAD = b"HTTP/1.1 000 None\r\n\r\n"


def receive_all(connection: socket.socket) -> int:
    """Return the number of bytes until the connection is closed; raise if it is reset."""
    connection.setblocking(True)
    connection.settimeout(5.0)
    received = 0
    while data := connection.recv(1 << 20):
        received += len(data)
    return received


def abort_by_caller(protocol: TargetProtocol) -> None:
    protocol.abort()


def abort_by_status(protocol: TargetProtocol) -> None:
    protocol.set_response_params(timer=None, read_until_eof=True)
    protocol.data_received(INVALID_HEAD)


@pytest.mark.parametrize(
    "make_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"]
)
@pytest.mark.parametrize("abort", [abort_by_caller, abort_by_status])
def test_a_target_receives_nothing_more_of_a_request_that_was_given_up(
    make_loop: Callable[[], asyncio.AbstractEventLoop], abort: Callable[[TargetProtocol], None]
) -> None:
    """Guards against a request that runs at a target seconds after it was sent to another one."""

    async def main(listener: socket.socket) -> socket.socket:
        loop = asyncio.get_running_loop()
        transport, protocol = await loop.create_connection(
            lambda: TargetProtocol(loop, limits_head=False), *listener.getsockname()
        )
        accepted, _ = await asyncio.to_thread(listener.accept)
        transport.write(bytes(SENT_BYTES))
        await asyncio.sleep(0.1)
        abort(protocol)
        await asyncio.sleep(0.1)
        return accepted

    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        asyncio.Runner(loop_factory=make_loop) as runner,
        runner.run(main(listener)) as target,
        pytest.raises(ConnectionResetError),
    ):
        receive_all(target)
