"""Set of the numbers of a rising sequence that have arrived."""

from collections.abc import Iterable

MAX_AHEAD = 4_096
"""How far above the first missing number a number is still recorded; this bounds the memory."""


class NumberSet:
    """Set of numbers from 1: a bound up to which all arrived, and the few numbers above it.

    >>> seen = NumberSet()
    >>> seen.add(2), seen.add(1)
    (True, True)
    >>> seen.through, 2 in seen, seen.add(2)
    (2, True, False)
    """

    __slots__ = ("_above", "through")

    def __init__(self, through: int = 0, above: Iterable[int] = ()) -> None:
        self.through = through
        self._above: set[int] | None = set(above) or None

    def __contains__(self, number: int) -> bool:
        """Return whether ``number`` has arrived; false for any number below 1."""
        return 0 < number <= self.through or (self._above is not None and number in self._above)

    def add(self, number: int) -> bool:
        """Record that ``number`` arrived; return false if it had arrived before.

        A number that is more than ``MAX_AHEAD`` above the first missing one is not recorded.
        """
        if number in self:
            return False
        if number > self.through + MAX_AHEAD:
            return True
        if number != self.through + 1:
            if self._above is None:
                self._above = set()
            self._above.add(number)
            return True
        self.through = number
        self._close_gap()
        return True

    def _close_gap(self) -> None:
        while self._above and self.through + 1 in self._above:
            self.through += 1
            self._above.remove(self.through)
        self._above = self._above or None

    def dump(self) -> tuple[int, list[int]]:
        """Return the set's state, for a snapshot."""
        return self.through, sorted(self._above or ())
