"""Tell callers which addresses to use."""

from collections.abc import Sequence

from cranberrywall.hosts import HostState, HostView

MOST_ADDRESSES = 64
"""Addresses in an answer: callers read no more."""

_GONE = (HostState.LEAVING,)


def choose_addresses(views: Sequence[HostView], place: str) -> list[str]:
    """Return the addresses of hosts for a caller in ``place``, its own place's first.

    Hosts that leave are never named. Where over half of the others seem dead, it is more likely
    that this host is cut off from them than that they all died: callers may well reach them, so
    all of them are named.
    """
    staying = [view for view in views if view.state not in _GONE and view.http]
    alive = [view for view in staying if view.state is HostState.ALIVE]
    named = alive if len(alive) * 2 >= len(staying) else staying
    named = sorted(named, key=lambda view: (view.place != place, view.host))
    return [view.http for view in named[:MOST_ADDRESSES]]
