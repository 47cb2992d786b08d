"""Let revisions of the configuration travel with the membership's heartbeats."""

from collections.abc import Sequence

from cranberrywall.configuration import Follower, HostConfiguration
from cranberrywall.hosts import Gossip, HostView, Item, Membership

TOPIC = "configuration"
KEY = "newest"


class LivePeers:
    """List the hosts that membership knows to be alive; until it knows any, the configured."""

    def __init__(self, own: str, membership: Membership, configured: Membership) -> None:
        self._own = own
        self._membership = membership
        self._configured = configured

    def alive(self) -> Sequence[HostView]:
        """Return the hosts to spread to."""
        live = self._membership.alive()
        if any(view.host != self._own for view in live):
            return live
        return self._configured.alive()


def gossip_revisions(
    gossip: Gossip, configuration: HostConfiguration, follower: Follower, links: str
) -> None:
    """Publish each revision that comes in force here, and follow those of others.

    There is one item for the whole fleet, the newest revision with an address to fetch it
    from, so that what a heartbeat carries does not grow with the number of hosts.
    """

    def publish(revision: int) -> None:
        gossip.publish(Item(TOPIC, KEY, (revision,), links.encode()))

    def hear(item: Item) -> None:
        if item.version and item.payload:
            follower.hear(item.version[0], item.payload.decode())

    gossip.subscribe(TOPIC, hear)
    configuration.watch(publish)
