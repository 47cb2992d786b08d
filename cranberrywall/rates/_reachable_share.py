"""Share of the fleet that this host can reach, and so the share of a rate that it may issue.

Times are monotonic seconds.
"""

from collections.abc import Callable, Sequence

from cranberrywall.hosts import HostState, HostView

LOST_HOST_TTL_S = 5.0
"""Time for which unresponsive hosts keep their share of a rate, in seconds. The two sides of a
network partition notice it up to about 3 s apart (a probe, then 2 s of suspicion), and the side
that notices it last still issues the whole rate until then."""

CHECK_INTERVAL_S = 0.2
"""Minimum interval between checks of the hosts, in seconds. Their states change no faster, and
otherwise each of 250 requests for permits a second would check all hosts."""

_UNRESPONSIVE_STATES = (HostState.SUSPECT, HostState.DEAD)


class ReachableShare:
    """Track which hosts became unresponsive without announcing that they leave."""

    def __init__(self, views: Callable[[], Sequence[HostView]]) -> None:
        self._views = views
        self._state_by_host: dict[str, HostState] = {}
        self._unresponsive_since_by_host: dict[str, float] = {}
        self._share = 1.0
        self._checked_at = float("-inf")

    def share(self, now: float) -> float:
        """Return the share of a rate that the reachable hosts may use, 0 to 1.

        In a network partition each side chooses a host that issues permits. The side with most of
        the hosts uses the whole rate after ``LOST_HOST_TTL_S``. The other side keeps to its share
        until the partition ends, so that both together always issue less than one and a half times
        what the target accepts.
        """
        if now - self._checked_at >= CHECK_INTERVAL_S:
            self._checked_at = now
            self._share = self._check(now)
        return self._share

    def _check(self, now: float) -> float:
        views = self._views()
        self._update_states(views, now)
        lost = len(self._unresponsive_since_by_host)
        reachable = max(1, sum(view.state not in _UNRESPONSIVE_STATES for view in views))
        if reachable > lost:
            lost = sum(
                now - at < LOST_HOST_TTL_S for at in self._unresponsive_since_by_host.values()
            )
        return reachable / (reachable + lost)

    def _update_states(self, views: Sequence[HostView], now: float) -> None:
        for view in views:
            previous_state = self._state_by_host.get(view.host)
            self._state_by_host[view.host] = view.state
            if view.state not in _UNRESPONSIVE_STATES:
                self._unresponsive_since_by_host.pop(view.host, None)
            elif previous_state in (HostState.ALIVE, HostState.SUSPECT):
                self._unresponsive_since_by_host.setdefault(view.host, now)
        current_hosts = {view.host for view in views}
        for host in self._state_by_host.keys() - current_hosts:
            del self._state_by_host[host]
            self._unresponsive_since_by_host.pop(host, None)
