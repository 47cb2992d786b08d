"""Entry hosts and spend policies from the active configuration."""

from collections.abc import Sequence

from cranberrywall.budgets import BudgetAssignment, EntryHost, SpendPolicy
from cranberrywall.configuration import Configuration
from cranberrywall.hosts import HostState, HostView


class ConfiguredHosts:
    """``Membership`` of a small fleet that treats every configured entry host as alive.

    Before this host has a configuration, it uses ``peers`` from the settings, which have only the
    addresses of their streams.
    """

    def __init__(
        self, own: HostView, configuration: Configuration, peers: Sequence[HostView]
    ) -> None:
        self._own = own
        self._configuration = configuration
        self._peers = peers
        self._is_leaving = False

    def leave(self) -> None:
        """Omit this host from the live hosts from now on."""
        self._is_leaving = True

    def alive(self) -> Sequence[HostView]:
        """Return the live hosts, including this host unless it is leaving."""
        others = [view for view in self._others() if view.host != self._own.host]
        return others if self._is_leaving else [self._own, *others]

    def by_host(self, host: str) -> HostView | None:
        """Return the view of one host, or ``None`` if it is not listed."""
        return next((view for view in self.alive() if view.host == host), None)

    def entry_hosts(self) -> Sequence[EntryHost]:
        """Return all entry hosts of the configuration; none before this host has one."""
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


MAX_ASSIGNED_BUDGETS = 64
"""Maximum number of budgets for which hosts draw allotments before the first request.

Each budget costs a host memory and two draws after its start. An allotment that is rarely used at
one host would be more useful at another."""


class ConfiguredPolicies:
    """Spend policies and budgets of workspaces, from the active configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def spend_policy(self, workspace: str) -> SpendPolicy:
        """Return the workspace's policy, or the default policy if it has none."""
        document = self._configuration.document
        workspace_settings = document["workspaces"].get(workspace)
        policy = (
            document["policies"].get(workspace_settings["policy"]) if workspace_settings else None
        )
        if policy is None:
            return SpendPolicy()
        return SpendPolicy(policy["held_back"], policy["isolated"])

    def configured_total(self, budget: str) -> int:
        """Return the total up to which the configuration credits a budget; 0 if it sets none."""
        settings = self._configuration.document["budgets"].get(budget)
        return settings.get("total", 0) if settings else 0

    def budget_assignments(self) -> Sequence[BudgetAssignment]:
        """Return the budgets of the configuration, or none if it has too many."""
        document = self._configuration.document
        if len(document["budgets"]) > MAX_ASSIGNED_BUDGETS:
            return ()
        workspace_by_budget = {one["budget"]: name for name, one in document["workspaces"].items()}
        return [
            BudgetAssignment(budget, workspace, document["budgets"][budget].get("total", 0))
            for budget, workspace in sorted(workspace_by_budget.items())
        ]

    def allows_isolated_spend(self) -> bool:
        """Return whether any policy lets an isolated host spend."""
        policies = self._configuration.document["policies"]
        return any(policy["isolated"] == "spend" for policy in policies.values())
