"""Static membership from settings, for tests and for a fleet of one host."""

from collections.abc import Sequence

from cranberrywall.hosts._interfaces import HostState, HostView, Membership


def make_static_membership(own: HostView, others: Sequence[HostView]) -> Membership:
    """Return a membership whose views never change."""
    return _StaticMembership((own, *others))


class _StaticMembership:
    def __init__(self, hosts: Sequence[HostView]) -> None:
        self._view_by_host = {view.host: view for view in hosts}

    def alive(self) -> Sequence[HostView]:
        return [view for view in self._view_by_host.values() if view.state is HostState.ALIVE]

    def by_host(self, host: str) -> HostView | None:
        return self._view_by_host.get(host)
