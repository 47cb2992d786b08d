"""Upper bound of the time between a lost holder's last contact and its successor's start.

A machine's monotonic clock gives this time exactly, but restarts if the machine loses power. In
that case wall clocks are compared instead. The wall clocks of other hosts are included, because
some clocks may have been stepped.
"""

from typing import Any, NamedTuple

from cranberrywall.budgets._messages_holders import Contact, Holder
from cranberrywall.observability import log_event

MAX_CLOCK_DIFFERENCE_S = 5.0
"""Maximum difference in seconds between a machine's monotonic clock and its wall clock.

It holds while the machine has power and its wall clock is not stepped. A larger difference means
that the monotonic clock restarted or that the wall clock was stepped.
"""

MAX_REFERENCE_HOSTS = 9
"""Number of recently seen hosts, the holder's own included, whose wall clocks are stored with a
contact.
"""

MIN_REFERENCE_HOSTS = 3
"""Minimum number of hosts whose clocks are compared: among fewer, one or two stepped clocks could
make the time too short.
"""


class LastContact(NamedTuple):
    """Clocks of a holder at its last contact.

    ``walls`` are the wall clocks of recently seen hosts at that time, each from the host's own
    latest command.
    """

    clock: float
    wall: float
    walls: tuple[tuple[str, float], ...] = ()


class _Recording:
    """Wall clocks that other hosts report after a successor registered.

    ``uptime_s`` is the time in seconds from the successor's start to its registration.
    """

    def __init__(self, incarnation: int, uptime_s: float) -> None:
        self.incarnation = incarnation
        self.uptime_s = uptime_s
        self.wall_by_host: dict[str, float] = {}


class ContactGaps:
    """Wall clocks of the hosts, as their commands report them."""

    def __init__(self) -> None:
        self._wall_by_host: dict[str, float] = {}
        self._recording_by_host: dict[str, _Recording] = {}

    def record_wall(self, host: str, wall: float) -> None:
        """Record a host's wall clock from a command of the host."""
        self._wall_by_host.pop(host, None)
        self._wall_by_host[host] = wall
        for name, recording in self._recording_by_host.items():
            if name != host:
                recording.wall_by_host.setdefault(host, wall)

    def last_contact(self, contact: Contact) -> LastContact:
        """Return the clocks to store with a contact."""
        walls = list(self._wall_by_host.items())[-MAX_REFERENCE_HOSTS:]
        return LastContact(contact.clock, contact.wall, tuple(walls))

    def start_recording(self, successor: Holder, uptime_s: float) -> None:
        """Start recording other hosts' clocks; the successor was started ``uptime_s`` ago."""
        recording = self._recording_by_host.get(successor.host)
        if recording is None or recording.incarnation != successor.incarnation:
            self._recording_by_host[successor.host] = _Recording(successor.incarnation, uptime_s)

    def stop_recording(self, host: str) -> None:
        """Stop recording other hosts' clocks for ``host``: its older incarnations are released."""
        self._recording_by_host.pop(host, None)

    def bound_gap(
        self, successor: Holder, last: LastContact, started_clock: float, now: Contact
    ) -> float | None:
        """Return the longest time, in seconds, from the last contact to the successor's start.

        ``last`` has the clocks of the lost incarnation's last contact, and ``now`` is the contact
        of the successor. The result is ``None`` if the time is unknown, or if more hosts must
        report their clocks first.
        """
        gap_s = started_clock - last.clock
        wall_gap_s = now.wall - last.wall - (now.clock - started_clock)
        if gap_s >= 0.0 and abs(gap_s - wall_gap_s) < MAX_CLOCK_DIFFERENCE_S:
            return gap_s
        recording = self._recording_by_host.get(successor.host)
        if recording is None or recording.incarnation != successor.incarnation:
            # Clocks that were recorded after an earlier successor's registration are out of date.
            return None
        gaps_s = [
            recording.wall_by_host[name] - wall - recording.uptime_s
            for name, wall in last.walls
            if name in recording.wall_by_host
        ]
        others = [name for name, _ in last.walls if name != successor.host]
        if len(gaps_s) < max(MIN_REFERENCE_HOSTS, len(others) // 2 + 1):
            return None
        # A network partition may delay other hosts' commands until it ends. Their clocks are then
        # from before the loss and give too short a time. The machine's own wall clock is current,
        # and is wrong only if it was stepped, so the longer time counts.
        others_gap_s = _upper_quartile(gaps_s)
        max_gap_s = max(wall_gap_s, others_gap_s)
        log_event(
            "INFO",
            "contact_gap_from_wall_clocks",
            host=successor.host,
            own_s=wall_gap_s,
            others_s=others_gap_s,
            clocks=len(gaps_s),
        )
        return max_gap_s if max_gap_s >= 0.0 else None

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [
            list(self._wall_by_host.items()),
            [
                [
                    host,
                    recording.incarnation,
                    recording.uptime_s,
                    list(recording.wall_by_host.items()),
                ]
                for host, recording in self._recording_by_host.items()
            ],
        ]

    def load(self, plain: list[Any]) -> None:
        """Replace the state with one that ``dump`` returned."""
        walls, recordings = plain
        self._wall_by_host = dict(walls)
        self._recording_by_host = {}
        for host, incarnation, uptime_s, reported in recordings:
            recording = self._recording_by_host[host] = _Recording(incarnation, uptime_s)
            recording.wall_by_host = dict(reported)


def _upper_quartile(values: list[float]) -> float:
    """Return the value that a quarter of ``values`` exceed.

    The result is not too low unless at least three clocks in four were stepped.

    >>> _upper_quartile([1.0, 1.1, 1.2, 1.3, -1.0]), _upper_quartile([1.0, 1.2])
    (1.2, 1.2)
    """
    return sorted(values, reverse=True)[len(values) // 4]
