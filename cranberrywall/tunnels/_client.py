"""Connections to targets through neighbours of this host."""

import asyncio
import errno
from functools import partial

from aiohttp.client_proto import ResponseHandler
from result import Err

from cranberrywall.hosts import HostView
from cranberrywall.links import Caller
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock
from cranberrywall.targets import ConnectionRequest, MakeProtocol, TargetIncarnation
from cranberrywall.tunnels._neighbours import Neighbours
from cranberrywall.tunnels._transport import TunnelEndpoint, TunnelTransport
from cranberrywall.tunnels.messages import CLOSE_TUNNEL, OPEN_TUNNEL, CloseTunnel, OpenTunnel

MAX_NEIGHBOURS = 3
"""Maximum number of neighbours that are asked for one connection."""

CONNECT_TIMEOUT_S = 0.1
"""Timeout of a neighbour's connection, in seconds: another neighbour may be faster."""

CALL_MARGIN_S = 0.1
"""Time that the call to a neighbour may take beyond its connection, in seconds."""


class TunnelClient:
    """Open connections to targets at the neighbours that can."""

    def __init__(self, caller: Caller, neighbours: Neighbours, clock: Clock) -> None:
        self._caller = caller
        self._neighbours = neighbours
        self._clock = clock

    async def connect(
        self, request: ConnectionRequest, make_protocol: MakeProtocol, reason: str
    ) -> ResponseHandler:
        """Return the protocol of a new connection, which is used for one request only.

        Raises ``OSError`` if no neighbour has a connection to the target.
        """
        refusals: list[str] = []
        target = request.target_incarnation.target
        for neighbour in self._neighbours.ranked(target, MAX_NEIGHBOURS, self._clock.now()):
            number = await self._open(request, neighbour.links, refusals)
            if number is None:
                self._neighbours.record_failed(neighbour.host, target, self._clock.now())
                continue
            self._neighbours.record_opened(neighbour.host, target, self._clock.now())
            log_event(
                "INFO",
                "connected_by_neighbour",
                request=request.request_id,
                target=target,
                neighbour=neighbour.host,
                tunnel=number,
                reason=reason,
            )
            return self._attach(make_protocol(), neighbour, number)
        reason = "; ".join(refusals) or "this host has no neighbour"
        raise OSError(errno.EHOSTUNREACH, reason)

    async def reaches(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a neighbour can connect to a target."""
        request = ConnectionRequest(incarnation, "", lambda: True)
        for neighbour in self._neighbours.ranked(
            incarnation.target, MAX_NEIGHBOURS, self._clock.now()
        ):
            number = await self._open(request, neighbour.links, [])
            if number is not None:
                call = CloseTunnel(number)
                await self._caller.call(neighbour.links, CLOSE_TUNNEL, call, CALL_MARGIN_S)
                return True
        return False

    def _attach(
        self, protocol: ResponseHandler, neighbour: HostView, number: int
    ) -> ResponseHandler:
        TunnelTransport(
            TunnelEndpoint(self._caller, neighbour.links, number),
            protocol,
            asyncio.get_running_loop(),
            partial(self._neighbours.record_closed, neighbour.host),
        )
        protocol.force_close()
        return protocol

    async def _open(
        self, request: ConnectionRequest, links: str, refusals: list[str]
    ) -> int | None:
        target, incarnation = request.target_incarnation
        call = OpenTunnel(target, incarnation, request.request_id, CONNECT_TIMEOUT_S)
        timeout = CONNECT_TIMEOUT_S + CALL_MARGIN_S
        reply = await self._caller.call(links, OPEN_TUNNEL, call, timeout)
        if isinstance(reply, Err):
            refusals.append(f"{links}: {reply.err_value}")
            return None
        return reply.ok_value.number
