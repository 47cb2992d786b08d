"""Server for the system's other processes, with one task for each connection."""

import asyncio
from typing import Any

from cranberrywall.links._counters import DropReason, LinkCounters
from cranberrywall.links._frames import BadFrameError
from cranberrywall.links._handshake import Handshake
from cranberrywall.links._interfaces import Handler, LinkServer, Method, Peer
from cranberrywall.links._limits import Limits
from cranberrywall.links._served import Registered, ServedConnection, ServerContext
from cranberrywall.observability import EventLimiter
from cranberrywall.runtime import Clock, Listener, Network, Reader, Timers, Writer


def make_link_server(
    network: Network,
    clock: Clock,
    address: str,
    key: bytes,
    identity: Peer,
    counters: LinkCounters | None = None,
    limits: Limits | None = None,
) -> LinkServer:
    """Return a server that listens at ``address`` after ``start``."""
    return _LinkServer(
        network, clock, address, key, identity, counters or LinkCounters(), limits or Limits()
    )


class _LinkServer:
    def __init__(
        self,
        network: Network,
        clock: Clock,
        address: str,
        key: bytes,
        identity: Peer,
        counters: LinkCounters,
        limits: Limits,
    ) -> None:
        self._network = network
        self._address = address
        self._counters = counters
        self._limits = limits
        self._timers = Timers(clock)
        self._handshake = Handshake(key, identity, limits.handshake_bytes, counters)
        self._shared = ServerContext(clock, self._timers, counters, limits)
        self._drops = EventLimiter(clock.now)
        self._listener: Listener | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._connections: set[ServedConnection] = set()
        self._unauthenticated_connections = 0

    @property
    def address(self) -> str:
        return self._address if self._listener is None else self._listener.address

    def register(self, method: Method[Any, Any], handler: Handler[Any, Any]) -> None:
        if method.name in self._shared.registered_by_name:
            raise ValueError(f"{method.name} already has a handler")
        self._shared.registered_by_name[method.name] = Registered(method, handler)

    async def start(self) -> None:
        self._listener = await self._network.listen(self._address, self._on_connect)

    async def close(self) -> None:
        if self._listener is not None:
            await self._listener.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._shared.cancel_calls()
        self._timers.close()

    def state(self) -> dict[str, Any]:
        return {
            "address": self.address,
            "strangers": self._unauthenticated_connections,
            "peers": [connection.state() for connection in self._connections],
            "counters": self._counters.state(),
        }

    async def _on_connect(self, reader: Reader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except BadFrameError as error:
            self._drop(error.reason)
        except OSError:
            # The connection was lost. No event is needed: the peer reconnects for its next calls.
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        peer = await self._authenticate(reader, writer)
        if peer is None:
            return
        connection = ServedConnection(peer, writer, self._shared)
        self._connections.add(connection)
        try:
            await connection.run(reader)
        finally:
            self._connections.discard(connection)

    async def _authenticate(self, reader: Reader, writer: Writer) -> Peer | None:
        # The number and duration of unauthenticated connections are limited, so that
        # unauthenticated peers cannot exhaust this process's memory or sockets.
        if self._unauthenticated_connections >= self._limits.strangers:
            self._drop(DropReason.TOO_MANY_STRANGERS)
            return None
        self._unauthenticated_connections += 1
        try:
            async with self._timers.limit(self._limits.handshake_timeout):
                return await self._handshake.as_server(reader, writer)
        except TimeoutError:
            self._drop(DropReason.HANDSHAKE_TIMEOUT)
            return None
        finally:
            self._unauthenticated_connections -= 1

    def _drop(self, reason: DropReason) -> None:
        self._counters.drop(reason)
        self._drops.log("WARNING", "connection_dropped", reason, listening=self.address)
