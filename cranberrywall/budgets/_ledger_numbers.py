"""Remember which numbers of a rising sequence have arrived."""

from collections.abc import Iterable

MAX_AHEAD = 4_096
"""How far past the first missing number one is remembered; it bounds the memory."""


class NumberSet:
    """Hold numbers from 1 as a mark below which all arrived, and the few above it.

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
        """Say whether ``number`` has arrived; numbers below 1 never do."""
        return 0 < number <= self.through or (self._above is not None and number in self._above)

    def add(self, number: int) -> bool:
        """Note that ``number`` arrived; return false where it had arrived before.

        One that is more than ``MAX_AHEAD`` past the first missing number is not kept.
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
