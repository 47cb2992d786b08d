"""Places whose targets get no requests because an operator ordered their evacuation."""

from collections.abc import Iterable
from typing import NamedTuple

from cranberrywall.configuration import Configuration, evacuated_places
from cranberrywall.observability import log_event
from cranberrywall.targets import Announcement


class SplitTargets(NamedTuple):
    """Targets of one group: those that may get requests, and those in evacuated places."""

    usable: list[Announcement]
    evacuated: list[Announcement]


class EvacuatedPlaces:
    """Evacuated places according to the configuration in force."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._revision = -1
        self._places: frozenset[str] = frozenset()
        self.applied: frozenset[str] = frozenset()

    def places(self) -> frozenset[str]:
        """Return the evacuated places."""
        # Requests check this often, and the configuration changes rarely.
        if self._configuration.revision != self._revision:
            self._revision = self._configuration.revision
            self._places = evacuated_places(self._configuration.document)
        return self._places

    def refresh(self, wall_now: float) -> bool:
        """Return whether an evacuation started or ended since the last call, and log which.

        ``wall_now`` is in seconds since the epoch.
        """
        changed = self.applied ^ self.places()
        self.applied = self.places()
        orders = self._configuration.document.get("evacuations", {})
        for place in sorted(changed & orders.keys()):
            order = orders[place]
            log_event(
                "INFO",
                "evacuation_applied",
                place=place,
                active=order["is_active"],
                by=order["operator"],
                revision=order["revision"],
                age_s=round(wall_now - order["at"], 3),
            )
        return bool(changed)

    def split(self, announcements: Iterable[Announcement]) -> SplitTargets:
        """Return the targets apart: those that may get requests, and the evacuated ones."""
        places = self.places()
        targets = SplitTargets([], [])
        for announcement in announcements:
            part = targets.evacuated if announcement.place in places else targets.usable
            part.append(announcement)
        return targets
