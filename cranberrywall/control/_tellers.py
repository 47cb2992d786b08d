"""Share the entry hosts out among the control hosts, so that each is told its news by a few."""

from collections.abc import Callable, Sequence

import xxhash

NOTIFIERS_PER_HOST = 3
"""Control hosts that tell each entry host.

Two of them may be lost at once, and with each of the others a third of all entry hosts would wait
for the next turn of asking."""


class NotifierAssignment:
    """Say which entry hosts fall to one control host; by rendezvous hash, so that few move."""

    def __init__(self, own: str, controls: Callable[[], Sequence[str]]) -> None:
        """``own`` and ``controls`` are addresses of streams; ``own`` may be among the others."""
        self._own = own
        self._controls = controls
        self._among: frozenset[str] = frozenset()
        self._is_mine_by_entry: dict[str, bool] = {}

    def notifies(self, entry: str) -> bool:
        """Say whether the entry host at an address is told by this control host."""
        among = frozenset((self._own, *self._controls()))
        if among != self._among:
            self._among = among
            self._is_mine_by_entry = {}
        is_mine = self._is_mine_by_entry.get(entry)
        if is_mine is None:
            is_mine = self._own in notifiers_of(entry, among)
            self._is_mine_by_entry[entry] = is_mine
        return is_mine


def notifiers_of(entry: str, controls: frozenset[str]) -> list[str]:
    """Return the control hosts that tell an entry host.

    >>> notifiers_of("10.1.0.1:70", frozenset({"10.0.0.1:70"}))
    ['10.0.0.1:70']
    """
    ranked = sorted(
        controls, key=lambda control: xxhash.xxh64_intdigest(f"{control}|{entry}".encode())
    )
    return ranked[:NOTIFIERS_PER_HOST]
