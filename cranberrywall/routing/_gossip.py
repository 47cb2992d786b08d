"""Gossip the announcements of targets among the entry hosts."""

from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.links import MalformedMessageError
from cranberrywall.runtime import Clock
from cranberrywall.targets import TARGETS_CODEC, Announcement, Targets

STATE_TOPIC = "target"
RENEWAL_TOPIC = "target-renewal"


def make_announcement_gossip(
    targets: Targets, gossip: Gossip, clock: Clock
) -> "AnnouncementGossip":
    """Return the gossip of announcements; it applies those of other hosts to ``targets``."""
    return AnnouncementGossip(targets, gossip, clock)


class AnnouncementGossip:
    """Publish announcements that targets sent to this host directly.

    A target that joins, changes or leaves is pushed from host to host immediately. Renewals, with
    load and cache events, are piggybacked on the hosts' own messages, and some may be lost; the
    next renewal follows 2 s later.
    """

    def __init__(self, targets: Targets, gossip: Gossip, clock: Clock) -> None:
        self._targets = targets
        self._gossip = gossip
        self._clock = clock
        self._state_by_id: dict[str, Announcement] = {}
        gossip.subscribe(STATE_TOPIC, self._receive_state)
        gossip.subscribe(RENEWAL_TOPIC, self._receive)

    def publish(self, announcement: Announcement) -> None:
        """Publish an announcement that a target sent to this host directly."""
        if self._state_by_id.get(announcement.target) != _state_of(announcement):
            self._gossip.publish(_item(STATE_TOPIC, announcement, Urgency.URGENT))
        elif not announcement.leaving:
            self._gossip.publish(_item(RENEWAL_TOPIC, announcement, Urgency.VOLATILE))

    def expire(self, now: float) -> None:
        """Remove targets that did not renew their announcement; call it once a second."""
        self._targets.expire(now)
        for target_id in self._state_by_id.keys() - self._targets.by_id.keys():
            del self._state_by_id[target_id]

    def _receive(self, item: Item) -> None:
        self._apply(item)

    def _receive_state(self, item: Item) -> None:
        announcement = self._apply(item)
        if announcement is not None:
            # A target announces itself to a different host each time. Without this, each host
            # would publish its first announcement of a target as a change.
            self._state_by_id[announcement.target] = _state_of(announcement)

    def _apply(self, item: Item) -> Announcement | None:
        try:
            announcement: Announcement = TARGETS_CODEC.decode(item.payload)
        except MalformedMessageError:
            # A host of a later version may send fields that this version cannot decode. Its targets
            # are received from other hosts, or after this host's own upgrade.
            return None
        self._targets.apply(announcement, self._clock.now())
        return announcement


def _state_of(announcement: Announcement) -> Announcement:
    """Return the announcement without what differs from one renewal to the next."""
    return announcement._replace(counter=0, load=None, cache_events=())


def _item(topic: str, announcement: Announcement, urgency: Urgency) -> Item:
    version = (announcement.incarnation, int(announcement.leaving), announcement.counter)
    payload = TARGETS_CODEC.encode(announcement)
    return Item(topic, announcement.target, version, payload, urgency=urgency)
