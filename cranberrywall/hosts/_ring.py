"""Choose the few hosts with which a host talks, so that its cost does not grow with the fleet.

All hosts of a group stand on a ring in the order of their hashes. In a small group each talks
with every other; in a larger one with those 1, 2, 4, 8, … steps away in either direction. So
each host has about ``2 * log2(size)`` neighbours, is the neighbour of just these, and news
crosses the group in about ``log2(size) / 2`` steps.
"""

import bisect
from collections.abc import Iterable

import xxhash

FULL_MESH_SIZE = 12
DELEGATES = 3

_Position = tuple[int, str]


class Ring:
    """Hold the hosts of one group in the order of their hashes."""

    def __init__(self, hosts: Iterable[str] = ()) -> None:
        self._positions: list[_Position] = sorted(map(_position, hosts))

    def __len__(self) -> int:
        return len(self._positions)

    def add(self, host: str) -> None:
        """Put a host on the ring, once."""
        position = _position(host)
        index = bisect.bisect_left(self._positions, position)
        if not self._stands_at(index, position):
            self._positions.insert(index, position)

    def remove(self, host: str) -> None:
        """Take a host off the ring."""
        position = _position(host)
        index = bisect.bisect_left(self._positions, position)
        if self._stands_at(index, position):
            del self._positions[index]

    def delegates(self) -> list[str]:
        """Return the hosts that talk with other groups for this one."""
        return [host for _, host in self._positions[:DELEGATES]]

    def neighbours(self, host: str) -> list[str]:
        """Return the hosts with which ``host``, one of the group, talks, nearest first.

        >>> Ring(["a", "b"]).neighbours("a")
        ['b']
        >>> len(Ring(f"host-{number}" for number in range(128)).neighbours("host-0"))
        13
        """
        size = len(self._positions)
        own = bisect.bisect_left(self._positions, _position(host))
        steps = _steps(size)
        chosen = dict.fromkeys(self._positions[(own + step) % size][1] for step in steps)
        return list(chosen)

    def _stands_at(self, index: int, position: _Position) -> bool:
        return index < len(self._positions) and self._positions[index] == position


def _steps(size: int) -> Iterable[int]:
    if size <= FULL_MESH_SIZE:
        return range(1, size)
    powers = [1 << exponent for exponent in range((size // 2).bit_length())]
    return [step for power in powers for step in (power, -power)]


def _position(host: str) -> _Position:
    return xxhash.xxh64_intdigest(host.encode()), host
