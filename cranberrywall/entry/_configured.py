"""Read the entry hosts and the policies from the configuration in force."""

from collections.abc import Sequence

from cranberrywall.budgets import BudgetAssignment, EntryHost, SpendPolicy
from cranberrywall.configuration import Configuration
from cranberrywall.hosts import HostState, HostView


class ConfiguredHosts:
    """Take every entry host of the configuration as alive; ``Membership`` of a small fleet.

    Before there is a configuration, ``peers`` of the settings are known by their streams'
    addresses only.
    """

    def __init__(
        self, own: HostView, configuration: Configuration, peers: Sequence[HostView]
    ) -> None:
        self._own = own
        self._configuration = configuration
        self._peers = peers
        self._is_leaving = False

    def leave(self) -> None:
        """Stop naming this host."""
        self._is_leaving = True

    def alive(self) -> Sequence[HostView]:
        """Return the hosts, this one included unless it is leaving."""
        others = [view for view in self._others() if view.host != self._own.host]
        return others if self._is_leaving else [self._own, *others]

    def by_host(self, host: str) -> HostView | None:
        """Return what is known of one host."""
        return next((view for view in self.alive() if view.host == host), None)

    def entry_hosts(self) -> Sequence[EntryHost]:
        """Return all entry hosts of the configuration; none before there is one."""
        hosts = self._configuration.document["hosts"]
        return [
            EntryHost(name, host["place"], host["disk"])
            for name, host in hosts.items()
            if "entry" in host["roles"]
        ]

    def _others(self) -> Sequence[HostView]:
        hosts = self._configuration.document["hosts"]
        configured = [
            HostView(
                host=name,
                place=host["place"],
                links=host["links"],
                http=host.get("http", ""),
                incarnation=0,
                state=HostState.ALIVE,
                load=0.0,
            )
            for name, host in hosts.items()
            if "entry" in host["roles"]
        ]
        return configured or self._peers


MOST_KNOWN_BUDGETS = 64
"""Hosts hold shares of budgets before they are asked for where there are no more than this.

Each costs a host two draws after its start, and memory; what is rarely used here would be of more
use elsewhere."""


class ConfiguredPolicies:
    """Look up each workspace's policy."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def spend_policy(self, workspace: str) -> SpendPolicy:
        """Return the workspace's policy; the default one where it names none."""
        document = self._configuration.document
        named = document["workspaces"].get(workspace)
        policy = document["policies"].get(named["policy"]) if named else None
        if policy is None:
            return SpendPolicy()
        return SpendPolicy(policy["held_back"], policy["isolated"])

    def budget_assignments(self) -> Sequence[BudgetAssignment]:
        """Return the budgets of the configuration; none where there are many."""
        document = self._configuration.document
        if len(document["budgets"]) > MOST_KNOWN_BUDGETS:
            return ()
        workspace_by_budget = {one["budget"]: name for name, one in document["workspaces"].items()}
        return [
            BudgetAssignment(budget, workspace, document["budgets"][budget].get("total", 0))
            for budget, workspace in sorted(workspace_by_budget.items())
        ]

    def allows_isolated_spend(self) -> bool:
        """Say whether any workspace's policy lets a host spend that is alone."""
        policies = self._configuration.document["policies"]
        return any(policy["isolated"] == "spend" for policy in policies.values())
