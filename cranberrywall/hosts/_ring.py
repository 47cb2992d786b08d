"""Selection of a host's gossip neighbours, so that its cost does not grow with the fleet.

The hosts of a group are placed on four rings, and each ring is ordered by a different hash. In
a small group each host communicates with every other host. In a larger group it communicates
with its predecessor and successor on each ring. So each host has at most eight neighbours, and
the relation is mutual. A host that joins or leaves changes the neighbours of about eight others.
Updates reach the whole group in a few steps, because the different orders of the rings keep the
distance between any two hosts short.
"""

import bisect
from collections.abc import Iterable

import xxhash

FULL_MESH_SIZE = 12
"""Maximum number of hosts of a group in which each host communicates with all others."""

DELEGATES = 3
"""Number of hosts that communicate with other groups on behalf of their group."""

RINGS = 4
"""Number of rings of a group; a host communicates with its two neighbours on each of them."""

_Position = tuple[int, str]


class Rings:
    """Rings of the hosts of one group."""

    def __init__(self, hosts: Iterable[str] = ()) -> None:
        names = set(hosts)
        self._rings: list[list[_Position]] = [
            sorted(_position(ring, name) for name in names) for ring in range(RINGS)
        ]

    def __len__(self) -> int:
        return len(self._rings[0])

    def add(self, host: str) -> None:
        """Add ``host`` to each ring that does not contain it."""
        for number, ring in enumerate(self._rings):
            position = _position(number, host)
            index = bisect.bisect_left(ring, position)
            if not _is_at(ring, index, position):
                ring.insert(index, position)

    def remove(self, host: str) -> None:
        """Remove ``host`` from the rings."""
        for number, ring in enumerate(self._rings):
            position = _position(number, host)
            index = bisect.bisect_left(ring, position)
            if _is_at(ring, index, position):
                del ring[index]

    def delegates(self) -> list[str]:
        """Return the hosts that communicate with other groups on behalf of this one."""
        return [host for _, host in self._rings[0][:DELEGATES]]

    def neighbours(self, host: str) -> list[str]:
        """Return the hosts with which ``host``, a member of the group, communicates.

        >>> Rings(["a", "b"]).neighbours("a")
        ['b']
        >>> len(Rings(f"host-{number}" for number in range(128)).neighbours("host-0"))
        8
        """
        if len(self) <= FULL_MESH_SIZE:
            return [name for _, name in self._rings[0] if name != host]
        chosen: dict[str, None] = {}
        for number, ring in enumerate(self._rings):
            own = bisect.bisect_left(ring, _position(number, host))
            for step in (-1, 1):
                chosen[ring[(own + step) % len(ring)][1]] = None
        return list(chosen)


def _is_at(ring: list[_Position], index: int, position: _Position) -> bool:
    return index < len(ring) and ring[index] == position


def _position(ring: int, host: str) -> _Position:
    return xxhash.xxh64_intdigest(host.encode(), seed=ring), host
