"""Table of the newest item per key, with digests that show whether two hosts differ."""

from collections.abc import Iterable, Sequence

import xxhash

from cranberrywall.hosts.messages import Item, Urgency

BUCKETS = 256
"""Number of buckets into which items are hashed; each bucket has its own digests."""

MAX_ITEMS = 100_000

Key = tuple[str, str]


class ItemTable:
    """Items for this host: those for all places and those for its own place."""

    def __init__(self, place: str) -> None:
        self._place = place
        self._item_by_key: dict[Key, Item] = {}
        self._removed_at: dict[Key, float] = {}
        self._fleet_digests = [0] * BUCKETS
        self._place_digests = [0] * BUCKETS
        self.fleet_digest = 0
        self.place_digest = 0

    def __len__(self) -> int:
        return len(self._item_by_key)

    def get(self, topic: str, key: str) -> Item | None:
        """Return the newest item with ``topic`` and ``key``, or ``None``."""
        return self._item_by_key.get((topic, key))

    def items_of_topic(self, topic: str) -> list[Item]:
        """Return the topic's items, without removed ones."""
        return [item for item in self._item_by_key.values() if item.topic == topic and item.payload]

    def put(self, item: Item, now: float) -> bool:
        """Store ``item`` and return whether it is new.

        An item whose version is not higher than the stored one changes nothing. So a late
        message never restores a fact that was removed since.
        """
        if item.place not in ("", self._place):
            return False
        key = (item.topic, item.key)
        held = self._item_by_key.get(key)
        if held is None and len(self._item_by_key) >= MAX_ITEMS:
            return False
        if held is not None:
            if item.version <= held.version:
                return False
            self._toggle_in_digests(held)
        self._item_by_key[key] = item
        self._toggle_in_digests(item)
        if item.payload:
            self._removed_at.pop(key, None)
        else:
            self._removed_at[key] = now
        return True

    def remove(self, topic: str, key: str) -> None:
        """Delete a key with its version; call it only when no late item of it can arrive."""
        item = self._item_by_key.pop((topic, key), None)
        if item is not None:
            self._toggle_in_digests(item)
        self._removed_at.pop((topic, key), None)

    def remove_expired(self, before: float) -> None:
        """Delete the keys whose fact was removed earlier than ``before``, a monotonic time."""
        for key in [key for key, at in self._removed_at.items() if at < before]:
            self.remove(*key)

    def digests(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return the digests per bucket: of items for all places, and of items for this place."""
        return tuple(self._fleet_digests), tuple(self._place_digests)

    def differing_buckets(
        self, fleet: Sequence[int], place: Sequence[int], is_near: bool
    ) -> list[int]:
        """Return the buckets in which the digests of a peer differ.

        ``is_near`` means that the peer is in this host's place, so that ``place`` is compared.
        """
        buckets = []
        for bucket in range(min(BUCKETS, len(fleet), len(place))):
            differs = self._fleet_digests[bucket] != fleet[bucket]
            if differs or (is_near and self._place_digests[bucket] != place[bucket]):
                buckets.append(bucket)
        return buckets

    def items_in_buckets(self, buckets: Iterable[int], for_place: str) -> list[Item]:
        """Return the non-volatile items of ``buckets`` that a host in ``for_place`` stores."""
        selected = set(buckets)
        return [
            item
            for item in self._item_by_key.values()
            if item.urgency is not Urgency.VOLATILE
            and item.place in ("", for_place)
            and _bucket_of(item) in selected
        ]

    def _toggle_in_digests(self, item: Item) -> None:
        # Volatile items change so often that they would make any two hosts differ all the time.
        if item.urgency is Urgency.VOLATILE:
            return
        text = f"{item.topic}|{item.key}|{item.version}".encode()
        value = xxhash.xxh64_intdigest(text)
        if item.place:
            self._place_digests[_bucket_of(item)] ^= value
            self.place_digest ^= value
        else:
            self._fleet_digests[_bucket_of(item)] ^= value
            self.fleet_digest ^= value


def _bucket_of(item: Item) -> int:
    return xxhash.xxh64_intdigest(f"{item.topic}|{item.key}".encode()) % BUCKETS
