"""Choose the host that issues the permits of a group; all hosts choose the same one."""

from collections.abc import Iterable

import xxhash

from cranberrywall.hosts import HostView
from cranberrywall.targets import Group


def coordinator_of(group: Group, hosts: Iterable[HostView]) -> HostView | None:
    """Return the host that ranks first by a hash of group and host (rendezvous hashing).

    The groups are distributed over the hosts. When a host joins or leaves, only its own groups
    move.
    """
    return max(hosts, key=lambda view: _rank(group, view.host), default=None)


def _rank(group: Group, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{group.kind}\n{group.name}\n{host}".encode())
