"""Share of the fleet that this host can reach, and so the share of a rate that it may issue.

Times are monotonic seconds.
"""

from collections.abc import Callable, Sequence

from cranberrywall.hosts import HostState, HostView
from cranberrywall.rates._ranking import coordinator_of
from cranberrywall.targets import Group

LOST_HOST_TTL_S = 5.0
"""Time for which unresponsive hosts keep their share of a rate, in seconds. The two sides of a
network partition notice it up to about 3 s apart (a probe, then 2 s of suspicion), and the side
that notices it last still issues the whole rate until then."""

CHECK_INTERVAL_S = 0.2
"""Minimum interval between checks of the hosts, in seconds. Their states change no faster, and
otherwise each of 250 requests for permits a second would check all hosts."""

MAX_CHECK_GAP_S = 2.0
"""A host that did not check the hosts for this time was frozen, in seconds. Others consider it dead
after that, and one of them may issue its permits. Without a freeze it checks once a second."""

_UNRESPONSIVE_STATES = (HostState.SUSPECT, HostState.DEAD)


class ReachableShare:
    """Track which hosts became unresponsive without announcing that they leave."""

    def __init__(self, host: str, views: Callable[[], Sequence[HostView]]) -> None:
        """``host`` is the name of this host, and ``views`` returns all recorded hosts."""
        self._host = host
        self._views = views
        self._state_by_host: dict[str, HostState] = {}
        self._unresponsive_since_by_host: dict[str, float] = {}
        self._own_view: HostView | None = None
        self._recently_lost: list[HostView] = []
        self._reachable = 1
        self._share_by_group: dict[Group, float] = {}
        self._checked_at = float("-inf")
        self._running_since = float("-inf")

    def share(self, group: Group, now: float) -> float:
        """Return the share of a rate that the reachable hosts may use, 0 to 1.

        In a network partition each side chooses a host that issues permits. The side with most of
        the hosts uses the whole rate: immediately if this host issued the permits of the group
        before, otherwise after ``LOST_HOST_TTL_S``. The other side keeps to its share until the
        partition ends, so that both together issue at most one and a half times what the target
        accepts.
        """
        self.check(now)
        if group not in self._share_by_group:
            self._share_by_group[group] = self._compute(group, now)
        return self._share_by_group[group]

    def check(self, now: float) -> None:
        """Record which hosts are unresponsive; call it once a second at least."""
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        if now - self._checked_at > MAX_CHECK_GAP_S:
            self._running_since = now
        self._checked_at = now
        views = self._views()
        self._update_states(views, now)
        self._reachable = max(1, sum(view.state not in _UNRESPONSIVE_STATES for view in views))
        self._own_view = next((view for view in views if view.host == self._host), None)
        self._recently_lost = [
            view
            for view in views
            if now - self._unresponsive_since_by_host.get(view.host, float("-inf"))
            < LOST_HOST_TTL_S
        ]
        self._share_by_group.clear()

    def _compute(self, group: Group, now: float) -> float:
        lost = len(self._unresponsive_since_by_host)
        if self._reachable > lost:
            lost = len(self._recently_lost) if self._may_another_issue(group, now) else 0
        return self._reachable / (self._reachable + lost)

    def _may_another_issue(self, group: Group, now: float) -> bool:
        """Return whether a lost host may still issue the whole rate.

        That is a host that issued the permits before. It may be any host if this one was not
        running then, or was frozen.
        """
        if self._own_view is None or now - self._running_since < LOST_HOST_TTL_S:
            return True
        candidates = (*self._recently_lost, self._own_view)
        return coordinator_of(group, candidates) is not self._own_view

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
