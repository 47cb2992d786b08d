"""Bound how long a lost holder was silent, by clocks that may begin anew or jump.

A machine's steady clock tells it exactly, but begins anew where the machine loses its power.
Then the times of day tell: those of other hosts too, since some of them may have been stepped.
"""

from typing import Any, NamedTuple

from cranberrywall.budgets._messages_holders import Contact, Holder

LARGEST_STEP_S = 5.0
"""Steady clock and time of day of a machine differ by less than this while it has power."""

WITNESSES = 9
"""The hosts heard last whose times of day are noted with a contact, that of the host included."""

LEAST_WITNESSES = 3
"""With fewer hosts that tell, one or two stepped clocks could shorten the silence."""


class Heard(NamedTuple):
    """Hold the clocks of a holder as it last told what is kept elsewhere.

    ``walls`` are the times of day of some hosts as of then, by their last words.
    """

    clock: float
    wall: float
    walls: tuple[tuple[str, float], ...] = ()


class _Waiting:
    """Collect what other hosts say after a successor registered, ``up_s`` after its start."""

    def __init__(self, incarnation: int, up_s: float) -> None:
        self.incarnation = incarnation
        self.up_s = up_s
        self.wall_by_host: dict[str, float] = {}


class Silences:
    """Know the hosts' times of day, as their commands tell them."""

    def __init__(self) -> None:
        self._wall_by_host: dict[str, float] = {}
        self._waiting_by_host: dict[str, _Waiting] = {}

    def note(self, host: str, wall: float) -> None:
        """Note a host's time of day: it has sent a command."""
        self._wall_by_host.pop(host, None)
        self._wall_by_host[host] = wall
        for name, waiting in self._waiting_by_host.items():
            if name != host:
                waiting.wall_by_host.setdefault(host, wall)

    def heard(self, contact: Contact) -> Heard:
        """Return what is to be remembered of a contact."""
        walls = list(self._wall_by_host.items())[-WITNESSES:]
        return Heard(contact.clock, contact.wall, tuple(walls))

    def begin(self, successor: Holder, up_s: float) -> None:
        """Begin to listen to others, as a successor registers that was started ``up_s`` ago."""
        waiting = self._waiting_by_host.get(successor.host)
        if waiting is None or waiting.incarnation != successor.incarnation:
            self._waiting_by_host[successor.host] = _Waiting(successor.incarnation, up_s)

    def end(self, host: str) -> None:
        """Listen no more for a host: all is known of its older runs."""
        self._waiting_by_host.pop(host, None)

    def bound(
        self, successor: Holder, heard: Heard, started_clock: float, now: Contact
    ) -> float | None:
        """Return the most that a run was silent before its successor started, in seconds.

        ``heard`` is what the run said last, and ``now`` the contact of the successor. ``None``
        where that is not known, or not yet: more hosts may tell.
        """
        silent_s = started_clock - heard.clock
        by_day_s = now.wall - heard.wall - (now.clock - started_clock)
        if silent_s >= 0.0 and abs(silent_s - by_day_s) < LARGEST_STEP_S:
            return silent_s
        waiting = self._waiting_by_host.get(successor.host)
        if waiting is None or waiting.incarnation != successor.incarnation:
            # What others said after an earlier successor's registration is too old.
            return None
        told = [
            waiting.wall_by_host[name] - wall - waiting.up_s
            for name, wall in heard.walls
            if name in waiting.wall_by_host
        ]
        others = [name for name, _ in heard.walls if name != successor.host]
        if len(told) < max(LEAST_WITNESSES, len(others) // 2 + 1):
            return None
        # A cut may hold other hosts' commands up for its whole length: what they tell is then from
        # before the loss. The machine's own time of day is not, and is only wrong where stepped.
        most_s = max(by_day_s, _upper_quartile(told))
        return most_s if most_s >= 0.0 else None

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [
            list(self._wall_by_host.items()),
            [
                [host, one.incarnation, one.up_s, list(one.wall_by_host.items())]
                for host, one in self._waiting_by_host.items()
            ],
        ]

    def load(self, plain: list[Any]) -> None:
        """Replace the state by one that ``dump`` gave."""
        walls, all_waiting = plain
        self._wall_by_host = dict(walls)
        self._waiting_by_host = {}
        for host, incarnation, up_s, told in all_waiting:
            waiting = self._waiting_by_host[host] = _Waiting(incarnation, up_s)
            waiting.wall_by_host = dict(told)


def _upper_quartile(values: list[float]) -> float:
    """Return a value that a quarter exceeds: fewer than three stepped clocks in four hide none.

    >>> _upper_quartile([1.0, 1.1, 1.2, 1.3, -1.0]), _upper_quartile([1.0, 1.2])
    (1.2, 1.2)
    """
    return sorted(values, reverse=True)[len(values) // 4]
