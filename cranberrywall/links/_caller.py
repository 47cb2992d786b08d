"""Call other processes: one task for each peer."""

from typing import Any

from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.links._counters import LinkCounters
from cranberrywall.links._handshake import Handshake
from cranberrywall.links._interfaces import LinkCaller, Method, Peer, ReplyT, RequestT
from cranberrywall.links._limits import Limits
from cranberrywall.links._outlet import Outlet
from cranberrywall.runtime import Clock, Network, Random, Timers

_PRUNE_ABOVE = 4096


def make_caller(
    network: Network,
    clock: Clock,
    random: Random,
    key: bytes,
    identity: Peer,
    counters: LinkCounters | None = None,
    limits: Limits | None = None,
) -> LinkCaller:
    """Return a caller that connects to each address when it is first called."""
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
        self._outlet_by_address: dict[str, Outlet] = {}

    async def call(
        self, address: str, method: Method[RequestT, ReplyT], request: RequestT, timeout: float
    ) -> Result[ReplyT, Refusal]:
        outlet = self._outlet_by_address.get(address) or self._make_outlet(address)
        return await outlet.call(method, request, self._clock.now() + timeout)

    async def close(self) -> None:
        for outlet in list(self._outlet_by_address.values()):
            await outlet.close()
        self._timers.close()

    def state(self) -> dict[str, Any]:
        return {
            "peers": {
                address: outlet.state() for address, outlet in self._outlet_by_address.items()
            },
            "counters": self._counters.state(),
        }

    def _make_outlet(self, address: str) -> Outlet:
        if len(self._outlet_by_address) > _PRUNE_ABOVE:
            self._forget_idle()
        outlet = Outlet(
            address,
            self._network,
            self._clock,
            self._random,
            self._timers,
            self._handshake,
            self._counters,
            self._limits,
        )
        self._outlet_by_address[address] = outlet
        return outlet

    def _forget_idle(self) -> None:
        # Hosts come and go; without this the addresses of all that ever were would stay.
        idle = [address for address, outlet in self._outlet_by_address.items() if outlet.is_idle]
        for address in idle:
            del self._outlet_by_address[address]
