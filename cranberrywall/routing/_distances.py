"""Estimate how far a target's place is from this host's."""

from cranberrywall.configuration import Configuration

SAME_REGION_S = 0.003
"""Round trip between two places of a region, in seconds."""

OTHER_REGION_S = 0.1
"""Round trip between regions, in seconds."""


class Distances:
    """Read the regions of places from the configuration in force."""

    def __init__(self, configuration: Configuration, place: str) -> None:
        self._configuration = configuration
        self._place = place

    def seconds_to(self, place: str) -> float:
        """Return the estimated round trip to ``place``, in seconds."""
        if place == self._place:
            return 0.0
        if self._region(place) == self._region(self._place):
            return SAME_REGION_S
        return OTHER_REGION_S

    def _region(self, place: str) -> str:
        # A target may announce a place that the configuration doesn't name (yet).
        known = self._configuration.document["places"].get(place)
        return known["region"] if known else ""
