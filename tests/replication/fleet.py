"""Run a group on several hosts in one process, with faked time, network and disks."""

import asyncio
import json
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import LinkCaller, LinkServer, Peer, make_caller, make_link_server
from cranberrywall.replication import (
    GroupSettings,
    InitialMembers,
    Replica,
    StateMachine,
    initial_members_of,
    make_group,
)
from cranberrywall.runtime import Runtime
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.network import FakeFabric, Rule
from tests.fakes.storage import FakeStorage
from tests.naive.state_machine import NaiveJournal

T = TypeVar("T")

PORT = 7000
KEY = b"k" * 32
SMALL = GroupSettings(snapshot_bytes=1024, retained_entries=5, chunk_bytes=256)


class HostClock:
    """Give one host its own time: it may jump, and stand still as a stopped process does."""

    def __init__(self, clock: VirtualClock) -> None:
        self.jump = 0.0
        self.wall_jump = 0.0
        self._clock = clock
        self._runs = asyncio.Event()
        self._runs.set()

    def now(self) -> float:
        return self._clock.now() + self.jump

    def wall(self) -> float:
        return self._clock.wall() + self.wall_jump

    async def sleep(self, seconds: float) -> None:
        await self._clock.sleep(seconds)
        await self._runs.wait()

    def stand_still(self) -> None:
        self._runs.clear()

    def run_on(self) -> None:
        self._runs.set()


class StallingStorage(FakeStorage):
    """Do nothing while ``stalled``, as a disk that hangs without an error."""

    def __init__(self, random: random.Random) -> None:
        super().__init__(random)
        self.goes = asyncio.Event()
        self.goes.set()

    async def run_blocking(self, work: Callable[[], T]) -> T:
        await self.goes.wait()
        return await super().run_blocking(work)


class FleetHost:
    """Hold one host: its disk, which outlives restarts, and what runs on it."""

    def __init__(self, fleet: "Fleet", name: str, number: int) -> None:
        self.name = name
        self.ip = f"10.0.0.{number}"
        self.address = f"{self.ip}:{PORT}"
        self.storage = StallingStorage(fleet.random)
        self.clock = HostClock(fleet.clock)
        self.machine: Any = None
        self.group: Replica
        self.is_up = False
        self._fleet = fleet
        self._caller: LinkCaller
        self._server: LinkServer

    async def start(
        self, addresses: dict[str, str] | None = None, founders: InitialMembers | None = None
    ) -> Result[None, Refusal]:
        fleet = self._fleet
        network = fleet.fabric.network(self.ip)
        runtime = Runtime(self.clock, network, fleet.random, self.storage)
        peer = Peer(self.name, "place", 1)
        self._caller = make_caller(network, fleet.clock, fleet.random, KEY, peer)
        self._server = make_link_server(network, fleet.clock, self.address, KEY, peer)
        self.machine = fleet.make_machine()
        self.group = make_group(
            "ledger-0",
            founders or initial_members_of(addresses or fleet.addresses, self.name),
            self.name,
            self.machine,
            runtime,
            self._caller,
            self._server,
            fleet.settings,
        )
        started = await self.group.start()
        await self._server.start()
        self.is_up = True
        return started

    async def kill(self) -> None:
        """Lose power: what was not synced is lost."""
        self.storage.crash()
        self._fleet.fabric.crash(self.ip)
        await self._end()
        self.storage.restart()

    async def stop(self) -> None:
        """End the process in good order."""
        await self.group.hand_over()
        await self._end()

    async def restart(self) -> Result[None, Refusal]:
        await self.kill()
        return await self.start()

    async def wipe(self) -> Result[None, Refusal]:
        """Come back with an empty disk."""
        await self.kill()
        self.storage = StallingStorage(self._fleet.random)
        return await self.start()

    async def _end(self) -> None:
        if not self.is_up:
            return
        self.is_up = False
        self.storage.goes.set()
        await self.group.stop()
        await self._caller.close()
        await self._server.close()


class Fleet:
    """Hold the hosts, the network between them and the time."""

    def __init__(
        self,
        names: Sequence[str],
        seed: int,
        settings: GroupSettings,
        make_machine: Callable[[], StateMachine],
    ) -> None:
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.fabric = FakeFabric(self.clock, self.random, Rule(delay=0.001))
        self.settings = settings
        self.make_machine = make_machine
        self.by_name = {name: FleetHost(self, name, at) for at, name in enumerate(names, 1)}
        self.addresses = {host.name: host.address for host in self.by_name.values()}

    def __getitem__(self, name: str) -> FleetHost:
        return self.by_name[name]

    @property
    def up(self) -> list[FleetHost]:
        return [host for host in self.by_name.values() if host.is_up]

    def stranger(self) -> LinkCaller:
        """Return a caller on a host outside the group."""
        network = self.fabric.network("10.0.0.99")
        return make_caller(network, self.clock, self.random, KEY, Peer("stranger", "place", 1))

    def others(self, host: FleetHost) -> list[FleetHost]:
        """Return the other hosts that are up."""
        return [other for other in self.up if other is not host]

    def add_host(self, name: str) -> FleetHost:
        host = FleetHost(self, name, len(self.by_name) + 1)
        self.by_name[name] = host
        return host

    async def start(self) -> None:
        for name in self.addresses:
            assert isinstance(await self[name].start(), Ok)

    async def stop(self) -> None:
        for host in self.up:
            await host.kill()

    def cut_off(self, name: str) -> None:
        for other in self.by_name.values():
            if other.name != name:
                self.fabric.cut(self[name].ip, other.ip)

    def heal(self) -> None:
        for one in self.by_name.values():
            for other in self.by_name.values():
                if one is not other:
                    self.fabric.heal(one.ip, other.ip)

    async def until(self, holds: Callable[[], bool], seconds: float = 60.0) -> None:
        """Wait for a condition, in virtual time."""
        end = self.clock.now() + seconds
        while not holds():
            assert self.clock.now() < end, "what was waited for did not come"
            await asyncio.sleep(0.05)

    def leaders(self) -> list[FleetHost]:
        return [host for host in self.up if host.group.is_leader]

    async def leader(self) -> FleetHost:
        """Wait for a leader that commits."""
        found: list[FleetHost] = []

        async def commits() -> bool:
            for host in self.leaders():
                if isinstance(await host.group.query(b"", 3.0), Ok):
                    found.append(host)
                    return True
            return False

        end = self.clock.now() + 120.0
        while not await commits():
            assert self.clock.now() < end, "no leader came"
            await asyncio.sleep(0.05)
        return found[0]

    async def write(self, *words: str) -> None:
        """Commit words at whatever host leads."""
        for word in words:
            while not isinstance(await (await self.leader()).group.propose(word.encode(), 5.0), Ok):
                await asyncio.sleep(0.05)

    async def read(self) -> list[str]:
        """Read all words, linearizably."""
        answer = (await (await self.leader()).group.query(b"", 5.0)).unwrap()
        words: list[str] = json.loads(answer)
        return words


def run_fleet(
    test: Callable[[Fleet], Coroutine[Any, Any, None]],
    names: Sequence[str] = ("a", "b", "c"),
    seed: int = 1,
    settings: GroupSettings = SMALL,
) -> None:
    """Run ``test`` on started hosts, in virtual time."""

    async def main() -> None:
        fleet = Fleet(names, seed, settings, NaiveJournal)
        await fleet.start()
        try:
            await test(fleet)
        finally:
            await fleet.stop()

    run_virtual(main())
