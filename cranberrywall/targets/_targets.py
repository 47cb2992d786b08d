"""Keep the targets that announced themselves, ordered by each target's own counters."""

import heapq
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

from cranberrywall.targets.messages import Announcement

TTL_S = 6.0
"""Targets are asked to renew within this time, in seconds; they do so every 2 s."""

TARGET_RETENTION_S = 20.0
"""A target is forgotten after so many seconds without news.

Renewals pass from host to host with other messages, and about one in five misses a host, so
that three in a row are missed now and then while the target is well. A target that ended
without a word is found by its failures meanwhile.
"""

TOMBSTONE_S = 3600.0
"""What is known of a target that left or expired is kept this long, in seconds."""

MAX_KNOWN = 100_000
"""Targets and tombstones that are kept at most."""


class Change(StrEnum):
    """Say what an announcement changed."""

    JOINED = "joined"
    CHANGED = "changed"
    RENEWED = "renewed"
    LEFT = "left"
    STALE = "stale"
    FULL = "full"


class Target(NamedTuple):
    """Hold a target that is announced and not leaving."""

    announcement: Announcement
    renewed_at: float


class Group(NamedTuple):
    """Name the targets that serve the same model or service."""

    kind: str
    name: str


class _Order(NamedTuple):
    """Order announcements of one target.

    Leaving is final within an incarnation: it goes before every other message of that
    incarnation, also those with a higher counter.
    """

    incarnation: int
    leaving: bool
    counter: int


Listener = Callable[[Announcement, Change, float], None]


def make_targets() -> "Targets":
    """Return a collection that knows no target yet."""
    return Targets()


class Targets:
    """Hold the announced targets; ``by_id`` and ``by_group`` are for reading only.

    Times are monotonic seconds of this host.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Target] = {}
        self.by_group: dict[Group, dict[str, Target]] = {}
        self._id_by_url: dict[str, str] = {}
        self._order_by_id: dict[str, _Order] = {}
        self._heard_at_by_id: dict[str, float] = {}
        self._expiries: list[tuple[float, str]] = []
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` for each announcement that is not stale, and each expiry."""
        self._listeners.append(listener)

    def apply(self, announcement: Announcement, now: float) -> Change:
        """Take in an announcement, at first hand or passed on by another host."""
        order = _Order(announcement.incarnation, announcement.leaving, announcement.counter)
        known = self._order_by_id.get(announcement.target)
        # A late message of a target that left, restarted or renewed since must not bring
        # the older state back: work would go to an address that nobody serves. The order
        # outlives the target by TOMBSTONE_S, so the message is recognised after it left.
        if known is not None and order <= known:
            return Change.STALE
        if known is None and len(self._order_by_id) >= MAX_KNOWN:
            return Change.FULL
        self._order_by_id[announcement.target] = order
        self._schedule(announcement.target, now)
        if announcement.leaving:
            self._remove(announcement.target)
            return self._tell(announcement, Change.LEFT, now)
        return self._tell(announcement, self._put(announcement, now), now)

    def discard(self, target_id: str, now: float) -> None:
        """Use a target no more until it is heard again, in any newer message of its own.

        It is for a target that seems to have ended. If that was wrong, its next renewal brings
        it back.
        """
        target = self.by_id.get(target_id)
        if target is not None:
            self._remove(target_id)
            self._tell(target.announcement, Change.LEFT, now)

    def by_url(self, url: str) -> Target | None:
        """Return the target that announced itself at an address last, while it is used."""
        return self.by_id.get(self._id_by_url.get(url, ""))

    def expire(self, now: float) -> Sequence[str]:
        """Remove the targets that did not renew, and tombstones past their time."""
        gone = []
        while self._expiries and self._expiries[0][0] <= now:
            _, target_id = heapq.heappop(self._expiries)
            heard_at = self._heard_at_by_id.get(target_id, now)
            target = self.by_id.get(target_id)
            if target is not None and now >= heard_at + TARGET_RETENTION_S:
                self._remove(target_id)
                self._tell(target.announcement, Change.LEFT, now)
                gone.append(target_id)
            self._schedule_next(target_id, heard_at, now)
        return gone

    def _put(self, announcement: Announcement, now: float) -> Change:
        before = self.by_id.get(announcement.target)
        if before is not None and group_of(before.announcement) != group_of(announcement):
            self._remove(announcement.target)
        self._take_address(announcement, now)
        # The events are for listeners only; kept, they would take most of the memory.
        kept = announcement._replace(cache_events=()) if announcement.cache_events else announcement
        target = Target(kept, now)
        self.by_id[announcement.target] = target
        self.by_group.setdefault(group_of(announcement), {})[announcement.target] = target
        if before is None:
            return Change.JOINED
        return Change.RENEWED if _same(before.announcement, announcement) else Change.CHANGED

    def _take_address(self, announcement: Announcement, now: float) -> None:
        """Forget another target at the same address: it ended, and this one has its place.

        Without that, requests go to the one that ended for as long as it is kept, and its
        successor turns them down. A late message of the one that ended brings it back until its
        successor's next renewal.
        """
        other = self._id_by_url.get(announcement.url)
        if other is not None and other != announcement.target:
            self.discard(other, now)
        self._id_by_url[announcement.url] = announcement.target

    def _remove(self, target_id: str) -> None:
        target = self.by_id.pop(target_id, None)
        if target is None:
            return
        if self._id_by_url.get(target.announcement.url) == target_id:
            del self._id_by_url[target.announcement.url]
        group = group_of(target.announcement)
        members = self.by_group[group]
        del members[target_id]
        if not members:
            del self.by_group[group]

    def _tell(self, announcement: Announcement, change: Change, now: float) -> Change:
        for listener in self._listeners:
            listener(announcement, change, now)
        return change

    def _schedule(self, target_id: str, now: float) -> None:
        # One entry a target is in the heap: a renewal moves only ``heard_at``, and the
        # entry is pushed again when it comes up.
        if target_id not in self._heard_at_by_id:
            heapq.heappush(self._expiries, (now + TARGET_RETENTION_S, target_id))
        self._heard_at_by_id[target_id] = now

    def _schedule_next(self, target_id: str, heard_at: float, now: float) -> None:
        if target_id in self.by_id:
            heapq.heappush(self._expiries, (heard_at + TARGET_RETENTION_S, target_id))
        elif now < heard_at + TOMBSTONE_S:
            # A target that is heard again meanwhile expires by this entry too late, so
            # tombstones come up as often as targets.
            heapq.heappush(self._expiries, (now + TARGET_RETENTION_S, target_id))
        else:
            del self._order_by_id[target_id]
            del self._heard_at_by_id[target_id]


def group_of(announcement: Announcement) -> Group:
    """Return the group of an announcement's target."""
    return Group(announcement.kind, announcement.name)


def _same(before: Announcement, after: Announcement) -> bool:
    """Say whether nothing but the counter, the load and the cache events differ.

    It runs at each renewal, so it compares fields in place of copies.
    """
    return (
        before.incarnation == after.incarnation
        and before.url == after.url
        and before.capacity == after.capacity
        and before.versions == after.versions
        and before.adapters == after.adapters
        and before.place == after.place
        and before.name == after.name
        and before.kind == after.kind
        and before.checks_fencing == after.checks_fencing
        and before.models == after.models
        and before.slots == after.slots
    )
