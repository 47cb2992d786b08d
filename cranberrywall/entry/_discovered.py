"""Entry hosts from membership, for fleets whose configuration does not list them."""

from collections.abc import Sequence

from cranberrywall.budgets import EntryHost
from cranberrywall.hosts import LiveMembership


class DiscoveredHosts:
    """List the entry hosts that membership tracks, including those that are down.

    A host queries all of them for what they store of its earlier incarnations. A host that is
    down must therefore stay in the list for as long as it may return. Hosts that no
    configuration lists are treated as having no disk.
    """

    def __init__(self, membership: LiveMembership) -> None:
        self._membership = membership

    def entry_hosts(self) -> Sequence[EntryHost]:
        """Return all entry hosts that membership tracks."""
        return [EntryHost(view.host, view.place, False) for view in self._membership.all()]
