"""Connections to targets through neighbours of this host."""

import asyncio
import errno
from collections.abc import Coroutine
from functools import partial
from typing import Any

from aiohttp.client_proto import ResponseHandler
from result import Err, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import HostView
from cranberrywall.links import Caller
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock
from cranberrywall.targets import ConnectionRequest, MakeProtocol, TargetIncarnation
from cranberrywall.tunnels._neighbours import Neighbours
from cranberrywall.tunnels._transport import TunnelEndpoint, TunnelTransport
from cranberrywall.tunnels.messages import (
    CLOSE_TUNNEL,
    OPEN_TUNNEL,
    CloseTunnel,
    OpenTunnel,
    TunnelOpened,
)

MAX_ASKED = 12
"""Maximum number of neighbours that are asked for one connection."""

STAGGER_S = 0.03
"""Time after which another neighbour is asked as well, in seconds."""

MAX_ATTEMPTS = 3
"""Maximum number of neighbours that try to connect: others refuse at once."""

CONNECT_TIMEOUT_S = 0.1
"""Timeout of a neighbour's connection, in seconds: another neighbour may be faster."""

CALL_MARGIN_S = 0.1
"""Time that the call to a neighbour may take beyond its connection, in seconds."""


class TargetUnreachableError(OSError):
    """Raised if neighbours tried to connect to a target and failed as well."""


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

        Raises ``OSError`` if no neighbour has a connection to the target,
        ``TargetUnreachableError`` if the target is the cause.
        """
        neighbour, number = await self._open(request)
        log_event(
            "INFO",
            "connected_by_neighbour",
            request=request.request_id,
            target=request.target_incarnation.target,
            neighbour=neighbour.host,
            tunnel=number,
            reason=reason,
        )
        return self._attach(make_protocol(), neighbour, number)

    async def reaches(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a neighbour can connect to a target."""
        try:
            neighbour, number = await self._open(ConnectionRequest(incarnation, "", lambda: True))
        except OSError:
            return False
        self._neighbours.record_closed(neighbour.host)
        call = CloseTunnel(number)
        await self._caller.call(neighbour.links, CLOSE_TUNNEL, call, CALL_MARGIN_S)
        return True

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

    async def _open(self, request: ConnectionRequest) -> tuple[HostView, int]:
        """Return the neighbour that connected to the target, and its number of the tunnel."""
        target, incarnation = request.target_incarnation
        call = OpenTunnel(target, incarnation, request.request_id, CONNECT_TIMEOUT_S)
        timeout = CONNECT_TIMEOUT_S + CALL_MARGIN_S
        opened: tuple[HostView, int] | None = None
        race = _Race(self._clock, self._neighbours, target)
        try:
            for neighbour in self._neighbours.ranked(target, MAX_ASKED, self._clock.now()):
                race.start(
                    neighbour, self._caller.call(neighbour.links, OPEN_TUNNEL, call, timeout)
                )
                opened = await race.wait(STAGGER_S)
                if opened is not None or race.attempts >= MAX_ATTEMPTS:
                    break
            while opened is None and race.is_running:
                opened = await race.wait(None)
        finally:
            race.close()
        if opened is not None:
            return opened
        error = TargetUnreachableError if race.attempts else OSError
        raise error(errno.EHOSTUNREACH, "; ".join(race.refusals) or "this host has no neighbour")


class _Race:
    """Calls to several neighbours for one connection, of which the first that succeeds is used.

    ``attempts`` is the number of neighbours that tried to connect in vain.
    """

    def __init__(self, clock: Clock, neighbours: Neighbours, target: str) -> None:
        self.attempts = 0
        self.refusals: list[str] = []
        self._clock = clock
        self._neighbours = neighbours
        self._target = target
        self._neighbour_by_call: dict[asyncio.Task[Result[TunnelOpened, Refusal]], HostView] = {}

    @property
    def is_running(self) -> bool:
        """Return whether any call has no answer yet."""
        return bool(self._neighbour_by_call)

    def start(
        self, neighbour: HostView, call: Coroutine[Any, Any, Result[TunnelOpened, Refusal]]
    ) -> None:
        """Start a call to a neighbour."""
        task = asyncio.get_running_loop().create_task(call)
        self._neighbour_by_call[task] = neighbour

    async def wait(self, timeout: float | None) -> tuple[HostView, int] | None:
        """Wait for one answer; return the neighbour and the number of its tunnel if there is one.

        ``timeout`` is in seconds.
        """
        done, _ = await asyncio.wait(
            self._neighbour_by_call, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        opened = None
        for task in done:
            neighbour, now = self._neighbour_by_call.pop(task), self._clock.now()
            reply = task.result()
            if isinstance(reply, Err):
                self._record_failed(neighbour, reply.err_value, now)
            elif opened is None:
                self._neighbours.record_opened(neighbour.host, self._target, now)
                opened = neighbour, reply.ok_value.number
        return opened

    def close(self) -> None:
        """Cancel the calls without an answer; their neighbours close what they opened."""
        for task in self._neighbour_by_call:
            task.cancel()

    def _record_failed(self, neighbour: HostView, refusal: Refusal, now: float) -> None:
        self.refusals.append(f"{neighbour.host}: {refusal}")
        self._neighbours.record_failed(neighbour.host, self._target, refusal.kind, now)
        self.attempts += refusal.kind is not ErrorKind.UNREACHABLE
