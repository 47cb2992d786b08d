"""Entry hosts from membership are listed often: the list is made once for each change."""

from typing import Any

from cranberrywall.entry import DiscoveredHosts
from cranberrywall.hosts import HostState, HostView


class _Membership:
    """Membership that returns the same list until a test replaces it."""

    def __init__(self) -> None:
        self.views: list[HostView] = []

    def all(self) -> list[HostView]:
        return self.views


def make_view(host: str, state: HostState = HostState.ALIVE) -> HostView:
    return HostView(host, "north", f"{host}:1", "", 1, state, 0.0)


def test_a_list_is_made_again_only_after_a_change() -> None:
    """Each look at 40 budgets made a list of 191 hosts anew."""
    membership: Any = _Membership()
    discovered = DiscoveredHosts(membership)
    membership.views = [make_view("a"), make_view("b", HostState.DEAD)]
    first = discovered.entry_hosts()
    assert [one.host for one in first] == ["a", "b"]
    assert discovered.entry_hosts() is first
    membership.views = [make_view("a")]
    assert [one.host for one in discovered.entry_hosts()] == ["a"]
