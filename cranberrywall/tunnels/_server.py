"""Connections to targets that this host opens for its neighbours."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import urlsplit

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Peer, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock, reset_on_close
from cranberrywall.targets import Targets
from cranberrywall.tunnels._direct_paths import DirectPaths
from cranberrywall.tunnels.messages import (
    CLOSE_TUNNEL,
    OPEN_TUNNEL,
    READ_TUNNEL,
    WRITE_TUNNEL,
    CloseTunnel,
    OpenTunnel,
    ReadTunnel,
    TunnelClosed,
    TunnelData,
    TunnelEnd,
    TunnelOpened,
    TunnelWritten,
    WriteTunnel,
)

MAX_TUNNELS = 512
"""Maximum number of tunnels that this host carries at a time."""

CHUNK_BYTES = 64 * 1024
"""Maximum number of bytes in one message, and of unread bytes that a tunnel buffers."""

READ_WAIT_S = 0.5
"""A read without data is answered after this time, in seconds, so that its caller knows that this
host is alive."""

LEASE_S = 3.0
"""A tunnel whose user has sent no call for this time is closed, in seconds."""

IDLE_POLL_S = 0.05
"""Interval at which a stopping host checks whether tunnels are open, in seconds."""

_MAX_FIRST_NUMBER = 2**48

_HTTPS_PORT = 443
_HTTP_PORT = 80

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]

Dial = Callable[[str], Awaitable[Streams]]
"""Connect to a URL; raise ``OSError`` on failure."""


async def dial_url(url: str) -> Streams:
    """Connect to the host and port of a URL."""
    return await asyncio.open_connection(*_address_of(url), limit=CHUNK_BYTES)


class _Tunnel:
    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        owner: Peer,
        request_id: str,
        now: float,
    ) -> None:
        self.owner = owner
        self.reader = reader
        self.writer = writer
        self.request_id = request_id
        self.called_at = now
        self.sent_bytes = 0
        self.received_bytes = 0
        self.is_reading = False

    def close(self, *, is_reset: bool) -> None:
        if is_reset:
            # The target must not take a request that was cut off for one that is complete.
            reset_on_close(self.writer.get_extra_info("socket"))
            self.writer.transport.abort()
        else:
            self.writer.close()


class TunnelServer:
    """Connect to targets for neighbours that cannot, and forward the bytes of each connection.

    The neighbour admits, bills and repeats its requests. This host only replaces its connection,
    and never connects to a target through another host.
    """

    def __init__(
        self, targets: Targets, paths: DirectPaths, clock: Clock, dial: Dial = dial_url
    ) -> None:
        self._dial = dial
        self._targets = targets
        self._paths = paths
        self._clock = clock
        self._tunnel_by_number: dict[int, _Tunnel] = {}
        # Neighbours may go on to use the numbers of an earlier process of this host.
        self._last_number = secrets.randbelow(_MAX_FIRST_NUMBER)
        self._opening = 0
        self._opened = 0
        self._refused = 0
        self._is_stopping = False

    @property
    def running(self) -> int:
        """Return the number of tunnels that are open."""
        return len(self._tunnel_by_number) + self._opening

    def register(self, server: Server) -> None:
        """Register the handlers of the neighbours' calls."""
        server.register(OPEN_TUNNEL, self._open)
        server.register(READ_TUNNEL, self._read)
        server.register(WRITE_TUNNEL, self._write)
        server.register(CLOSE_TUNNEL, self._close)

    def expire(self, now: float) -> None:
        """Close the tunnels whose users are gone."""
        for number, tunnel in list(self._tunnel_by_number.items()):
            if not tunnel.is_reading and now - tunnel.called_at > LEASE_S:
                self._discard(number, "unused", is_reset=True)

    def start_draining(self) -> None:
        """Refuse new tunnels, so that neighbours open them at other hosts."""
        self._is_stopping = True

    async def finish(self, timeout_s: float | None) -> None:
        """Return once neighbours have closed all tunnels; cut those left after ``timeout_s``."""
        self.start_draining()
        try:
            async with asyncio.timeout(timeout_s):
                while self.running:
                    await self._clock.sleep(IDLE_POLL_S)
        except TimeoutError:
            log_event("WARNING", "tunnels_cut_by_stop", running=self.running)
        self.close()

    def close(self) -> None:
        """Close all tunnels."""
        for number in list(self._tunnel_by_number):
            self._discard(number, "host_stops", is_reset=True)

    def export(self, metrics: Metrics) -> None:
        """Register the metrics of the tunnels that this host carries for neighbours."""
        metrics.gauge_of(
            "tunnels_carried", "Connections to targets that neighbours use.", lambda: self.running
        )
        metrics.counters_of(
            "tunnel_calls",
            "Calls of neighbours to open a connection to a target, by outcome.",
            "outcome",
            lambda: {"opened": self._opened, "refused": self._refused},
        )

    def state(self) -> dict[str, Any]:
        """Return counts and tunnels for the state dump."""
        return {
            "opened": self._opened,
            "refused": self._refused,
            "requests": [tunnel.request_id for tunnel in self._tunnel_by_number.values()],
        }

    async def _open(self, call: OpenTunnel, peer: Peer) -> Result[TunnelOpened, Refusal]:
        opened = await self._connect(call, peer)
        if isinstance(opened, Err):
            self._refused += 1
            log_event(
                "INFO",
                "tunnel_refused",
                request=call.request_id,
                target=call.target,
                neighbour=peer.host,
                refusal=opened.err_value,
            )
            return opened
        self._last_number += 1
        self._opened += 1
        self._tunnel_by_number[self._last_number] = opened.ok_value
        log_event(
            "INFO",
            "tunnel_opened",
            request=call.request_id,
            target=call.target,
            neighbour=peer.host,
            tunnel=self._last_number,
        )
        return Ok(TunnelOpened(self._last_number))

    async def _connect(self, call: OpenTunnel, peer: Peer) -> Result[_Tunnel, Refusal]:
        if self._is_stopping:
            return Err(Refusal(ErrorKind.UNREACHABLE, "this host stops"))
        target = self._targets.by_id.get(call.target)
        if target is None or target.announcement.incarnation != call.incarnation:
            return Err(Refusal(ErrorKind.NOT_FOUND, "this host does not know the target", "target"))
        if not self._paths.can_connect(call.target, self._clock.now()):
            return Err(Refusal(ErrorKind.UNREACHABLE, "this host cannot connect to the target"))
        if self.running >= MAX_TUNNELS:
            return Err(Refusal(ErrorKind.OVERLOADED, f"this host carries {MAX_TUNNELS} tunnels"))
        self._opening += 1
        try:
            async with asyncio.timeout(call.timeout):
                streams = await self._dial(target.announcement.url)
        except TimeoutError:
            self._paths.record_failed(call.target, self._clock.now())
            return Err(Refusal(ErrorKind.TIMEOUT, f"no connection in {call.timeout:g} s"))
        except OSError as error:
            self._paths.record_failed(call.target, self._clock.now())
            return Err(Refusal(ErrorKind.TARGET_FAILED, str(error)))
        finally:
            self._opening -= 1
        now = self._clock.now()
        self._paths.record_connected(call.target, now)
        return Ok(_Tunnel(*streams, peer, call.request_id, now))

    async def _read(self, call: ReadTunnel, peer: Peer) -> Result[TunnelData, Refusal]:
        tunnel = self._find(call.number, peer)
        if tunnel is None:
            return Err(_NO_TUNNEL)
        tunnel.is_reading = True
        limit = asyncio.timeout(READ_WAIT_S)
        try:
            async with limit:
                data = await tunnel.reader.read(CHUNK_BYTES)
        except OSError:
            # A connection that TCP gave up raises TimeoutError, too.
            if limit.expired():
                return Ok(TunnelData(b""))
            self._discard(call.number, "reset_by_target", is_reset=True)
            return Ok(TunnelData(b"", TunnelEnd.RESET))
        except asyncio.CancelledError:
            # The neighbour closed its end or is gone, so what the target does is of no more use.
            self._discard(call.number, "abandoned", is_reset=True)
            raise
        finally:
            tunnel.is_reading = False
            tunnel.called_at = self._clock.now()
        if not data and self._tunnel_by_number.get(call.number) is not tunnel:
            # This host closed the tunnel, which also ends the read, but not what the target sends.
            return Err(_NO_TUNNEL)
        if not data:
            self._discard(call.number, "closed_by_target", is_reset=False)
            return Ok(TunnelData(b"", TunnelEnd.CLOSED))
        tunnel.received_bytes += len(data)
        self._paths.record_received(tunnel.called_at)
        return Ok(TunnelData(data))

    async def _write(self, call: WriteTunnel, peer: Peer) -> Result[TunnelWritten, Refusal]:
        tunnel = self._find(call.number, peer)
        if tunnel is None:
            return Err(_NO_TUNNEL)
        try:
            tunnel.writer.write(call.data)
            await tunnel.writer.drain()
        except OSError as error:
            return Err(Refusal(ErrorKind.UNREACHABLE, str(error)))
        tunnel.sent_bytes += len(call.data)
        return Ok(TunnelWritten())

    async def _close(self, call: CloseTunnel, peer: Peer) -> Result[TunnelClosed, Refusal]:
        if self._find(call.number, peer) is not None:
            self._discard(call.number, "closed", is_reset=False)
        return Ok(TunnelClosed())

    def _find(self, number: int, peer: Peer) -> _Tunnel | None:
        tunnel = self._tunnel_by_number.get(number)
        if tunnel is None or tunnel.owner != peer:
            return None
        tunnel.called_at = self._clock.now()
        return tunnel

    def _discard(self, number: int, reason: str, *, is_reset: bool) -> None:
        tunnel = self._tunnel_by_number.pop(number, None)
        if tunnel is None:
            return
        tunnel.close(is_reset=is_reset)
        log_event(
            "INFO",
            "tunnel_closed",
            request=tunnel.request_id,
            tunnel=number,
            reason=reason,
            sent_bytes=tunnel.sent_bytes,
            received_bytes=tunnel.received_bytes,
        )


_NO_TUNNEL = Refusal(ErrorKind.NOT_FOUND, "the tunnel is closed", "number")


def _address_of(url: str) -> tuple[str, int]:
    parts = urlsplit(url)
    default_port = _HTTPS_PORT if parts.scheme == "https" else _HTTP_PORT
    return parts.hostname or "", parts.port or default_port
