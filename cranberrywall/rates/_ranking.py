"""Choose the host that gives a group's permits, the same one on all hosts."""

from collections.abc import Iterable

import xxhash

from cranberrywall.hosts import HostView
from cranberrywall.targets import Group


def first_host(group: Group, hosts: Iterable[HostView]) -> HostView | None:
    """Return the host that ranks first by a hash of group and host (rendezvous hashing).

    Groups are spread over the hosts, and where a host comes or goes only its own groups move.
    """
    return max(hosts, key=lambda view: _rank(group, view.host), default=None)


def _rank(group: Group, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{group.kind}\n{group.name}\n{host}".encode())
