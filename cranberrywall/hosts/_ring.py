"""Choose the few hosts with which a host talks, so that its cost does not grow with the fleet.

The hosts of a group stand on four rings, on each in the order of another hash. In a small
group each talks with every other; in a larger one with those before and behind it on each
ring. So each has eight neighbours at most and is the neighbour of just these; a host that
comes or goes changes the neighbours of about eight others; and news crosses the group in a
few steps, since rings of unlike orders bring any two hosts near each other.
"""

import bisect
from collections.abc import Iterable

import xxhash

FULL_MESH_SIZE = 12
DELEGATES = 3
RINGS = 4

_Position = tuple[int, str]


class Rings:
    """Hold the hosts of one group in their orders."""

    def __init__(self, hosts: Iterable[str] = ()) -> None:
        names = set(hosts)
        self._rings: list[list[_Position]] = [
            sorted(_position(ring, name) for name in names) for ring in range(RINGS)
        ]

    def __len__(self) -> int:
        return len(self._rings[0])

    def add(self, host: str) -> None:
        """Put a host on the rings, once."""
        for number, ring in enumerate(self._rings):
            position = _position(number, host)
            index = bisect.bisect_left(ring, position)
            if not _stands_at(ring, index, position):
                ring.insert(index, position)

    def remove(self, host: str) -> None:
        """Take a host off the rings."""
        for number, ring in enumerate(self._rings):
            position = _position(number, host)
            index = bisect.bisect_left(ring, position)
            if _stands_at(ring, index, position):
                del ring[index]

    def delegates(self) -> list[str]:
        """Return the hosts that talk with other groups for this one."""
        return [host for _, host in self._rings[0][:DELEGATES]]

    def neighbours(self, host: str) -> list[str]:
        """Return the hosts with which ``host``, one of the group, talks.

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


def _stands_at(ring: list[_Position], index: int, position: _Position) -> bool:
    return index < len(ring) and ring[index] == position


def _position(ring: int, host: str) -> _Position:
    return xxhash.xxh64_intdigest(host.encode(), seed=ring), host
