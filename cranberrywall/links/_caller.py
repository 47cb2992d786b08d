"""Caller of other processes, with one connection and one task for each peer."""

from typing import Any

from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.links._counters import LinkCounters
from cranberrywall.links._handshake import Handshake
from cranberrywall.links._interfaces import LinkCaller, Method, Peer, ReplyT, RequestT
from cranberrywall.links._limits import Limits
from cranberrywall.links._peer_connection import PeerConnection
from cranberrywall.runtime import Clock, Network, Random, Timers

_MAX_CONNECTIONS_BEFORE_EVICTION = 4096


def make_caller(
    network: Network,
    clock: Clock,
    random: Random,
    key: bytes,
    identity: Peer,
    counters: LinkCounters | None = None,
    limits: Limits | None = None,
) -> LinkCaller:
    """Return a caller that connects to an address at the first call to it."""
    return _LinkCaller(
        network, clock, random, key, identity, counters or LinkCounters(), limits or Limits()
    )


class _LinkCaller:
    def __init__(
        self,
        network: Network,
        clock: Clock,
        random: Random,
        key: bytes,
        identity: Peer,
        counters: LinkCounters,
        limits: Limits,
    ) -> None:
        self._network = network
        self._clock = clock
        self._random = random
        self._counters = counters
        self._limits = limits
        self._timers = Timers(clock)
        self._handshake = Handshake(key, identity, limits.handshake_bytes, counters)
        self._connection_by_address: dict[str, PeerConnection] = {}

    async def call(
        self, address: str, method: Method[RequestT, ReplyT], request: RequestT, timeout: float
    ) -> Result[ReplyT, Refusal]:
        connection = self._connection_by_address.get(address) or self._make_connection(address)
        return await connection.call(method, request, self._clock.now() + timeout)

    async def close(self) -> None:
        for connection in list(self._connection_by_address.values()):
            await connection.close()
        self._timers.close()

    def state(self) -> dict[str, Any]:
        return {
            "peers": {
                address: connection.state()
                for address, connection in self._connection_by_address.items()
            },
            "counters": self._counters.state(),
        }

    def _make_connection(self, address: str) -> PeerConnection:
        if len(self._connection_by_address) > _MAX_CONNECTIONS_BEFORE_EVICTION:
            self._evict_idle()
        connection = PeerConnection(
            address,
            self._network,
            self._clock,
            self._random,
            self._timers,
            self._handshake,
            self._counters,
            self._limits,
        )
        self._connection_by_address[address] = connection
        return connection

    def _evict_idle(self) -> None:
        # Hosts join and leave; without eviction the addresses of all former hosts would be kept.
        idle = [
            address
            for address, connection in self._connection_by_address.items()
            if connection.is_idle
        ]
        for address in idle:
            del self._connection_by_address[address]
