"""Connections to targets that are checked again before the first byte is sent."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from functools import partial
from typing import Any, Protocol
from weakref import WeakSet

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from cranberrywall.runtime import Clock
from cranberrywall.targets._protocol import TargetProtocol
from cranberrywall.targets.messages import TargetIncarnation

IsOffered = Callable[[], bool]
ConnectDirectly = Callable[[], Awaitable[ResponseHandler]]
MakeProtocol = Callable[[], ResponseHandler]


class ConnectionRequest:
    """Request that a connection is set up for.

    ``is_offered`` is called once the connection is established, just before the first byte is sent.
    If it returns false, the connection is closed. ``may_be_sent`` is false until then.
    ``may_repeat`` is true if the request may be sent again after its connection broke.
    ``only_target_ends`` is true if nothing else is known to end the connection early: it leads
    through no neighbour, and this host has not aborted it.
    """

    def __init__(
        self,
        target_incarnation: TargetIncarnation,
        request_id: str,
        is_offered: IsOffered,
        may_repeat: bool = False,
    ) -> None:
        self.may_repeat = may_repeat
        self.target_incarnation = target_incarnation
        self.request_id = request_id
        self.is_offered = is_offered
        self.may_be_sent = False
        self.only_target_ends = False


class TargetPaths(Protocol):
    """Paths from this host to the targets, directly and through its neighbours."""

    async def connect(
        self,
        request: ConnectionRequest,
        connect_directly: ConnectDirectly,
        make_protocol: MakeProtocol,
    ) -> ResponseHandler:
        """Return the protocol of a new connection to the target.

        Raises ``OSError`` or ``aiohttp.ClientError`` if there is none on any path.
        """
        ...

    def may_reuse_connection(self, target: str, now: float) -> bool:
        """Return whether an idle direct connection may be used for another request."""
        ...

    def record_received(self, now: float) -> None:
        """Record that a target sent something on a direct connection."""
        ...

    def record_unanswered(self, target: str, waited_s: float, now: float) -> None:
        """Record that a direct connection with a request broke before the target sent anything.

        It was established ``waited_s`` seconds ago.
        """
        ...

    def is_unresponsive(self, target: str, received_at: float, now: float) -> bool:
        """Return whether a direct connection is lost on which nothing arrived since a time."""
        ...


_request: ContextVar[ConnectionRequest | None] = ContextVar("connection_request", default=None)


class TargetWithdrawnError(Exception):
    """Raised if the target was withdrawn during connection setup; no byte was sent."""


@contextmanager
def connecting_for(request: ConnectionRequest) -> Iterator[None]:
    """Set up connections in this task for ``request``.

    If the target is withdrawn meanwhile, ``TargetWithdrawnError`` is raised.
    """
    token = _request.set(request)
    try:
        yield
    finally:
        _request.reset(token)


def _make_protocol(loop: Any) -> TargetProtocol:
    """Return the protocol of a new connection for the request of this task."""
    request = _request.get()
    return TargetProtocol(loop, limits_head=request is not None and request.may_repeat)


class _DirectProtocol(TargetProtocol):
    """Protocol of a direct connection that records when data arrives."""

    def __init__(self, paths: TargetPaths, clock: Clock, loop: Any) -> None:
        request = _request.get()
        super().__init__(loop, limits_head=request is not None and request.may_repeat)
        self._paths = paths
        self._clock = clock
        self.received_at = clock.now()
        self.target = request.target_incarnation.target if request is not None else ""
        self._request = request
        self.current_request = request
        self._has_received = False
        self._has_ended = False

    def data_received(self, data: bytes) -> None:
        self._has_received = True
        self.received_at = self._clock.now()
        self._paths.record_received(self.received_at)
        super().data_received(data)

    def eof_received(self) -> None:
        self._has_ended = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        is_broken = exc is not None or self._has_ended
        was_sent = self._request is not None and self._request.may_be_sent
        if is_broken and was_sent and not self._has_received:
            now = self._clock.now()
            self._paths.record_unanswered(self.target, now - self.received_at, now)
        super().connection_lost(exc)


class TargetConnector(aiohttp.TCPConnector):
    """Connector that returns connections only to targets that are still offered.

    A request is assigned to a target before it has a connection, and connection setup may take over
    half a second. If the target announces during this time that it leaves, the request must not be
    sent to it: the target may stop before it has answered.

    With ``paths``, new connections without TLS may lead through a neighbour of this host. Such
    connections are used for one request only.
    """

    def __init__(
        self, *, paths: TargetPaths | None = None, clock: Clock | None = None, **options: Any
    ) -> None:
        super().__init__(**options)
        self._paths = paths if clock is not None else None
        self._clock = clock
        self._used_protocols: WeakSet[ResponseHandler] = WeakSet()
        make_protocol: Any = partial(_make_protocol, self._loop)
        if paths is not None and clock is not None:
            make_protocol = partial(_DirectProtocol, paths, clock, self._loop)
        self._factory = make_protocol

    async def connect(self, *args: Any, **keywords: Any) -> Connection:
        """Return a connection; close it and raise if the target was withdrawn meanwhile."""
        connection = await super().connect(*args, **keywords)
        while not self._may_use(connection):
            connection.close()
            connection = await super().connect(*args, **keywords)
        request = _request.get()
        if request is not None:
            if not request.is_offered():
                connection.close()
                raise TargetWithdrawnError("the target was withdrawn during connection setup")
            request.may_be_sent = True
            self._record_request(connection.protocol, request)
        return connection

    def _record_request(self, protocol: ResponseHandler | None, request: ConnectionRequest) -> None:
        if isinstance(protocol, _DirectProtocol):
            protocol.current_request = request
        request.only_target_ends = self._paths is None or isinstance(protocol, _DirectProtocol)

    def abort_unresponsive(self, now: float) -> None:
        """Abort the direct connections that are lost although nothing has closed them."""
        for protocol in list(self._used_protocols):
            if self._is_unresponsive(protocol, now):
                if isinstance(protocol, _DirectProtocol) and protocol.current_request is not None:
                    protocol.current_request.only_target_ends = False
                protocol.abort()

    def _is_unresponsive(self, protocol: ResponseHandler, now: float) -> bool:
        if self._paths is None or not isinstance(protocol, _DirectProtocol):
            return False
        return self._paths.is_unresponsive(protocol.target, protocol.received_at, now)

    def _may_use(self, connection: Connection) -> bool:
        """Return whether a connection is new, or may be used for another request."""
        protocol = connection.protocol
        if self._paths is None or self._clock is None or protocol is None:
            return True
        if protocol in self._used_protocols and isinstance(protocol, _DirectProtocol):
            return self._paths.may_reuse_connection(protocol.target, self._clock.now())
        self._used_protocols.add(protocol)
        return True

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: Any, timeout: Any
    ) -> ResponseHandler:
        connect_directly = partial(super()._create_connection, req, traces, timeout)
        request = _request.get()
        if self._paths is None or request is None or req.is_ssl():
            return await connect_directly()
        make_protocol = partial(_make_protocol, self._loop)
        try:
            return await self._paths.connect(request, connect_directly, make_protocol)
        except aiohttp.ClientError:
            raise
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
