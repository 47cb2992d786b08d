"""Make what ties a control host to hosts that it is not told of: they enrol, and it enlists."""

from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from functools import partial
from typing import Any

from result import Result

from cranberrywall.budgets import BudgetTotal
from cranberrywall.budgets.ledger import CreditUpdater
from cranberrywall.configuration import ConfigurationMachine, SpreadHost
from cranberrywall.control import (
    ChangeMemberReply,
    ChangeMemberRequest,
    ControlContacts,
    ControlHost,
    EnrolledHost,
    Enrolments,
    GroupJoiner,
    MembersClient,
    NotifierAssignment,
    make_control_client,
)
from cranberrywall.errors import Refusal
from cranberrywall.links import Peer
from cranberrywall.replication import GroupSettings, InitialMembers, initial_members_of
from cranberrywall.runtime import Runtime
from cranberrywall.settings import Settings
from cranberrywall.targets import HostIncarnation, TargetRelay

GIVE_UP_S = 10.0
"""A voter that is silent for so long loses its seat, in seconds, where hosts enlist by themselves.

It is longer than a restart or a short cut takes, and costs little where it is wrong: the host
asks for its seat again as soon as it reaches a leader."""

ENLIST_TIMEOUT_S = 2.0

Loop = Callable[[], Coroutine[Any, Any, None]]


def make_initial_members(settings: Settings) -> InitialMembers:
    """Return who forms the groups where there are none yet."""
    own = settings["listen"]["links"]
    seeds = settings.get("seeds")
    if seeds:
        may_form = settings.get("founding", False)
        return InitialMembers(tuple(seeds), own, may_form, may_join_later=True)
    address_by_host = {remote["host"]: remote["links"] for remote in settings["controls"]}
    return initial_members_of(address_by_host, settings["host"])


def make_group_settings(settings: Settings) -> GroupSettings:
    """Return the groups' times; only hosts that enlist by themselves may lose their seats."""
    return GroupSettings(give_up_s=GIVE_UP_S if settings.get("seeds") else None)


class ControlConnections:
    """Hold what a control host knows of hosts beyond its groups, and its client of the groups."""

    def __init__(
        self,
        settings: Settings,
        runtime: Runtime,
        me: Peer,
        host: ControlHost,
        machine: ConfigurationMachine,
    ) -> None:
        self._settings = settings
        self._host = host
        clock, random = runtime.clock, runtime.random
        self.enrolments = Enrolments(host.members, lambda: machine.revision, clock, random)
        self.enrolments.register(host.server)
        self.contacts = self._make_contacts(runtime, me)
        self.tellers = NotifierAssignment(settings["listen"]["links"], self.controls)
        self.client: MembersClient = make_control_client(host.caller, clock, self.controls, random)
        kinds = partial(_target_kinds, machine)
        links = settings["listen"]["links"]
        self.relay = TargetRelay(
            self._entry_runs, host.caller, clock, kinds, self._others, self.tellers.notifies
        )
        self.relay.register(host.server)
        self._enlistment = GroupJoiner(
            me.host, links, host.groups_without_leader, self._enlist, clock
        )

    def controls(self) -> Sequence[str]:
        """Return the control hosts' stream addresses known now."""
        if self.contacts is not None:
            return list(dict.fromkeys((*self._host.members(), *self.contacts.addresses())))
        return [remote["links"] for remote in self._settings["controls"]]

    def alive(self) -> list[SpreadHost]:
        """Return the entry hosts that enrolled; those that are down may be among them."""
        return [
            SpreadHost(entry.host, entry.place, entry.links) for entry in self.enrolments.entries()
        ]

    def loops(self) -> list[Loop]:
        """Return what runs for as long as the process, where the settings name seeds."""
        if self.contacts is None:
            return []
        return [self.contacts.run, self._enlistment.run]

    def _entry_runs(self) -> list[HostIncarnation]:
        return [HostIncarnation(one.links, one.incarnation) for one in self.enrolments.entries()]

    def _others(self) -> list[HostIncarnation]:
        """Return the other control hosts; 0 stands for the incarnation of one not heard of."""
        own = self._settings["listen"]["links"]
        incarnation_by_links = self.enrolments.control_incarnations()
        return [
            HostIncarnation(links, incarnation_by_links.get(links, 0), is_control=True)
            for links in self.controls()
            if links != own
        ]

    def _make_contacts(self, runtime: Runtime, me: Peer) -> ControlContacts | None:
        seeds = self._settings.get("seeds")
        if not seeds:
            return None
        links = self._settings["listen"]["links"]
        own = EnrolledHost(me.host, me.place, links, "", me.incarnation, True)
        return ControlContacts(own, seeds, self._host.caller, runtime.clock, runtime.random)

    async def _enlist(
        self, group: str, host: str, links: str
    ) -> Result[ChangeMemberReply, Refusal]:
        request = ChangeMemberRequest(group, "enlist", host, "", links, False)
        return await self.client.change_member(request, ENLIST_TIMEOUT_S)


def make_credit_updater(
    host: ControlHost, ledgers: Iterable[str], machine: ConfigurationMachine, runtime: Runtime
) -> CreditUpdater:
    """Return what credits the ledgers up to the totals of the configuration."""
    groups = [host.group_by_name[name] for name in ledgers]
    raiser = CreditUpdater(groups, lambda: _totals(machine), runtime.clock)
    machine.watch(raiser.on_configuration_change)
    return raiser


def _totals(machine: ConfigurationMachine) -> list[BudgetTotal]:
    newest = machine.document_at()
    if newest is None:
        return []
    document = newest.checked
    workspace_by_budget = {
        workspace["budget"]: name for name, workspace in document["workspaces"].items()
    }
    return [
        BudgetTotal(name, workspace_by_budget.get(name, name), budget["unit"], budget["total"])
        for name, budget in document["budgets"].items()
        if "total" in budget
    ]


def _target_kinds(machine: ConfigurationMachine) -> Mapping[str, str] | None:
    newest = machine.document_at()
    if newest is None or not newest.revision:
        return None
    document = newest.document
    kind_by_name = dict.fromkeys(document["models"], "engine")
    for name, service in document["services"].items():
        kind_by_name[name] = "engine" if service.get("engine") else "service"
    return kind_by_name
