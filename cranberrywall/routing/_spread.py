"""Pass targets' announcements on among the entry hosts."""

from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.links import MalformedMessageError
from cranberrywall.runtime import Clock
from cranberrywall.targets import TARGETS_CODEC, Announcement, Targets

STATE_TOPIC = "target"
RENEWAL_TOPIC = "target-renewal"


def make_announcement_gossip(
    targets: Targets, gossip: Gossip, clock: Clock
) -> "AnnouncementGossip":
    """Return what passes announcements on, and takes in those of other hosts."""
    return AnnouncementGossip(targets, gossip, clock)


class AnnouncementGossip:
    """Publish first-hand announcements, each on the way that its news needs.

    A target that joins, changes or leaves is pushed from host to host at once. Renewals,
    with load and cache events, go along with the hosts' own messages and may miss some;
    the next one, 2 s later, makes up for it.
    """

    def __init__(self, targets: Targets, gossip: Gossip, clock: Clock) -> None:
        self._targets = targets
        self._spread = gossip
        self._clock = clock
        self._state_by_id: dict[str, Announcement] = {}
        gossip.subscribe(STATE_TOPIC, self._take)
        gossip.subscribe(RENEWAL_TOPIC, self._take)

    def publish(self, announcement: Announcement) -> None:
        """Pass on an announcement that came at first hand."""
        state = announcement._replace(counter=0, load=None, cache_events=())
        if self._state_by_id.get(announcement.target) != state:
            self._state_by_id[announcement.target] = state
            self._spread.publish(_item(STATE_TOPIC, announcement, Urgency.URGENT))
        elif not announcement.leaving:
            self._spread.publish(_item(RENEWAL_TOPIC, announcement, Urgency.VOLATILE))

    def expire(self, now: float) -> None:
        """Forget targets that don't renew; call it once a second."""
        self._targets.expire(now)
        for target_id in self._state_by_id.keys() - self._targets.by_id.keys():
            del self._state_by_id[target_id]

    def _take(self, item: Item) -> None:
        try:
            announcement = TARGETS_CODEC.decode(item.payload)
        except MalformedMessageError:
            # A host of a later version may say more than this one understands; its
            # targets are heard again from others, or after this host's own upgrade.
            return
        self._targets.apply(announcement, self._clock.now())


def _item(topic: str, announcement: Announcement, urgency: Urgency) -> Item:
    version = (announcement.incarnation, int(announcement.leaving), announcement.counter)
    payload = TARGETS_CODEC.encode(announcement)
    return Item(topic, announcement.target, version, payload, urgency=urgency)
