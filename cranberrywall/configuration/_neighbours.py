"""Choose the few hosts with which a host exchanges revisions.

The choice is by rendezvous hash, so it changes little when hosts come and go, and each
host ends with about as many connections however many hosts there are.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

import xxhash

LOCAL_NEIGHBOURS = 4
REMOTE_NEIGHBOURS = 2


class Reachable(Protocol):
    """Describe a host that can be called; ``hosts.HostView`` satisfies it."""

    @property
    def host(self) -> str:
        """Return the host's name."""
        ...

    @property
    def place(self) -> str:
        """Return the host's place."""
        ...

    @property
    def links(self) -> str:
        """Return the address of its streams."""
        ...


class Peers(Protocol):
    """List the entry hosts to spread to; ``hosts.Membership`` satisfies it."""

    def alive(self) -> Sequence[Reachable]:
        """Return the hosts believed alive; this one may be among them."""
        ...


class SpreadHost(NamedTuple):
    """Name a process that takes part in the spread, its place and its ``links`` address."""

    host: str
    place: str
    links: str


def choose_neighbours(me: SpreadHost, hosts: Iterable[Reachable]) -> list[SpreadHost]:
    """Return ``me``'s neighbours, most of them in its own place, nearest in hash first.

    Where the place is small, hosts of other places fill its share, and the other way
    round, so that a small fleet is a full mesh.
    """
    ranked = rank_hosts(me, hosts)
    local = [host for host in ranked if host.place == me.place]
    remote = [host for host in ranked if host.place != me.place]
    chosen = local[:LOCAL_NEIGHBOURS] + remote[:REMOTE_NEIGHBOURS]
    rest = local[LOCAL_NEIGHBOURS:] + remote[REMOTE_NEIGHBOURS:]
    return chosen + rest[: LOCAL_NEIGHBOURS + REMOTE_NEIGHBOURS - len(chosen)]


def rank_hosts(me: SpreadHost, hosts: Iterable[Reachable]) -> list[SpreadHost]:
    """Return all hosts but ``me``, in an order that is ``me``'s own and stays."""
    others = [SpreadHost(host.host, host.place, host.links) for host in hosts]
    return sorted(
        (host for host in others if host.host != me.host),
        key=lambda host: xxhash.xxh64_intdigest(f"{me.host}|{host.host}".encode()),
    )
