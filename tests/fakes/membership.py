"""Know the hosts that a test names."""

from collections.abc import Sequence

from cranberrywall.hosts import HostState, HostView


class FixedMembership:
    def __init__(self) -> None:
        self.views: dict[str, HostView] = {}

    def add(self, host: str, http: str = "", links: str = "", place: str = "town-hall") -> None:
        self.views[host] = HostView(host, place, links, http, 1, HostState.ALIVE, 0.0)

    def mark(self, host: str, state: HostState) -> None:
        self.views[host] = self.views[host]._replace(state=state)

    def alive(self) -> Sequence[HostView]:
        return [view for view in self.views.values() if view.state is HostState.ALIVE]

    def all(self) -> Sequence[HostView]:
        return list(self.views.values())

    def by_host(self, host: str) -> HostView | None:
        return self.views.get(host)
