"""Run what carries confirmed changes on control and entry hosts, in virtual time.

The hosts' own parts are real: streams, enrolment, membership, the spread of the configuration and
of targets. In place of the replicated log, each control host applies a change a little after the
first one did.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from cranberrywall.commands._control_ties import ControlConnections
from cranberrywall.commands._entry_ties import HostConnections
from cranberrywall.configuration import (
    CONFIGURATION_CODEC,
    SpreadHost,
    make_configuration_machine,
    make_control_feed,
    make_host_configuration,
)
from cranberrywall.configuration.messages import OrderEvacuation, PublishNumbered
from cranberrywall.links import LinkCaller, LinkServer, Peer, make_caller, make_link_server
from cranberrywall.routing import make_announcement_gossip
from cranberrywall.runtime import Runtime
from cranberrywall.settings import FleetKeys, Settings, with_defaults
from cranberrywall.targets import Announcement, Change, make_targets, register_relay
from tests.configuration.documents import make_document
from tests.fakes.clock import VirtualClock
from tests.fakes.network import FakeFabric, MachineLink, Rule

KEY = b"k" * 32
PLACES = ("sofia-a", "sofia-b", "sofia-c", "sofia-d")
LINKS_PORT = 7000
SEEDS = 3
APPLIED_WITHIN_S = (0.002, 0.03)
"""A control host applies a change so long after the first one did, in seconds."""

ENTRY_BYTES_PER_S = 5e6 / 8
CONTROL_BYTES_PER_S = 170e6 / 8
EXPIRE_EVERY_S = 1.0


class Shape(NamedTuple):
    """Size a fleet; ``entry_bytes_per_s`` and ``control_bytes_per_s`` of 0 leave links alone.

    ``seconds_per_byte`` is what an entry host's processor takes for each byte that arrives.
    """

    entries: int = 78
    controls: int = 9
    entry_bytes_per_s: float = 0.0
    control_bytes_per_s: float = 0.0
    seconds_per_byte: float = 0.0
    loss: float = 0.0


class _GroupsAround:
    """Stand for a control host's groups, of which only addresses are asked."""

    def __init__(self, caller: LinkCaller, server: LinkServer, members: Sequence[str]) -> None:
        self.caller = caller
        self.server = server
        self._members = list(members)

    def members(self) -> list[str]:
        """Return the stream addresses of all control hosts."""
        return self._members

    def groups_without_leader(self) -> list[str]:
        """Return no group: all have their leader."""
        return []


class ControlHost:
    """Hold one control host's copy of the configuration, and what it tells entry hosts."""

    def __init__(self, fleet: "ConfirmedFleet", me: SpreadHost) -> None:
        self.me = me
        self.ip = _ip(me)
        self.machine = make_configuration_machine()
        runtime = fleet.runtime_of(me)
        identity = Peer(me.host, me.place, 1)
        clock = fleet.clock
        self.caller = make_caller(runtime.network, clock, runtime.random, KEY, identity)
        self.server = make_link_server(runtime.network, clock, me.links, KEY, identity)
        groups: Any = _GroupsAround(self.caller, self.server, [one.links for one in fleet.core])
        settings = fleet.settings_of(me, "control")
        self.connections = ControlConnections(settings, runtime, identity, groups, self.machine)
        self.relay = self.connections.relay
        self.feed = make_control_feed(
            me,
            self.machine,
            self.connections,
            self.caller,
            clock,
            self.connections.tellers.notifies,
        )
        self.feed.register(self.server)
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(self) -> None:
        """Listen, and tell of what is new."""
        await self.server.start()
        self._tasks.append(asyncio.create_task(self.feed.run()))
        self._tasks += [asyncio.create_task(loop()) for loop in self.connections.loops()]

    async def stop(self) -> None:
        """End everything."""
        await _cancel(self._tasks)
        await self.caller.close()
        await self.server.close()


class EntryHost:
    """Hold one entry host's configuration and targets; it can be started anew.

    ``in_force_at`` gives, by revision, when it or a later one came in force here, and ``left_at``
    when a target was first known to leave.
    """

    def __init__(self, fleet: "ConfirmedFleet", me: SpreadHost) -> None:
        self.me = me
        self.ip = _ip(me)
        self.starts = 0
        self.revisions: list[int] = []
        self.in_force_at: dict[int, float] = {}
        self.left_at: dict[str, float] = {}
        self._fleet = fleet

    async def start(self) -> None:
        """Start a new run, without waiting until it has joined."""
        fleet, me = self._fleet, self.me
        self.starts += 1
        runtime = fleet.runtime_of(me, self.starts)
        self.configuration = make_host_configuration(None)
        self.configuration.watch(self._note)
        keys = FleetKeys(KEY, "", "")
        self.connections = HostConnections(
            fleet.settings_of(me, "entry"), runtime, keys, self.configuration
        )
        self.targets = make_targets()
        self.targets.subscribe(self._note_target)
        self.gossip = make_announcement_gossip(
            self.targets, self.connections.membership.gossip, fleet.clock
        )
        self.connections.follower.register(self.connections.server)
        register_relay(self.connections.server, self.gossip.publish)
        await self.connections.server.start()
        self._tasks = [asyncio.create_task(self._run())]

    async def _run(self) -> None:
        contacts = self.connections.contacts
        assert contacts is not None
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(contacts.run())
            await self.connections.membership.start()
            await self.connections.follower.join()
            tasks.create_task(self.connections.follower.run())
            tasks.create_task(self._expire())

    async def _expire(self) -> None:
        clock = self._fleet.clock
        while True:
            await clock.sleep(EXPIRE_EVERY_S)
            self.gossip.expire(clock.now())

    def _note_target(self, announcement: Announcement, change: Change, now: float) -> None:
        if change is Change.LEFT:
            self.left_at.setdefault(announcement.target, now)

    def _note(self, revision: int) -> None:
        now = self._fleet.clock.now()
        first = self.revisions[-1] + 1 if self.revisions else 1
        for each in range(first, revision + 1):
            self.in_force_at[each] = now
        self.revisions.append(revision)

    async def stop(self) -> None:
        """End the process without a word."""
        self._fleet.fabric.crash(self.ip)
        await _cancel(self._tasks)
        await self.connections.membership.close()
        await self.connections.caller.close()
        await self.connections.server.close()


