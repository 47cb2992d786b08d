"""Choose the few hosts with which a host talks, so that its cost does not grow with the fleet.

All hosts of a group stand on a ring in the order of their hashes. In a small group each talks
with every other; in a larger one with those 1, 2, 4, 8, … steps away in either direction. So
each host has about ``2 * log2(size)`` neighbours, is the neighbour of just these, and news
crosses the group in about ``log2(size) / 2`` steps.
"""

from collections.abc import Collection, Sequence

import xxhash

FULL_MESH_SIZE = 12
DELEGATES = 3


def position(host: str) -> tuple[int, str]:
    """Return the host's place on the ring."""
    return xxhash.xxh64_intdigest(host.encode()), host


def neighbours(host: str, group: Collection[str]) -> list[str]:
    """Return the hosts of ``group`` with which ``host`` talks, nearest on the ring first.

    >>> neighbours("a", ["a", "b"])
    ['b']
    >>> hosts = [f"host-{number}" for number in range(128)]
    >>> len(neighbours("host-0", hosts))
    13
    """
    ring = sorted({host, *group}, key=position)
    size = len(ring)
    own = ring.index(host)
    if size <= FULL_MESH_SIZE:
        return [ring[(own + step) % size] for step in range(1, size)]
    chosen: dict[str, None] = {}
    step = 1
    while step <= size // 2:
        chosen[ring[(own + step) % size]] = None
        chosen[ring[(own - step) % size]] = None
        step *= 2
    return list(chosen)


def delegates(hosts: Collection[str]) -> Sequence[str]:
    """Return the hosts of one place that talk with other places for it."""
    return sorted(hosts, key=position)[:DELEGATES]
