"""Choose the few targets that this host uses, stably, so that cost is flat in fleet size."""

from collections.abc import Callable, Iterable
from heapq import nsmallest

import xxhash

from cranberrywall.targets import Announcement

SUBSET_SIZE = 32
"""Targets of one model or service that a host uses, where there are more."""

NEAR_SHARE = 0.5
"""Share of a subset that is filled from the nearest places first."""


def subset_of(
    host: str,
    announcements: Iterable[Announcement],
    distance_to: Callable[[str], float],
    size: int = SUBSET_SIZE,
) -> list[Announcement]:
    """Return ``host``'s subset: half from near, the rest from anywhere.

    Each target is ranked by a hash of host and target (rendezvous hashing): when a target
    joins or leaves, each subset changes by that target at most, so caches stay warm, and
    the hosts' subsets cover the targets evenly without a word between hosts.
    """
    known = list(announcements)
    if len(known) <= size:
        return known
    rank_by_id = {known_one.target: _rank(host, known_one.target) for known_one in known}
    near = nsmallest(
        int(size * NEAR_SHARE),
        known,
        key=lambda item: (distance_to(item.place), rank_by_id[item.target]),
    )
    chosen = {item.target for item in near}
    rest = (item for item in known if item.target not in chosen)
    return near + nsmallest(size - len(near), rest, key=lambda item: rank_by_id[item.target])


def _rank(host: str, target: str) -> int:
    return xxhash.xxh64_intdigest(f"{host}\n{target}".encode())
