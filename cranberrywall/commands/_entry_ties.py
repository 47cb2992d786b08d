"""Make what ties an entry host to the others: keys, streams, membership, spread."""

from typing import Any

from result import Err

from cranberrywall.configuration import (
    Follower,
    HostConfiguration,
    SpreadHost,
    make_follower,
)
from cranberrywall.entry import ConfiguredHosts, LivePeers, carry_revisions
from cranberrywall.hosts import (
    HostState,
    HostView,
    LiveMembership,
    make_membership,
    pace_of,
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
from cranberrywall.runtime import Runtime
from cranberrywall.settings import FleetKeys, Settings, load_fleet_keys
from cranberrywall.targets import Announcement


def load_keys(settings: Settings) -> FleetKeys:
    """Return the fleet's keys; raise ``ValueError`` where the file changed since the check."""
    keys = load_fleet_keys(settings["fleet_key"])
    if isinstance(keys, Err):
        raise ValueError("; ".join(str(problem) for problem in keys.err_value))
    return keys.ok_value


class HostTies:
    """Hold one entry host's identity, its streams, and what it knows of the other hosts."""

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
        self.controls = [remote["links"] for remote in settings["controls"]]
        self.counters = LinkCounters()
        self.server = self._make_server(keys)
        self.caller = self._make_caller(keys)
        self.configured = ConfiguredHosts(self._view(), configuration, self._peers())
        self.membership = self._make_membership()
        self.follower = self._make_follower(configuration)

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
            pace_of(self._settings),
        )

    def _make_follower(self, configuration: HostConfiguration) -> Follower:
        me = SpreadHost(self.me.host, self.me.place, self._settings["listen"]["links"])
        follower = make_follower(
            me,
            configuration,
            LivePeers(self.me.host, self.membership, self.configured),
            self.controls,
            self.caller,
            self._runtime.clock,
            self._runtime.random,
        )
        carry_revisions(self.membership.spread, configuration, follower, me.links)
        return follower


def describe_target(announcement: Announcement) -> dict[str, Any]:
    """Return what the state dump shows of a target."""
    load = announcement.load
    return {
        "kind": announcement.kind,
        "name": announcement.name,
        "place": announcement.place,
        "url": announcement.url,
        "versions": announcement.versions,
        "capacity": announcement.capacity,
        "running": load.running if load else None,
        "waiting": load.waiting if load else None,
    }
