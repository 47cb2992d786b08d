"""TCP implementation of the network interface, with optional TLS."""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable

from cranberrywall.runtime._connecting import connect
from cranberrywall.runtime._interfaces import (
    Listener,
    Network,
    OnConnect,
    Reader,
    StreamContexts,
    Writer,
)
from cranberrywall.runtime._resetting import reset_on_close

_KEEPALIVE_IDLE_S = 30
_KEEPALIVE_INTERVAL_S = 10
# Number of unanswered keepalive probes after which TCP closes the connection.
_KEEPALIVE_PROBES = 3
_CLOSE_FLUSH_TIMEOUT_S = 1.0
_TLS_HANDSHAKE_TIMEOUT_S = 3.0

_Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def make_network(contexts: StreamContexts | None = None) -> Network:
    """Return a TCP network; all its connections use TLS if ``contexts`` is given."""
    return _TcpNetwork(contexts)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port number.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class _TcpNetwork:
    def __init__(self, contexts: StreamContexts | None) -> None:
        self._contexts = contexts

    async def dial(self, address: str, timeout: float) -> tuple[Reader, Writer]:
        host, port = split_address(address)
        async with asyncio.timeout(timeout):
            connection = await connect(host, port)
            try:
                reader, writer = await self._open(connection, host)
            except BaseException:
                connection.close()
                raise
        return reader, _TcpWriter(writer)

    async def _open(
        self, connection: socket.socket, host: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._contexts is None:
            return await asyncio.open_connection(sock=connection)
        context = self._contexts.client()
        return await asyncio.open_connection(sock=connection, ssl=context, server_hostname=host)

    async def listen(self, address: str, on_connect: OnConnect) -> Listener:
        host, port = split_address(address)

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            tcp_writer = _TcpWriter(writer)
            try:
                await on_connect(reader, tcp_writer)
            except asyncio.CancelledError:
                # The owner of the listener cancels these tasks to end its connections.
                # Without this handler asyncio reports each cancelled task as an error.
                pass
            finally:
                tcp_writer.close()

        return _TcpListener(await self._start_server(accept, host, port))

    async def _start_server(self, accept: _Accept, host: str, port: int) -> asyncio.Server:
        if self._contexts is None:
            return await asyncio.start_server(accept, host, port)
        # An unauthenticated peer that does not complete the TLS handshake is disconnected
        # after the same time as one that does not authenticate itself.
        return await asyncio.start_server(
            accept,
            host,
            port,
            ssl=self._contexts.server(),
            ssl_handshake_timeout=_TLS_HANDSHAKE_TIMEOUT_S,
        )


class _TcpWriter:
    def __init__(self, writer: asyncio.StreamWriter) -> None:
        _set_options(writer)
        self._writer = writer
        self.write = writer.write
        self.drain = writer.drain

    def peer_hosts(self) -> frozenset[str] | None:
        connection: ssl.SSLObject | None = self._writer.get_extra_info("ssl_object")
        if connection is None:
            return None
        names = (connection.getpeercert() or {}).get("subjectAltName", ())
        return frozenset(str(name[1]) for name in names if name[0] == "DNS")

    def close(self) -> None:
        if self._writer.is_closing():
            return
        self._writer.close()
        # The transport closes only after the peer has received the queued bytes. A peer that
        # has stopped reading never receives them, so the connection is aborted after a timeout.
        loop = asyncio.get_running_loop()
        loop.call_later(_CLOSE_FLUSH_TIMEOUT_S, self._writer.transport.abort)

    def abort(self) -> None:
        if self._writer.is_closing():
            return
        reset_on_close(self._writer.get_extra_info("socket"))
        self._writer.transport.abort()


class _TcpListener:
    def __init__(self, server: asyncio.Server) -> None:
        self._server = server
        host, port = server.sockets[0].getsockname()[:2]
        self._address = f"{host}:{port}"

    @property
    def address(self) -> str:
        return self._address

    async def close(self) -> None:
        self._server.close()


def _set_options(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    # Without TCP_NODELAY a small frame waits until the previous one is acknowledged.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # If a peer disappears without closing its connection, the connection would stay open
    # forever on this host. Keepalive closes it within about a minute.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
