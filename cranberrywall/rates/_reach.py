"""Tell which share of the fleet is in reach: so much of a named rate may be given here.

Times are monotonic seconds.
"""

from collections.abc import Callable, Sequence

from cranberrywall.hosts import HostState, HostView

LOST_S = 5.0
"""Hosts that fell silent keep their part of a rate for so long, in seconds. A cut is noticed on its
two sides up to about 3 s apart (a probe, then 2 s of suspicion), and the side that notices last
still gives the whole rate until then."""

LOOK_EVERY_S = 0.2
"""The hosts are looked at so often at most, in seconds; what is believed of them changes no sooner,
and 250 requests for permits a second would each look at all of them."""

_SILENT = (HostState.SUSPECT, HostState.DEAD)


class Reach:
    """Follow which hosts fell silent, without a word that they leave."""

    def __init__(self, views: Callable[[], Sequence[HostView]]) -> None:
        self._views = views
        self._state_by_host: dict[str, HostState] = {}
        self._silent_since_by_host: dict[str, float] = {}
        self._share = 1.0
        self._looked_at = float("-inf")

    def share(self, now: float) -> float:
        """Return the share of a rate that the hosts in reach may use, 0 to 1.

        In a cut, both sides choose a host that gives permits. The one with most of the hosts takes
        the whole rate after ``LOST_S``; the other keeps to its part for as long as the cut lasts,
        so that both together never give half as much again as the target takes.
        """
        if now - self._looked_at >= LOOK_EVERY_S:
            self._looked_at = now
            self._share = self._look(now)
        return self._share

    def _look(self, now: float) -> float:
        views = self._views()
        self._follow(views, now)
        lost = len(self._silent_since_by_host)
        in_reach = max(1, sum(view.state not in _SILENT for view in views))
        if in_reach > lost:
            lost = sum(now - at < LOST_S for at in self._silent_since_by_host.values())
        return in_reach / (in_reach + lost)

    def _follow(self, views: Sequence[HostView], now: float) -> None:
        for view in views:
            before = self._state_by_host.get(view.host)
            self._state_by_host[view.host] = view.state
            if view.state not in _SILENT:
                self._silent_since_by_host.pop(view.host, None)
            elif before in (HostState.ALIVE, HostState.SUSPECT):
                self._silent_since_by_host.setdefault(view.host, now)
        known = {view.host for view in views}
        for host in self._state_by_host.keys() - known:
            del self._state_by_host[host]
            self._silent_since_by_host.pop(host, None)
