"""Assignment of entry hosts to the few control hosts that notify them of updates."""

from collections.abc import Callable, Sequence

import xxhash

NOTIFIERS_PER_HOST = 3
"""Number of control hosts that notify each entry host.

Two of them may be lost at the same time. With fewer, the loss of a control host can leave a third
of all entry hosts without updates until their next poll."""


class NotifierAssignment:
    """Entry hosts that one control host notifies.

    Rendezvous hashing keeps most assignments unchanged when a control host is added or removed.
    """

    def __init__(self, own: str, controls: Callable[[], Sequence[str]]) -> None:
        """``own`` and ``controls`` are stream addresses; ``controls`` may contain ``own``."""
        self._own = own
        self._controls = controls
        self._control_addresses: frozenset[str] = frozenset()
        self._is_assigned_by_entry: dict[str, bool] = {}

    def notifies(self, entry: str) -> bool:
        """Return whether this control host notifies the entry host at the address ``entry``."""
        control_addresses = frozenset((self._own, *self._controls()))
        if control_addresses != self._control_addresses:
            self._control_addresses = control_addresses
            self._is_assigned_by_entry = {}
        is_assigned = self._is_assigned_by_entry.get(entry)
        if is_assigned is None:
            is_assigned = self._own in notifiers_of(entry, control_addresses)
            self._is_assigned_by_entry[entry] = is_assigned
        return is_assigned


def notifiers_of(entry: str, controls: frozenset[str]) -> list[str]:
    """Return the control hosts that notify an entry host.

    >>> notifiers_of("10.1.0.1:70", frozenset({"10.0.0.1:70"}))
    ['10.0.0.1:70']
    """
    ranked = sorted(
        controls, key=lambda control: xxhash.xxh64_intdigest(f"{control}|{entry}".encode())
    )
    return ranked[:NOTIFIERS_PER_HOST]
