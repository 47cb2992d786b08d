"""Make what ties an entry host to the others: keys, streams, membership, spread."""

import asyncio
from collections.abc import Sequence
from typing import Any

from cranberrywall.budgets import EntryHost
from cranberrywall.configuration import (
    Follower,
    HostConfiguration,
    SpreadHost,
    make_follower,
)
from cranberrywall.control import ControlContacts, EnrolledHost
from cranberrywall.entry import ConfiguredHosts, DiscoveredHosts, LivePeers, gossip_revisions
from cranberrywall.hosts import (
    HostState,
    HostView,
    LiveMembership,
    make_membership,
    membership_timings,
)
from cranberrywall.links import (
    LinkCaller,
    LinkCounters,
    LinkServer,
    Peer,
    limits_of,
    make_caller,
    make_link_server,
)
from cranberrywall.rates import TargetRates
from cranberrywall.runtime import Runtime
from cranberrywall.settings import FleetKeys, Settings
from cranberrywall.targets import Announcement, Backoffs, TargetIncarnation


class HostConnections:
    """Hold one entry host's identity, its streams, and what it knows of the other hosts.

    ``contacts`` is there where the settings name seeds: the control hosts and the other
    entry hosts are then found through these, in place of lists in settings and configuration.
    """

    def __init__(
        self,
        settings: Settings,
        runtime: Runtime,
        keys: FleetKeys,
        configuration: HostConfiguration,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self.me = Peer(settings["host"], settings["place"], int(runtime.clock.wall() * 1000))
        self.counters = LinkCounters()
        self.server = self._make_server(keys)
        self.caller = self._make_caller(keys)
        self.contacts = self._make_contacts()
        self._configured = ConfiguredHosts(self._view(), configuration, self._peers())
        self.membership = self._make_membership()
        self._discovered = DiscoveredHosts(self.membership)
        self.follower = self._make_follower(configuration)
        self._meeting: asyncio.Task[None] | None = None

    def controls(self) -> Sequence[str]:
        """Return the control hosts' stream addresses known now."""
        if self.contacts is not None:
            return self.contacts.addresses()
        return [remote["links"] for remote in self._settings["controls"]]

    def entry_hosts(self) -> Sequence[EntryHost]:
        """Return the entry hosts known, those that are down too."""
        if self.contacts is not None:
            return self._discovered.entry_hosts()
        return self._configured.entry_hosts()

    def _make_contacts(self) -> ControlContacts | None:
        seeds = self._settings.get("seeds")
        if not seeds:
            return None
        listen = self._settings["listen"]
        host, place, incarnation = self.me
        own = EnrolledHost(host, place, listen["links"], listen["http"], incarnation, False)
        clock, random = self._runtime.clock, self._runtime.random
        return ControlContacts(own, seeds, self.caller, clock, random, self._meet, self._hear)

    def _hear(self, revision: int, control: str) -> None:
        self.follower.hear(revision, control)

    def _meet(self, entries: Sequence[EnrolledHost]) -> None:
        if self._meeting is None or self._meeting.done():
            work = self.membership.contact_any([entry.links for entry in entries])
            self._meeting = asyncio.get_running_loop().create_task(work)

    def _make_server(self, keys: FleetKeys) -> LinkServer:
        return make_link_server(
            self._runtime.network,
            self._runtime.clock,
            self._settings["listen"]["links"],
            keys.fleet,
            self.me,
            self.counters,
            limits_of(self._settings),
        )

    def _make_caller(self, keys: FleetKeys) -> LinkCaller:
        return make_caller(
            self._runtime.network,
            self._runtime.clock,
            self._runtime.random,
            keys.fleet,
            self.me,
            self.counters,
            limits_of(self._settings),
        )

    def _view(self) -> HostView:
        listen = self._settings["listen"]
        return HostView(
            host=self.me.host,
            place=self.me.place,
            links=listen["links"],
            http=listen["http"],
            incarnation=self.me.incarnation,
            state=HostState.ALIVE,
            load=0.0,
        )

    def _peers(self) -> list[HostView]:
        return [
            HostView(peer["host"], "", peer["links"], "", 0, HostState.ALIVE, 0.0)
            for peer in self._settings["peers"]
        ]

    def _make_membership(self) -> LiveMembership:
        listen = self._settings["listen"]
        return make_membership(
            self.me,
            listen["links"],
            listen["http"],
            [peer["links"] for peer in self._settings["peers"]],
            self.server,
            self.caller,
            self._runtime.clock,
            self._runtime.random,
            membership_timings(self._settings),
        )

    def _make_follower(self, configuration: HostConfiguration) -> Follower:
        me = SpreadHost(self.me.host, self.me.place, self._settings["listen"]["links"])
        follower = make_follower(
            me,
            configuration,
            LivePeers(self.me.host, self.membership, self._configured),
            self.controls,
            self.caller,
            self._runtime.clock,
            self._runtime.random,
        )
        gossip_revisions(self.membership.gossip, configuration, follower, me.links)
        return follower


def describe_target(
    announcement: Announcement, rates: TargetRates, backoffs: Backoffs, now: float
) -> dict[str, Any]:
    """Return what the state dump shows of a target."""
    load = announcement.load
    start = TargetIncarnation(announcement.target, announcement.incarnation)
    return {
        "kind": announcement.kind,
        "name": announcement.name,
        "place": announcement.place,
        "url": announcement.url,
        "versions": announcement.versions,
        "capacity": announcement.capacity,
        "running": load.running if load else None,
        "waiting": load.waiting if load else None,
        "rate": rates.describe(start, now),
        "cold": rates.cold.describe(start, now),
        "backoff": backoffs.describe(start, now),
    }
