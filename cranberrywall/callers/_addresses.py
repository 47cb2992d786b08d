"""Tell callers which hosts to use."""

import math
from collections.abc import Iterable, Sequence
from heapq import nsmallest
from typing import NamedTuple

import xxhash

from cranberrywall.hosts import HostState, HostView

MOST_ADDRESSES = 16
"""Addresses in an answer: its size must not grow with the fleet."""

MOST_NEAR = 12
"""Addresses of the caller's place, where others have any: a whole place may be lost."""

_OWN_PLACE_FACTOR = 4.0
_LEAST_WEIGHT = 0.05
_HASHES = 2.0**64


class CallerAddress(NamedTuple):
    """Name one host for callers; a share ``weight`` of their calls should go to it."""

    url: str
    weight: float
    place: str


def rank_addresses(
    hosts: Sequence[HostView], place: str, answering: str, scheme: str = "http"
) -> list[CallerAddress]:
    """Return the hosts to use, best first, ``MOST_ADDRESSES`` of them at most.

    Hosts in ``place`` weigh more, busy ones less; each keeps a little weight, so that
    callers notice when a busy host has become free. Hosts that leave, are suspect or dead
    are not named. In a large fleet each ``answering`` host names a selection of its own,
    by a hash of both names: were all to name the same ones, those would get all callers.
    ``scheme`` is how the caller reached this host; the hosts of a fleet serve alike.

    >>> from cranberrywall.hosts import HostState, HostView
    >>> def view(host, place, state, load):
    ...     return HostView(host, place, "", f"127.0.0.1:{host}", 1, state, load)
    >>> hosts = [view("1", "kranj", HostState.ALIVE, 0.0),
    ...          view("2", "kranj", HostState.LEAVING, 0.0),
    ...          view("3", "domzale", HostState.ALIVE, 0.0)]
    >>> [(address.url, address.weight) for address in rank_addresses(hosts, "domzale", "3")]
    [('http://127.0.0.1:3', 0.8), ('http://127.0.0.1:1', 0.2)]
    """
    usable = [view for view in hosts if view.state is HostState.ALIVE and view.http]
    chosen = _choose(usable, place, answering)
    weights = [_weigh(view, place) for view in chosen]
    total = sum(weights)
    addresses = [
        CallerAddress(f"{scheme}://{view.http}", round(weight / total, 4), view.place)
        for view, weight in zip(chosen, weights, strict=True)
    ]
    return sorted(addresses, key=lambda address: (-address.weight, address.url))


def _choose(usable: Sequence[HostView], place: str, answering: str) -> list[HostView]:
    near = [view for view in usable if view.place == place]
    far = [view for view in usable if view.place != place]
    near_room = max(MOST_NEAR, MOST_ADDRESSES - len(far))
    chosen = _draw(near, near_room, place, answering)
    return chosen + _draw(far, MOST_ADDRESSES - len(chosen), place, answering)


def _draw(views: Iterable[HostView], count: int, place: str, answering: str) -> list[HostView]:
    """Return ``count`` of the hosts, each by chance in proportion to its weight.

    The chance is a hash, so that an answer changes only where a host came or went.
    """

    def arrival(view: HostView) -> float:
        hashed = xxhash.xxh64_intdigest(f"{answering}\n{view.host}".encode()) + 1
        return -math.log(hashed / _HASHES) / _weigh(view, place)

    return nsmallest(count, views, key=arrival)


def _weigh(view: HostView, place: str) -> float:
    near = _OWN_PLACE_FACTOR if view.place == place else 1.0
    return near * max(_LEAST_WEIGHT, 1.0 - view.load)
