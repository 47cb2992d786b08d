"""Callers and a server on an in-memory network, in virtual time."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import (
    DropReason,
    Limits,
    LinkCaller,
    LinkCounters,
    LinkServer,
    Method,
    Peer,
    make_caller,
    make_link_server,
)
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.network import FakeFabric, Rule

KEY = b"k" * 32
SERVER_IP, CALLER_IP, OTHER_IP = "10.0.0.1", "10.0.0.2", "10.0.0.3"
ADDRESS = f"{SERVER_IP}:7001"


class Work(NamedTuple):
    name: str
    seconds: float = 0.0
    size: int = 0


class Done(NamedTuple):
    name: str
    data: bytes = b""


WORK = Method("test.work", Work, Done)
CANCELLABLE = Method("test.cancellable", Work, Done, is_cancellable=True)


class Pair:
    """A server whose handlers do the requested work, callers of it, and a record of the work."""

    def __init__(self, limits: Limits | None = None, rule: Rule | None = None) -> None:
        self.clock = VirtualClock()
        self.fabric = FakeFabric(self.clock, random.Random(5), rule)
        self.limits = limits or Limits()
        self.counters = LinkCounters()
        self.caller_counters = LinkCounters()
        self.started: list[str] = []
        self.finished: list[str] = []
        self.server = self.make_server()
        self.caller = self.make_caller(CALLER_IP, counters=self.caller_counters)

    def make_server(self) -> LinkServer:
        identity = Peer("server", "kranj", 1)
        network = self.fabric.network(SERVER_IP)
        server = make_link_server(
            network, self.clock, ADDRESS, KEY, identity, self.counters, self.limits
        )
        server.register(WORK, self._work)
        server.register(CANCELLABLE, self._work)
        return server

    def make_caller(
        self, ip: str, key: bytes = KEY, counters: LinkCounters | None = None
    ) -> LinkCaller:
        identity = Peer(f"host-{ip}", "kranj", 1)
        network = self.fabric.network(ip)
        return make_caller(
            network, self.clock, random.Random(ip), key, identity, counters, self.limits
        )

    async def work(self, work: Work, timeout: float = 1.0) -> Result[Done, Refusal]:
        return await self.caller.call(ADDRESS, WORK, work, timeout)

    def dropped(self) -> dict[DropReason, int]:
        return dict(self.counters.dropped_by_reason)

    async def _work(self, work: Work, peer: Peer) -> Result[Done, Refusal]:
        self.started.append(work.name)
        if work.name == "raise":
            raise LookupError("no such work")
        await self.clock.sleep(work.seconds)
        self.finished.append(work.name)
        return Ok(Done(work.name, bytes(work.size)))


def in_pair(
    test: Callable[[Pair], Awaitable[None]],
    limits: Limits | None = None,
    rule: Rule | None = None,
) -> None:
    """Run ``test`` with a pair whose server is started."""

    async def main() -> None:
        pair = Pair(limits, rule)
        await pair.server.start()
        try:
            await test(pair)
        finally:
            await pair.caller.close()
            await pair.server.close()

    run_virtual(main())
