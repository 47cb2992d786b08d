"""Run three hosts with replicated groups in this process, on real files and loopback."""

import asyncio
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import ExitStack, asynccontextmanager

from result import Ok

from cranberrywall.links import (
    LinkCaller,
    LinkCounters,
    LinkServer,
    Peer,
    make_caller,
    make_link_server,
)
from cranberrywall.replication import Replica, initial_members_of, make_group
from cranberrywall.runtime import Runtime, make_runtime

HOSTS = ("a", "b", "c")
_KEY = b"m" * 32
_LEADER_POLL_S = 0.05


class Counter:
    """Count commands: the cheapest state machine."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, command: bytes) -> bytes:
        """Count one command."""
        self.count += 1
        return b""

    def query(self, query: bytes) -> bytes:
        """Return the count."""
        return str(self.count).encode()

    def snapshot(self) -> bytes:
        """Return the count."""
        return str(self.count).encode()

    def restore(self, snapshot: bytes) -> None:
        """Take over a count."""
        self.count = int(snapshot)


class ControlHosts:
    """Hold the groups of each host, and count what the hosts send each other."""

    def __init__(self, folders: Sequence[str], groups: Sequence[str]) -> None:
        self._groups = groups
        self._runtimes = [make_runtime(folder, seed) for seed, folder in enumerate(folders)]
        self._counters = LinkCounters()
        self._replicas: list[Replica] = []
        self._links: list[LinkCaller | LinkServer] = []

    @property
    def bytes_sent(self) -> int:
        """Return the bytes that all hosts sent, in total."""
        return self._counters.bytes_out

    async def start(self) -> None:
        """Start all hosts."""
        servers = [
            await self._start_server(host, runtime)
            for host, runtime in zip(HOSTS, self._runtimes, strict=True)
        ]
        addresses = {host: server.address for host, server in zip(HOSTS, servers, strict=True)}
        for host, runtime, server in zip(HOSTS, self._runtimes, servers, strict=True):
            await self._start_groups(host, runtime, server, addresses)

    async def leader(self, group: str) -> Replica:
        """Wait for a group's leader."""
        while True:
            for replica in self._replicas:
                is_leader = replica.name == group and replica.is_leader
                if is_leader and isinstance(await replica.query(b"", 1.0), Ok):
                    return replica
            await asyncio.sleep(_LEADER_POLL_S)

    async def stop(self) -> None:
        """Stop all hosts."""
        for replica in self._replicas:
            await replica.stop()
        for link in self._links:
            await link.close()

    async def _start_server(self, host: str, runtime: Runtime) -> LinkServer:
        server = make_link_server(
            runtime.network,
            runtime.clock,
            "127.0.0.1:0",
            _KEY,
            Peer(host, "place", 1),
            self._counters,
        )
        await server.start()
        self._links.append(server)
        return server

    async def _start_groups(
        self, host: str, runtime: Runtime, server: LinkServer, addresses: dict[str, str]
    ) -> None:
        peer = Peer(host, "place", 1)
        caller = make_caller(
            runtime.network, runtime.clock, runtime.random, _KEY, peer, self._counters
        )
        self._links.append(caller)
        for group in self._groups:
            replica = make_group(
                group, initial_members_of(addresses, host), host, Counter(), runtime, caller, server
            )
            started = await replica.start()
            assert isinstance(started, Ok), started
            self._replicas.append(replica)


@asynccontextmanager
async def started_hosts(groups: Sequence[str]) -> AsyncIterator[ControlHosts]:
    """Run three hosts with ``groups`` in folders of their own, for the block."""
    with ExitStack() as folders:
        names = [folders.enter_context(tempfile.TemporaryDirectory()) for _ in HOSTS]
        hosts = ControlHosts(names, groups)
        await hosts.start()
        try:
            yield hosts
        finally:
            await hosts.stop()
