"""Tell callers which hosts to use."""

from collections.abc import Sequence
from typing import NamedTuple

from cranberrywall.hosts import HostState, HostView

_OWN_PLACE_FACTOR = 4.0
_LEAST_WEIGHT = 0.05


class CallerAddress(NamedTuple):
    """Name one host for callers; a share ``weight`` of their calls should go to it."""

    url: str
    weight: float
    place: str


def rank_addresses(
    hosts: Sequence[HostView], place: str, scheme: str = "http"
) -> list[CallerAddress]:
    """Return the hosts to use, best first.

    ``scheme`` is how the caller reached this host; the hosts of a fleet serve alike.

    Hosts in ``place`` weigh more, busy ones less; each keeps a little weight, so that
    callers notice when a busy host has become free. Hosts that leave, are suspect or dead
    are not named.

    >>> from cranberrywall.hosts import HostState, HostView
    >>> def view(host, place, state, load):
    ...     return HostView(host, place, "", f"127.0.0.1:{host}", 1, state, load)
    >>> hosts = [view("1", "kranj", HostState.ALIVE, 0.0),
    ...          view("2", "kranj", HostState.LEAVING, 0.0),
    ...          view("3", "domzale", HostState.ALIVE, 0.0)]
    >>> [(address.url, address.weight) for address in rank_addresses(hosts, "domzale")]
    [('http://127.0.0.1:3', 0.8), ('http://127.0.0.1:1', 0.2)]
    """
    raw_by_url: dict[str, tuple[float, str]] = {}
    for view in hosts:
        if view.state is not HostState.ALIVE or not view.http:
            continue
        near = _OWN_PLACE_FACTOR if view.place == place else 1.0
        raw_by_url[f"{scheme}://{view.http}"] = (
            near * max(_LEAST_WEIGHT, 1.0 - view.load),
            view.place,
        )
    total = sum(raw for raw, _ in raw_by_url.values())
    addresses = [
        CallerAddress(url, round(raw / total, 4), host_place)
        for url, (raw, host_place) in raw_by_url.items()
    ]
    return sorted(addresses, key=lambda address: (-address.weight, address.url))
