"""Run the spread on control and entry hosts in virtual time, over real links."""

import asyncio
import random
from typing import Any

from cranberrywall.configuration import (
    Follower,
    HostConfiguration,
    SpreadHost,
    SpreadTimes,
    make_configuration_machine,
    make_control_feed,
    make_document_peers,
    make_host_configuration,
)
from cranberrywall.links import LinkCaller, LinkServer, Peer, make_caller, make_link_server
from tests.configuration.documents import encode_change, make_document, whole_document_edits
from tests.fakes.clock import VirtualClock
from tests.fakes.network import FakeFabric, Rule
from tests.fakes.storage import FakeStorage

FLEET_KEY = b"k" * 32
REPLICATION_DELAY_S = 0.02


def make_fleet_document(entries: int, places: int = 2) -> Any:
    """Return a document that names ``entries`` entry hosts over ``places`` places."""
    document = make_document()
    document["places"] = {f"place-{number}": {"region": "r"} for number in range(places)}
    document["hosts"] = {
        host.host: {
            "place": host.place,
            "roles": ["entry"],
            "links": host.links,
            "http": host.links.replace(":7000", ":8000"),
            "disk": False,
        }
        for host in (entry_host(number, places) for number in range(entries))
    }
    return document


def entry_host(number: int, places: int = 2) -> SpreadHost:
    """Return where entry host ``number`` is."""
    address = f"10.1.{number // 250}.{number % 250 + 1}:7000"
    return SpreadHost(f"entry-{number}", f"place-{number % places}", address)


class ControlHost:
    """Hold one replica of the configuration's machine and its feed."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.me = SpreadHost(f"control-{number}", "place-0", f"10.0.0.{number + 1}:7000")
        self.machine = make_configuration_machine()
        self.is_cut_off = False
        self._links = _Links(fleet, self.me)
        peers = make_document_peers(self._document)
        self._feed = make_control_feed(
            self.me, self.machine, peers, self._links.caller, fleet.clock
        )
        self._feed.register(self._links.server)

    def _document(self) -> Any:
        found = self.machine.document_at()
        assert found is not None
        return found.document

    async def start(self) -> None:
        await self._links.server.start()
        self._task = asyncio.create_task(self._feed.run())

    async def stop(self) -> None:
        self._task.cancel()
        await self._links.close()


class EntryHost:
    """Hold one entry host's configuration; it can crash and start again.

    ``revisions`` lists what came in force in this holder, ``served`` what the host served
    by, over its restarts.
    """

    def __init__(self, fleet: "Fleet", me: SpreadHost, storage: FakeStorage | None) -> None:
        self.me = me
        self.storage = storage
        self.revisions: list[int] = []
        self.served: list[int] = []
        self.starts = 0
        self.configuration: HostConfiguration
        self.follower: Follower
        self._fleet = fleet

    async def start(self, peers: list[SpreadHost] | None = None) -> asyncio.Task[int]:
        """Start without waiting until it may serve; the task ends when it may."""
        fleet = self._fleet
        self.starts += 1
        self._links = _Links(fleet, self.me)
        self.configuration = make_host_configuration(self.storage)
        self.configuration.watch(self.revisions.append)
        document_peers = make_document_peers(lambda: self.configuration.document, peers or ())
        self.follower = fleet.follower_type(
            self.me,
            self.configuration,
            document_peers,
            lambda: [control.me.links for control in fleet.controls],
            self._links.caller,
            fleet.clock,
            fleet.random,
            fleet.times,
        )
        self.follower.register(self._links.server)
        await self._links.server.start()
        self.joined = asyncio.create_task(self._join_and_run())
        return self.joined

    async def _join_and_run(self) -> int:
        revision = await self.follower.join()
        self.served.append(revision)
        self.configuration.watch(self.served.append)
        self._task = asyncio.create_task(self.follower.run())
        return revision

    async def stop(self) -> None:
        if self.joined.done():
            self._task.cancel()
        self.joined.cancel()
        await self._links.close()
        if self.storage is not None:
            self.storage.restart()


class Fleet:
    """Hold three control hosts and some entry hosts."""

    def __init__(
        self,
        entries: int,
        seed: int = 1,
        places: int = 2,
        times: SpreadTimes | None = None,
        follower_type: type[Follower] = Follower,
    ) -> None:
        self.follower_type = follower_type
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.fabric = FakeFabric(self.clock, self.random, Rule(delay=0.001, jitter=0.002))
        self.times = times or SpreadTimes()
        self.controls = [ControlHost(self, number) for number in range(3)]
        self.entries = [
            EntryHost(self, entry_host(number, places), None) for number in range(entries)
        ]
        self.document = make_fleet_document(entries, places)
        self.revision = 0

    async def start(self) -> None:
        """Start all hosts, with the document as revision 1 in force on each."""
        for control in self.controls:
            await control.start()
        await self.commit(whole_document_edits(self.document))
        known = [entry.me for entry in self.entries]
        for entry in self.entries:
            await entry.start(known)
        await asyncio.gather(*(entry.joined for entry in self.entries))

    async def commit(self, edits: Any, operator: str = "ana") -> int:
        """Commit a change on the control hosts that are not cut off, one after another."""
        self.revision += 1
        command = encode_change(edits, self.revision - 1, f"change-{self.revision}", operator)
        for control in self.controls:
            if not control.is_cut_off:
                control.machine.apply(command)
                await self.clock.sleep(REPLICATION_DELAY_S)
        return self.revision

    async def until_everywhere(self, revision: int, limit: float) -> float:
        """Return how long it took until every entry host has ``revision``."""
        started_at = self.clock.now()
        while any(entry.configuration.revision < revision for entry in self.entries):
            assert self.clock.now() - started_at < limit, "not in force everywhere in time"
            await self.clock.sleep(0.005)
        return self.clock.now() - started_at

    async def stop(self) -> None:
        """Stop all hosts."""
        for control in self.controls:
            await control.stop()
        for entry in self.entries:
            await entry.stop()


class _Links:
    def __init__(self, fleet: Fleet, me: SpreadHost) -> None:
        identity = Peer(me.host, me.place, 1)
        network = fleet.fabric.network(me.links.partition(":")[0])
        self.caller: LinkCaller = make_caller(
            network, fleet.clock, fleet.random, FLEET_KEY, identity
        )
        self.server: LinkServer = make_link_server(
            network, fleet.clock, me.links, FLEET_KEY, identity
        )

    async def close(self) -> None:
        await self.caller.close()
        await self.server.close()
