"""Entry hosts from membership, for fleets whose configuration does not list them."""

from collections.abc import Sequence

from cranberrywall.budgets import EntryHost
from cranberrywall.hosts import HostView, LiveMembership


class DiscoveredHosts:
    """List the entry hosts that membership tracks, including those that are down.

    A host queries all of them for what they store of its earlier incarnations. A host that is
    down must therefore stay in the list for as long as it may return. Hosts that no
    configuration lists are treated as having no disk.
    """

    def __init__(self, membership: LiveMembership) -> None:
        self._membership = membership
        self._views: Sequence[HostView] = ()
        self._entry_hosts: Sequence[EntryHost] = ()

    def entry_hosts(self) -> Sequence[EntryHost]:
        """Return all entry hosts that membership tracks."""
        views = self._membership.all()
        # Membership returns the same list until it changes.
        if views is not self._views:
            self._views = views
            self._entry_hosts = [EntryHost(view.host, view.place, False) for view in views]
        return self._entry_hosts
