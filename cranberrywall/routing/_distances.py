"""Estimate the network distance of a target's place from this host's place."""

from cranberrywall.configuration import Configuration

SAME_REGION_S = 0.003
"""Round-trip time between two places of a region, in seconds."""

OTHER_REGION_S = 0.1
"""Round-trip time between regions, in seconds."""


class Distances:
    """Estimate distances from the regions of places in the active configuration."""

    def __init__(self, configuration: Configuration, place: str) -> None:
        self._configuration = configuration
        self._place = place

    def seconds_to(self, place: str) -> float:
        """Return the estimated round-trip time to ``place``, in seconds."""
        if place == self._place:
            return 0.0
        if self._region(place) == self._region(self._place):
            return SAME_REGION_S
        return OTHER_REGION_S

    def _region(self, place: str) -> str:
        # A target may announce a place that the configuration does not (yet) contain.
        found = self._configuration.document["places"].get(place)
        return found["region"] if found else ""
