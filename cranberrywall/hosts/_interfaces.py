"""Define what the other packages read of membership."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol


class HostState(StrEnum):
    """Say what this host believes of another."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class HostView(NamedTuple):
    """Describe an entry host as this one knows it.

    ``load`` is its share of capacity in use, 0 to 1, as last heard.
    """

    host: str
    place: str
    links: str
    http: str
    incarnation: int
    state: HostState
    load: float


class Membership(Protocol):
    """Know which entry hosts are alive; suspicion moves traffic and never money."""

    def alive(self) -> Sequence[HostView]:
        """Return the hosts that are alive, this one included unless it is leaving."""
        ...

    def by_host(self, host: str) -> HostView | None:
        """Return what is known of one host."""
        ...