class ConfirmedFleet:
    """Hold the control and entry hosts, and the network between them."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape = shape
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self._seed = seed
        rule = Rule(delay=0.0009, jitter=0.0006, loss=shape.loss)
        self.fabric = FakeFabric(self.clock, self.random, rule)
        self.core = [_host("core", number, 1) for number in range(shape.controls)]
        self.number = 0
        self.controls = [ControlHost(self, me) for me in self.core]
        self.entries = [EntryHost(self, _host("front", n, 2)) for n in range(shape.entries)]
        self._set_links()

    def _set_links(self) -> None:
        shape = self.shape
        for control in self.controls:
            if shape.control_bytes_per_s:
                self.fabric.set_link(control.ip, MachineLink(shape.control_bytes_per_s))
        for entry in self.entries:
            if shape.entry_bytes_per_s:
                link = MachineLink(shape.entry_bytes_per_s, shape.seconds_per_byte)
                self.fabric.set_link(entry.ip, link)

    def runtime_of(self, me: SpreadHost, start: int = 1) -> Runtime:
        """Return what one run of a host has of clock, network and chance."""
        source = random.Random(f"{self._seed} {me.host} {start}")
        return Runtime(self.clock, self.fabric.network(_ip(me)), source, None)

    def settings_of(self, me: SpreadHost, process: str) -> Settings:
        """Return a host's settings, as the first users' machines give them."""
        listen = {"links": me.links, "admin": f"{_ip(me)}:7001", "http": f"{_ip(me)}:80"}
        seeds = [one.links for one in self.core[:SEEDS]]
        return with_defaults(
            {
                "process": process,
                "host": me.host,
                "place": me.place,
                "listen": listen,
                "controls": [],
                "seeds": seeds,
                "founding": True,
                "fleet_key": "",
                "ledger_groups": 1,
            }
        )

    async def start(self, settle_s: float = 12.0) -> None:
        """Start all hosts at once, with a first document, and let them come together."""
        for control in self.controls:
            await control.start()
        await self.publish(make_document())
        for entry in self.entries:
            await entry.start()
        await self.clock.sleep(settle_s)

    async def publish(self, document: dict[str, Any], source: bytes = b"") -> float:
        """Put a document in force, and return the time at which it is confirmed."""
        self.number += 1
        return await self._commit(PublishNumbered(self.number, document, source, self.clock.wall()))

    async def order_evacuation(self, place: str, is_active: bool) -> float:
        """Start or end an evacuation, and return the time at which it is confirmed."""
        wall = self.clock.wall()
        return await self._commit(
            OrderEvacuation(place, is_active, self.revision, "operator", wall)
        )

    async def _commit(self, message: PublishNumbered | OrderEvacuation) -> float:
        command = CONFIGURATION_CODEC.encode(message)
        delays = sorted(self.random.uniform(*APPLIED_WITHIN_S) for _ in self.controls)
        confirmed_after = delays[len(delays) // 2]
        order = self.random.sample(self.controls, len(self.controls))
        began_at = self.clock.now()
        for control, delay in zip(order, delays, strict=True):
            asyncio.get_running_loop().call_later(delay, control.machine.apply, command)
        await self.clock.sleep(confirmed_after)
        return began_at + confirmed_after

    @property
    def revision(self) -> int:
        """Return the newest revision that any control host has."""
        return max(control.machine.revision for control in self.controls)

    def silence(self, hosts: Sequence[EntryHost | ControlHost]) -> None:
        """Let some hosts hear and say nothing more."""
        for host in hosts:
            self.fabric.silence(host.ip)

    async def announce(
        self, announcements: Sequence[Announcement], control: ControlHost | None = None
    ) -> list[float]:
        """Let targets speak, to control hosts at random, and return when each is acknowledged.

        Where a ``control`` host is named, all speak to that one.
        """
        return await asyncio.gather(*(self._announce(one, control) for one in announcements))

    async def _announce(self, announcement: Announcement, named: ControlHost | None) -> float:
        while True:
            control = named or self.random.choice(self.controls)
            if await control.relay.announce(announcement):
                return self.clock.now()
            await self.clock.sleep(0.1)

    async def stop(self) -> None:
        """End all hosts."""
        for entry in self.entries:
            await entry.stop()
        for control in self.controls:
            await control.stop()


async def _cancel(tasks: list[asyncio.Task[Any]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _host(kind: str, number: int, net: int) -> SpreadHost:
    address = f"10.{net}.{number // 250}.{number % 250 + 1}:{LINKS_PORT}"
    return SpreadHost(f"{kind}-{number}", PLACES[number % len(PLACES)], address)


def _ip(host: SpreadHost) -> str:
    return host.links.partition(":")[0]
