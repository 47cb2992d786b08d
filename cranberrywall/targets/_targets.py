"""Table of the announced targets, ordered by each target's own incarnation and counter."""

import heapq
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

from cranberrywall.targets.messages import Announcement

TTL_S = 6.0
"""Time within which targets must renew their announcement, in seconds; they renew every 2 s."""

TARGET_RETENTION_S = 20.0
"""Time after which a target without a renewal is removed, in seconds.

Renewals pass from host to host with other messages, and about one in five misses a host. Three in a
row are therefore missed now and then although the target works. A target that stopped without
notice is detected earlier by its failures.
"""

TOMBSTONE_S = 3600.0
"""Retention of the last order of a target that left or expired, in seconds."""

MAX_TRACKED = 100_000
"""Maximum number of targets and tombstones."""


class Change(StrEnum):
    """Effect of an announcement."""

    JOINED = "joined"
    CHANGED = "changed"
    RENEWED = "renewed"
    LEFT = "left"
    STALE = "stale"
    FULL = "full"


class Target(NamedTuple):
    """Announced target that is not leaving."""

    announcement: Announcement
    renewed_at: float


class Group(NamedTuple):
    """Kind and name that the targets of one model or service have in common."""

    kind: str
    name: str


class _Order(NamedTuple):
    """Sort key of the announcements of one target.

    Leaving is final within an incarnation: it sorts after every other message of that incarnation,
    even those with a higher counter.
    """

    incarnation: int
    leaving: bool
    counter: int


Listener = Callable[[Announcement, Change, float], None]


def make_targets() -> "Targets":
    """Return an empty table."""
    return Targets()


class Targets:
    """Table of the announced targets; ``by_id`` and ``by_group`` are for reading only.

    Times are monotonic seconds of this host.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Target] = {}
        self.by_group: dict[Group, dict[str, Target]] = {}
        self._id_by_url: dict[str, str] = {}
        self._order_by_id: dict[str, _Order] = {}
        self._last_contact_by_id: dict[str, float] = {}
        self._expiries: list[tuple[float, str]] = []
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` for each announcement that is not stale, and each removal."""
        self._listeners.append(listener)

    def apply(self, announcement: Announcement, now: float) -> Change:
        """Apply an announcement, received directly or relayed by another host."""
        order = _Order(announcement.incarnation, announcement.leaving, announcement.counter)
        last_order = self._order_by_id.get(announcement.target)
        # A delayed message of a target that has left, restarted or renewed since must not restore
        # the older state: requests would go to an address without a server. The order is kept for
        # TOMBSTONE_S after the target is removed, so the message is still recognised as stale.
        if last_order is not None and order <= last_order:
            return Change.STALE
        if last_order is None and len(self._order_by_id) >= MAX_TRACKED:
            return Change.FULL
        self._order_by_id[announcement.target] = order
        self._schedule(announcement.target, now)
        if announcement.leaving:
            self._remove(announcement.target)
            return self._notify(announcement, Change.LEFT, now)
        return self._notify(announcement, self._store(announcement, now), now)

    def discard(self, target_id: str, now: float) -> None:
        """Remove a target until any newer announcement of it is received.

        This is for a target that seems to have ended. If that is wrong, its next renewal restores
        it.
        """
        target = self.by_id.get(target_id)
        if target is not None:
            self._remove(target_id)
            self._notify(target.announcement, Change.LEFT, now)

    def by_url(self, url: str) -> Target | None:
        """Return the target that last announced itself at an address, while it is in the table."""
        return self.by_id.get(self._id_by_url.get(url, ""))

    def expire(self, now: float) -> Sequence[str]:
        """Remove targets that did not renew in time, and old tombstones; return the target ids."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            _, target_id = heapq.heappop(self._expiries)
            last_contact = self._last_contact_by_id.get(target_id, now)
            target = self.by_id.get(target_id)
            if target is not None and now >= last_contact + TARGET_RETENTION_S:
                self._remove(target_id)
                self._notify(target.announcement, Change.LEFT, now)
                expired.append(target_id)
            self._schedule_next(target_id, last_contact, now)
        return expired

    def _store(self, announcement: Announcement, now: float) -> Change:
        before = self.by_id.get(announcement.target)
        if before is not None and group_of(before.announcement) != group_of(announcement):
            self._remove(announcement.target)
        self._claim_address(announcement, now)
        # The events are for listeners only; if kept, they would use most of the memory.
        stored = (
            announcement._replace(cache_events=()) if announcement.cache_events else announcement
        )
        target = Target(stored, now)
        self.by_id[announcement.target] = target
        self.by_group.setdefault(group_of(announcement), {})[announcement.target] = target
        if before is None:
            return Change.JOINED
        return (
            Change.RENEWED if _is_unchanged(before.announcement, announcement) else Change.CHANGED
        )

    def _claim_address(self, announcement: Announcement, now: float) -> None:
        """Remove another target at the same address: it has ended, and this one replaced it.

        Otherwise, requests would go to the ended target until it expires, and its successor would
        reject them. A delayed message of the ended target restores it until the successor's next
        renewal.
        """
        replaced = self._id_by_url.get(announcement.url)
        if replaced is not None and replaced != announcement.target:
            self.discard(replaced, now)
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

    def _notify(self, announcement: Announcement, change: Change, now: float) -> Change:
        for listener in self._listeners:
            listener(announcement, change, now)
        return change

    def _schedule(self, target_id: str, now: float) -> None:
        # The heap has one entry for each target: a renewal only updates the time of the last
        # contact, and the entry is pushed again when it comes up.
        if target_id not in self._last_contact_by_id:
            heapq.heappush(self._expiries, (now + TARGET_RETENTION_S, target_id))
        self._last_contact_by_id[target_id] = now

    def _schedule_next(self, target_id: str, last_contact: float, now: float) -> None:
        if target_id in self.by_id:
            heapq.heappush(self._expiries, (last_contact + TARGET_RETENTION_S, target_id))
        elif now < last_contact + TOMBSTONE_S:
            # If the target is announced again before this entry comes up, its expiry waits for the
            # entry. Entries of tombstones therefore come up as often as those of targets.
            heapq.heappush(self._expiries, (now + TARGET_RETENTION_S, target_id))
        else:
            del self._order_by_id[target_id]
            del self._last_contact_by_id[target_id]


def group_of(announcement: Announcement) -> Group:
    """Return the group of an announcement's target."""
    return Group(announcement.kind, announcement.name)


def _is_unchanged(before: Announcement, after: Announcement) -> bool:
    """Return whether at most the counter, the load and the cache events differ.

    It runs at each renewal, so it compares fields instead of making copies.
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
