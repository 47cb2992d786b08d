"""Read the entry hosts from membership, where no configuration lists them."""

from collections.abc import Sequence

from cranberrywall.budgets import EntryHost
from cranberrywall.hosts import LiveMembership


class DiscoveredHosts:
    """List the entry hosts that membership knows, those that are down too.

    A host asks all of these what they keep of its earlier runs, so one that is down must
    stay in the list for as long as it may come back. Hosts that nobody lists beforehand are
    taken to be without a disk.
    """

    def __init__(self, membership: LiveMembership) -> None:
        self._membership = membership

    def entry_hosts(self) -> Sequence[EntryHost]:
        """Return all entry hosts known."""
        return [EntryHost(view.host, view.place, False) for view in self._membership.all()]
