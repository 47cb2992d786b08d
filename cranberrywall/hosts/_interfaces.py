"""Interfaces of membership and gossip for the other packages."""

from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from cranberrywall.hosts.messages import Item
from cranberrywall.observability import Metrics


class HostState(StrEnum):
    """State of a host as this host sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class HostView(NamedTuple):
    """Entry host as this host sees it.

    ``load`` is the share of its capacity in use, 0 to 1, as last received.
    """

    host: str
    place: str
    links: str
    http: str
    incarnation: int
    state: HostState
    load: float


class Membership(Protocol):
    """Tracks which entry hosts are alive.

    A suspicion redirects traffic only. It never moves money.
    """

    def alive(self) -> Sequence[HostView]:
        """Return the hosts that are alive, including this one unless it is leaving."""
        ...

    def by_host(self, host: str) -> HostView | None:
        """Return the view of ``host``, or ``None`` if it is not recorded."""
        ...


class Gossip(Protocol):
    """Disseminates items among the entry hosts, within a limit of bytes."""

    def subscribe(self, topic: str, receive: Callable[[Item], None]) -> None:
        """Call ``receive`` with each new item of ``topic``, including items of this host.

        A topic has at most one receiver, which must return quickly and must not raise.
        """
        ...

    def publish(self, item: Item) -> None:
        """Disseminate ``item``; an item that is not newer than the stored one is dropped."""
        ...

    def items(self, topic: str) -> Sequence[Item]:
        """Return the newest items of ``topic``, without removed ones."""
        ...


class RestorableGossip(Gossip, Protocol):
    """Gossip to which items can be restored after all hosts were lost."""

    def apply(self, item: Item) -> None:
        """Apply ``item`` at this host like ``publish``, without sending it to other hosts."""
        ...


class LiveMembership(Membership, Protocol):
    """Membership with the tasks that one entry host runs for it."""

    @property
    def gossip(self) -> RestorableGossip:
        """Return the gossip over which other packages disseminate items."""
        ...

    @property
    def is_superseded(self) -> bool:
        """Return whether another process with this host's name and a later incarnation was seen."""
        ...

    def all(self) -> Sequence[HostView]:
        """Return all recorded hosts, including dead ones."""
        ...

    def set_load(self, load: float) -> None:
        """Set the share of this host's capacity that is in use, 0 to 1."""
        ...

    def leave(self) -> None:
        """Announce that this host leaves, so that callers use other hosts; it goes on serving."""
        ...

    async def start(self) -> None:
        """Join the fleet through the seeds that answer, and run until ``close``."""
        ...

    async def contact_any(self, links: Sequence[str]) -> None:
        """Synchronize with one host at ``links`` that this host has no contact with."""
        ...

    async def close(self) -> None:
        """Stop the tasks of membership."""
        ...

    def export(self, metrics: Metrics) -> None:
        """Register the metrics of membership: hosts by state, and counts of events."""
        ...

    def state(self) -> dict[str, Any]:
        """Return the hosts and counts for the state dump."""
        ...
