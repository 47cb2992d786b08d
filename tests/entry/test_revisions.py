"""Dissemination of configuration revisions as one gossip item for the whole fleet."""

from collections.abc import Callable
from typing import Any

from cranberrywall.configuration import SpreadTimes
from cranberrywall.entry import LivePeers, gossip_revisions
from cranberrywall.hosts import HostState, HostView, Item, make_static_membership
from measurements._configuration_fleet import Fleet
from tests.configuration.documents import place_edit
from tests.fakes.clock import run_virtual


class SharedItems:
    """Gossip that delivers the newest item of each key to all hosts immediately."""

    def __init__(self) -> None:
        self.newest: dict[tuple[str, str], Item] = {}
        self.receivers: list[Callable[[Item], None]] = []

    def subscribe(self, topic: str, receive: Callable[[Item], None]) -> None:
        self.receivers.append(receive)

    def publish(self, item: Item) -> None:
        previous = self.newest.get((item.topic, item.key))
        if previous is None or item.version > previous.version:
            self.newest[item.topic, item.key] = item
            for receive in self.receivers:
                receive(item)

    def items(self, topic: str) -> Any:
        return list(self.newest.values())


def test_a_host_that_missed_a_notice_receives_the_revision_by_heartbeat() -> None:
    """A host misses all notices and polls, and receives only the heartbeats of membership."""

    async def scenario() -> None:
        fleet = Fleet(3, times=SpreadTimes(heartbeat=1e6, control_poll=1e6))
        await fleet.start()
        items = SharedItems()
        for entry in fleet.entries:
            gossip_revisions(items, entry.configuration, entry.follower, entry.me.links)
        unnotified = fleet.entries[2]
        feed: Any = unnotified.follower._feed
        feed.note = lambda heard: None
        revision = await fleet.commit(place_edit("new"))
        await fleet.clock.sleep(5.0)
        assert unnotified.configuration.revision == revision - 1
        del feed.note
        items.receivers[2](items.newest["configuration", "newest"])
        await fleet.until_everywhere(revision, limit=1.0)
        assert len(items.newest) == 1
        await fleet.stop()

    run_virtual(scenario())


def test_peers_are_the_live_ones_once_membership_tracks_any() -> None:
    def view(host: str) -> HostView:
        return HostView(host, "kranj", "1.2.3.4:5", "", 1, HostState.ALIVE, 0.0)

    configured = make_static_membership(view("a"), [view("b"), view("c")])
    alone = make_static_membership(view("a"), [])
    joined = make_static_membership(view("a"), [view("c")])
    assert [v.host for v in LivePeers("a", alone, configured).alive()] == ["a", "b", "c"]
    assert [v.host for v in LivePeers("a", joined, configured).alive()] == ["a", "c"]
