"""Define what the other packages read of membership."""

from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from cranberrywall.hosts.messages import Item
from cranberrywall.observability import Metrics


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


class Gossip(Protocol):
    """Pass facts on among the entry hosts, within a budget of bytes."""

    def subscribe(self, topic: str, receive: Callable[[Item], None]) -> None:
        """Call ``receive`` with each item of ``topic`` that is news, own ones included.

        One receiver a topic; it must be quick and not raise.
        """
        ...

    def publish(self, item: Item) -> None:
        """Spread an item; one that is not newer than what is known is dropped."""
        ...

    def items(self, topic: str) -> Sequence[Item]:
        """Return the newest items of a topic, without those that are gone."""
        ...


class LiveMembership(Membership, Protocol):
    """Take part in the membership; the task of one entry host."""

    @property
    def gossip(self) -> Gossip:
        """Return what passes other packages' facts on."""
        ...

    @property
    def is_superseded(self) -> bool:
        """Say whether another process was seen under this host's name, of a later start."""
        ...

    def all(self) -> Sequence[HostView]:
        """Return all hosts known, dead ones too."""
        ...

    def set_load(self, load: float) -> None:
        """Say which share of this host's capacity is in use, 0 to 1."""
        ...

    def leave(self) -> None:
        """Let callers be sent elsewhere from now on; this host goes on serving."""
        ...

    async def start(self) -> None:
        """Join by the seeds, as far as they answer, and take part until ``close``."""
        ...

    async def contact_any(self, links: Sequence[str]) -> None:
        """Compare with one of the hosts at these addresses that this one is out of touch with."""
        ...

    async def close(self) -> None:
        """Stop taking part."""
        ...

    def export(self, metrics: Metrics) -> None:
        """Let ``metrics`` show the hosts by state, and what membership did."""
        ...

    def state(self) -> dict[str, Any]:
        """Return hosts and counts for the state dump."""
        ...
