"""Hold what this host knows of each target that it may choose."""

from cranberrywall.targets import Announcement


class Candidate:
    """Count this host's own use of one target."""

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.in_flight = 0

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.announcement.target

    @property
    def has_room(self) -> bool:
        """Say whether one more request may go to the target."""
        return self.in_flight < self.announcement.capacity

    def serves(self, version: str, adapter: str) -> bool:
        """Say whether the target has the version and the adapter; empty asks for none."""
        if version and version not in self.announcement.versions:
            return False
        return not adapter or adapter in self.announcement.adapters
