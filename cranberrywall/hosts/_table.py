"""Keep the newest item of each key, and digests that tell two hosts whether theirs differ."""

from collections.abc import Iterable, Sequence

import xxhash

from cranberrywall.hosts.messages import Item, Urgency

BUCKETS = 256
MOST_ITEMS = 100_000

Key = tuple[str, str]


class Table:
    """Hold the items that concern this host: those of all places and of its own."""

    def __init__(self, place: str) -> None:
        self._place = place
        self._item_by_key: dict[Key, Item] = {}
        self._gone_at: dict[Key, float] = {}
        self._fleet_digests = [0] * BUCKETS
        self._place_digests = [0] * BUCKETS
        self.fleet_digest = 0
        self.place_digest = 0

    def __len__(self) -> int:
        return len(self._item_by_key)

    def get(self, topic: str, key: str) -> Item | None:
        """Return the newest item of a key."""
        return self._item_by_key.get((topic, key))

    def of_topic(self, topic: str) -> list[Item]:
        """Return the topic's items, without those that are gone."""
        return [item for item in self._item_by_key.values() if item.topic == topic and item.payload]

    def put(self, item: Item, now: float) -> bool:
        """Keep ``item`` and return whether it is news.

        A late item, of a version not above the one held, changes nothing: so a message
        that comes late never revives what it is about.
        """
        if item.place not in ("", self._place):
            return False
        key = (item.topic, item.key)
        held = self._item_by_key.get(key)
        if held is None and len(self._item_by_key) >= MOST_ITEMS:
            return False
        if held is not None:
            if item.version <= held.version:
                return False
            self._toggle(held)
        self._item_by_key[key] = item
        self._toggle(item)
        if item.payload:
            self._gone_at.pop(key, None)
        else:
            self._gone_at[key] = now
        return True

    def remove(self, topic: str, key: str) -> None:
        """Forget a key, with its version: only when no late item of it can come any more."""
        item = self._item_by_key.pop((topic, key), None)
        if item is not None:
            self._toggle(item)
        self._gone_at.pop((topic, key), None)

    def forget_gone(self, before: float) -> None:
        """Forget the keys whose fact has been gone since ``before``."""
        for key in [key for key, at in self._gone_at.items() if at < before]:
            self.remove(*key)

    def digests(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return the digests of the buckets, for items of all places and for this place's."""
        return tuple(self._fleet_digests), tuple(self._place_digests)

    def differing(self, fleet: Sequence[int], place: Sequence[int], is_near: bool) -> list[int]:
        """Return the buckets in which a peer's digests differ; a near one is of this place."""
        buckets = []
        for bucket in range(min(BUCKETS, len(fleet), len(place))):
            differs = self._fleet_digests[bucket] != fleet[bucket]
            if differs or (is_near and self._place_digests[bucket] != place[bucket]):
                buckets.append(bucket)
        return buckets

    def in_buckets(self, buckets: Iterable[int], for_place: str) -> list[Item]:
        """Return the lasting items of some buckets that concern a host in ``for_place``."""
        wanted = set(buckets)
        return [
            item
            for item in self._item_by_key.values()
            if item.urgency is not Urgency.VOLATILE
            and item.place in ("", for_place)
            and _bucket(item) in wanted
        ]

    def _toggle(self, item: Item) -> None:
        # Items that change all the time would make any two hosts differ at any moment.
        if item.urgency is Urgency.VOLATILE:
            return
        text = f"{item.topic}|{item.key}|{item.version}".encode()
        value = xxhash.xxh64_intdigest(text)
        if item.place:
            self._place_digests[_bucket(item)] ^= value
            self.place_digest ^= value
        else:
            self._fleet_digests[_bucket(item)] ^= value
            self.fleet_digest ^= value


def _bucket(item: Item) -> int:
    return xxhash.xxh64_intdigest(f"{item.topic}|{item.key}".encode()) % BUCKETS
