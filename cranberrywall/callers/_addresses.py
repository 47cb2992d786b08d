"""Selection of the entry hosts that callers should use."""

import math
from collections.abc import Iterable, Sequence
from heapq import nsmallest
from typing import NamedTuple

import xxhash

from cranberrywall.hosts import HostState, HostView

MAX_ADDRESSES = 16
"""Maximum number of addresses in an answer, so that its size does not grow with the fleet."""

MAX_LOCAL_ADDRESSES = 12
"""Maximum number of addresses in the caller's place if other places have enough hosts.

The other addresses are for the case that all hosts of the place are lost."""

_OWN_PLACE_FACTOR = 4.0
_MIN_WEIGHT = 0.05
_HASH_RANGE = 2.0**64
"""Number of values of a 64-bit hash."""


class CallerAddress(NamedTuple):
    """Address of one host; ``weight`` is the share of a caller's calls that should go to it."""

    url: str
    weight: float
    place: str


def rank_addresses(
    hosts: Sequence[HostView], place: str, answering_host: str, scheme: str = "http"
) -> list[CallerAddress]:
    """Return the hosts to use, best first, at most ``MAX_ADDRESSES``.

    Hosts in ``place`` have a higher weight, busy hosts a lower one. Each host keeps a minimum
    weight, so that callers notice when a busy host has capacity again. Leaving, suspect and dead
    hosts are omitted.

    In a large fleet, each ``answering_host`` returns a different selection, which depends on a
    hash of its own name and the name of each host. If all returned the same hosts, those would
    receive all callers. ``scheme`` is the one that the caller used; all hosts of a fleet serve
    the same scheme.

    >>> from cranberrywall.hosts import HostState, HostView
    >>> def view(host, place, state, load):
    ...     return HostView(host, place, "", f"127.0.0.1:{host}", 1, state, load)
    >>> hosts = [view("1", "kranj", HostState.ALIVE, 0.0),
    ...          view("2", "kranj", HostState.LEAVING, 0.0),
    ...          view("3", "domzale", HostState.ALIVE, 0.0)]
    >>> [(address.url, address.weight) for address in rank_addresses(hosts, "domzale", "3")]
    [('http://127.0.0.1:3', 0.8), ('http://127.0.0.1:1', 0.2)]
    """
    candidates = [view for view in hosts if view.state is HostState.ALIVE and view.http]
    chosen = _choose(candidates, place, answering_host)
    weights = [_weight_of(view, place) for view in chosen]
    total = sum(weights)
    addresses = [
        CallerAddress(f"{scheme}://{view.http}", round(weight / total, 4), view.place)
        for view, weight in zip(chosen, weights, strict=True)
    ]
    return sorted(addresses, key=lambda address: (-address.weight, address.url))


def _choose(candidates: Sequence[HostView], place: str, answering_host: str) -> list[HostView]:
    local = [view for view in candidates if view.place == place]
    remote = [view for view in candidates if view.place != place]
    max_local = max(MAX_LOCAL_ADDRESSES, MAX_ADDRESSES - len(remote))
    chosen = _sample(local, max_local, place, answering_host)
    return chosen + _sample(remote, MAX_ADDRESSES - len(chosen), place, answering_host)


def _sample(
    views: Iterable[HostView], count: int, place: str, answering_host: str
) -> list[HostView]:
    """Return a weighted random sample of ``count`` hosts.

    The random numbers are hashes of the host names, so an answer changes only when a host joins
    or leaves.
    """

    def sampling_key(view: HostView) -> float:
        hashed = xxhash.xxh64_intdigest(f"{answering_host}\n{view.host}".encode()) + 1
        return -math.log(hashed / _HASH_RANGE) / _weight_of(view, place)

    return nsmallest(count, views, key=sampling_key)


def _weight_of(view: HostView, place: str) -> float:
    local = _OWN_PLACE_FACTOR if view.place == place else 1.0
    return local * max(_MIN_WEIGHT, 1.0 - view.load)
