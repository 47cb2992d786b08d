"""Choose a stable subset of the targets for this host, so that cost is flat in fleet size."""

from collections.abc import Callable, Iterable
from heapq import nsmallest

import xxhash

from cranberrywall.targets import Announcement

SUBSET_SIZE = 32
"""Maximum number of targets of one model or service that a host uses."""

NEAR_SHARE = 0.5
"""Share of a subset that is filled from the nearest places first."""


def subset_of(
    host: str,
    announcements: Iterable[Announcement],
    distance_to: Callable[[str], float],
    size: int = SUBSET_SIZE,
) -> list[Announcement]:
    """Return ``host``'s subset: half of it from near places, the rest from any place.

    Each target is ranked by a hash of host and target (rendezvous hashing). When a target joins or
    leaves, each subset changes by at most that target, so caches stay warm. The subsets of the
    hosts cover the targets evenly without any communication between hosts.
    """
    candidates = list(announcements)
    if len(candidates) <= size:
        return candidates
    rank_by_id = {
        announcement.target: _rank(host, announcement.target) for announcement in candidates
    }
    near = nsmallest(
        int(size * NEAR_SHARE),
        candidates,
        key=lambda item: (distance_to(item.place), rank_by_id[item.target]),
    )
    chosen = {item.target for item in near}
    rest = (item for item in candidates if item.target not in chosen)
    return near + nsmallest(size - len(near), rest, key=lambda item: rank_by_id[item.target])


def _rank(host: str, target: str) -> int:
    return xxhash.xxh64_intdigest(f"{host}\n{target}".encode())
