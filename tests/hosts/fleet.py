"""A small fleet for tests of membership, on an in-memory network and in virtual time."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import Any

from cranberrywall.hosts import HostState, Item, LiveMembership, MembershipTimings, make_membership
from cranberrywall.hosts._entries import Entry, HostRecord, HostVersion
from cranberrywall.links import LinkCaller, LinkServer, Peer, make_caller, make_link_server
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.network import FakeFabric, Rule

KEY = b"k" * 32
PORT = 7001
SMALL_FLEET = {"ljubljana-a": 2, "ljubljana-b": 2, "kranj": 2, "domzale": 1}
"""Places of an existing deployment, with their numbers of entry hosts."""


class Host:
    """One host of the fleet, with its membership, server and caller."""

    def __init__(self, name: str, place: str, ip: str) -> None:
        self.name = name
        self.place = place
        self.ip = ip
        self.links = f"{ip}:{PORT}"
        self.incarnation = 0
        self.membership: LiveMembership
        self.server: LinkServer
        self.caller: LinkCaller

    def initial_item(self) -> Item:
        """Return the item that the host publishes in its first incarnation."""
        record = HostRecord(self.place, self.links, f"{self.ip}:80")
        return Entry(self.name, record, HostVersion(1, 0, 1, 0)).to_item()


class Fleet:
    """Starts, crashes and partitions hosts, and reads their views of each other."""

    def __init__(
        self,
        sizes: dict[str, int],
        rule: Rule | None = None,
        timings: MembershipTimings | None = None,
    ) -> None:
        self.clock = VirtualClock()
        self.fabric = FakeFabric(self.clock, random.Random(3), rule)
        self.timings = timings or MembershipTimings()
        self.host_by_name: dict[str, Host] = {}
        for number, (place, size) in enumerate(sizes.items(), start=1):
            for index in range(1, size + 1):
                name = f"{place}-{index}"
                ip = f"10.{number}.{index // 200}.{index % 200}"
                self.host_by_name[name] = Host(name, place, ip)
        # A few hosts of each place, as in the settings of a real fleet.
        self.seeds = [host.links for host in self if int(host.name.rpartition("-")[2]) <= 2]

    def __iter__(self) -> Iterator[Host]:
        return iter(self.host_by_name.values())

    def __getitem__(self, name: str) -> Host:
        return self.host_by_name[name]

    async def start_all(self) -> None:
        """Start all hosts at the same time."""
        await asyncio.gather(*map(self.start, self.host_by_name.values()))

    async def start_warm(self) -> None:
        """Start all hosts so that each has the entries of all others from the beginning."""
        self.seeds = []
        items = [host.initial_item() for host in self]
        for host in self:
            await self.start(host)
            membership: Any = host.membership
            for item in items:
                membership._table.put(item, self.clock.now())
                membership._roster.apply(item, self.clock.now())

    async def start(self, host: Host, incarnation: int | None = None) -> None:
        host.incarnation = incarnation or host.incarnation + 1
        identity = Peer(host.name, host.place, host.incarnation)
        network = self.fabric.network(host.ip)
        host.server = make_link_server(network, self.clock, host.links, KEY, identity)
        host.caller = make_caller(network, self.clock, random.Random(host.name), KEY, identity)
        host.membership = make_membership(
            identity, host.links, f"{host.ip}:80", self.seeds, host.server, host.caller,
            self.clock, random.Random(f"{host.name} {host.incarnation}"), self.timings,
        )  # fmt: skip
        await host.server.start()
        await host.membership.start()

    async def crash(self, host: Host) -> None:
        """End the process without notice; its connections are reset."""
        self.fabric.crash(host.ip)
        await host.membership.close()
        await host.caller.close()
        await host.server.close()

    async def stop_all(self) -> None:
        for host in self.host_by_name.values():
            await self.crash(host)

    def partition(self, some: Iterable[Host], others: Iterable[Host]) -> None:
        others = list(others)
        for one in some:
            for other in others:
                self.fabric.cut(one.ip, other.ip)

    def heal(self, some: Iterable[Host], others: Iterable[Host]) -> None:
        others = list(others)
        for one in some:
            for other in others:
                self.fabric.heal(one.ip, other.ip)

    def of_place(self, place: str) -> list[Host]:
        return [host for host in self.host_by_name.values() if host.place == place]

    def outside(self, place: str) -> list[Host]:
        return [host for host in self.host_by_name.values() if host.place != place]

    def states_of(self, name: str, seen_by: Iterable[Host]) -> set[HostState | None]:
        """Return the states in which the hosts ``seen_by`` see one host."""
        views = [host.membership.by_host(name) for host in seen_by]
        return {view.state if view else None for view in views}

    def all_alive(self, seen_by: Iterable[Host] | None = None) -> bool:
        expected = set(self.host_by_name)
        return all(
            {view.host for view in host.membership.alive()} == expected
            for host in seen_by or self.host_by_name.values()
        )


def hosts_except(fleet: Fleet, *names: str) -> list[Host]:
    """Return the hosts of ``fleet`` other than ``names``."""
    return [host for host in fleet if host.name not in names]


def in_fleet(
    sizes: dict[str, int],
    test: Callable[[Fleet], Awaitable[None]],
    rule: Rule | None = None,
    timings: MembershipTimings | None = None,
    join_s: float = 5.0,
) -> None:
    """Run ``test`` in a fleet whose hosts all see each other alive."""

    async def main() -> None:
        fleet = Fleet(sizes, rule or Rule(delay=0.001), timings)
        await fleet.start_all()
        await fleet.clock.sleep(join_s)
        assert fleet.all_alive()
        await test(fleet)
        await fleet.stop_all()

    run_virtual(main())
