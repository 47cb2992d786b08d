"""Dissemination of configuration revisions with the heartbeats of membership."""

from collections.abc import Sequence

from cranberrywall.configuration import Follower, HostConfiguration
from cranberrywall.hosts import Gossip, HostView, Item, Membership

TOPIC = "configuration"
KEY = "newest"


class LivePeers:
    """List the hosts that membership tracks as alive, or the configured ones if there are none."""

    def __init__(self, own: str, membership: Membership, configured: Membership) -> None:
        self._own = own
        self._membership = membership
        self._configured = configured

    def alive(self) -> Sequence[HostView]:
        """Return the hosts to which revisions are sent."""
        live = self._membership.alive()
        if any(view.host != self._own for view in live):
            return live
        return self._configured.alive()


def gossip_revisions(
    gossip: Gossip, configuration: HostConfiguration, follower: Follower, links: str
) -> None:
    """Publish each revision that becomes active here, and follow those that others publish.

    The whole fleet shares one item: the newest revision with an address to fetch it from. The
    size of a heartbeat therefore does not grow with the number of hosts.
    """

    def publish(revision: int) -> None:
        gossip.publish(Item(TOPIC, KEY, (revision,), links.encode()))

    def receive(item: Item) -> None:
        if item.version and item.payload:
            follower.hear(item.version[0], item.payload.decode())

    gossip.subscribe(TOPIC, receive)
    configuration.watch(publish)
