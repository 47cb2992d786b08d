"""Run a control host's replicated groups and answer calls to them.

The program knows nothing of what its groups keep: their state machines are given to it.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

from result import Err, Ok, Result

from cranberrywall.control.messages import (
    CHANGE_MEMBER,
    MEMBERS,
    PROPOSE,
    QUERY,
    ChangeMemberReply,
    ChangeMemberRequest,
    MembersReply,
    MembersRequest,
    ProposeReply,
    ProposeRequest,
    QueryReply,
    QueryRequest,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import LinkCaller, LinkServer, Peer, Server
from cranberrywall.observability import log_event
from cranberrywall.replication import (
    GroupSettings,
    InitialMembers,
    Replica,
    StateMachine,
    make_group,
)
from cranberrywall.runtime import Runtime

PROPOSE_S = 10.0
"""How long a command may take to commit, in seconds; callers give up earlier."""


class GroupServer:
    """Answer calls for the groups that this host is a member of."""

    def __init__(self, group_by_name: Mapping[str, Replica]) -> None:
        self.group_by_name = group_by_name

    def register(self, server: Server) -> None:
        """Answer the calls at ``server``."""
        server.register(PROPOSE, self._propose)
        server.register(QUERY, self._query)
        server.register(MEMBERS, self._members)
        server.register(CHANGE_MEMBER, self._change_member)

    async def _propose(self, request: ProposeRequest, peer: Peer) -> Result[ProposeReply, Refusal]:
        group = self._group(request.group)
        if isinstance(group, Err):
            return Err(group.err_value)
        reply = await group.ok_value.propose(request.command, PROPOSE_S)
        return reply.map(ProposeReply)

    async def _query(self, request: QueryRequest, peer: Peer) -> Result[QueryReply, Refusal]:
        group = self._group(request.group)
        if isinstance(group, Err):
            return Err(group.err_value)
        reply = await group.ok_value.query(request.query, PROPOSE_S)
        return reply.map(QueryReply)

    async def _members(self, request: MembersRequest, peer: Peer) -> Result[MembersReply, Refusal]:
        group = self._group(request.group)
        if isinstance(group, Err):
            return Err(group.err_value)
        members, steps = group.ok_value.members(), group.ok_value.steps()
        if isinstance(members, Err):
            return Err(members.err_value)
        return steps.map(lambda listed: MembersReply(tuple(members.ok_value), tuple(listed)))

    async def _change_member(
        self, request: ChangeMemberRequest, peer: Peer
    ) -> Result[ChangeMemberReply, Refusal]:
        group = self._group(request.group)
        if isinstance(group, Err):
            return Err(group.err_value)
        log_event(
            "INFO",
            "member_change_asked",
            by=peer.host,
            group=request.group,
            action=request.action,
            member=request.host,
            new_member=request.new_host,
            forced=request.forced,
        )
        changed = await _change(group.ok_value, request)
        return changed.map(lambda _: ChangeMemberReply())

    def _group(self, name: str) -> Result[Replica, Refusal]:
        group = self.group_by_name.get(name)
        if group is not None:
            return Ok(group)
        remedy = "give every process the same `ledger_groups` as the control hosts"
        return Err(Refusal(ErrorKind.NOT_FOUND, f"no group {name} here", "group", remedy))


async def _change(group: Replica, request: ChangeMemberRequest) -> Result[None, Refusal]:
    if request.action == "add":
        return await group.add(request.host, request.address, PROPOSE_S)
    if request.action == "enlist":
        return await group.enlist(request.host, request.address, PROPOSE_S)
    if request.action == "remove":
        return await group.remove(request.host, PROPOSE_S, request.forced)
    return await group.replace(
        request.host, request.new_host, request.address, PROPOSE_S, request.forced
    )


class ControlHost:
    """Hold one control host's groups and its streams to other processes."""

    def __init__(
        self,
        group_by_name: Mapping[str, Replica],
        server: LinkServer,
        caller: LinkCaller,
    ) -> None:
        self.group_by_name = group_by_name
        self.server = server
        self.caller = caller
        self._failures: dict[str, Refusal] = {}
        self._is_started = False

    async def start(self) -> None:
        """Open the groups' files, then listen; raise ``OSError`` where that fails.

        A group that cannot open its files takes no part, and the others do:
        ``check_started`` names it.
        """
        for name, group in self.group_by_name.items():
            started = await group.start()
            if isinstance(started, Err):
                self._failures[name] = started.err_value
                log_event("ERROR", "group_not_started", group=name, refusal=started.err_value)
        await self.server.start()
        self._is_started = True

    async def hand_over(self) -> None:
        """Let other hosts lead the groups that this one leads, before it stops."""
        await asyncio.gather(*(group.hand_over() for group in self.group_by_name.values()))

    async def stop(self) -> None:
        """Leave the groups and close the streams."""
        self._is_started = False
        for group in self.group_by_name.values():
            await group.stop()
        await self.server.close()
        await self.caller.close()

    def led_groups(self) -> list[str]:
        """Return the groups that this host leads."""
        return [name for name, group in self.group_by_name.items() if group.is_leader]

    def groups_without_leader(self) -> list[str]:
        """Return the groups of which this host hears no leader."""
        return [name for name, group in self.group_by_name.items() if not group.has_leader_contact]

    def members(self) -> list[str]:
        """Return the stream addresses of all groups' members, as this host's logs name them."""
        addresses = [
            address for group in self.group_by_name.values() for address in group.addresses()
        ]
        return list(dict.fromkeys(addresses))

    def check_started(self) -> str | None:
        """Return why a group could not open its files, or ``None``."""
        if not self._failures:
            return None
        return "; ".join(f"{name}: {refusal}" for name, refusal in self._failures.items())

    def check_ready(self) -> str | None:
        """Return why this host does not answer calls yet, or ``None``."""
        if not self._is_started:
            return "the groups are being opened"
        lost = self.groups_without_leader()
        return f"no leader is known of {', '.join(lost)}" if lost else None

    def state(self) -> dict[str, Any]:
        """Return the groups and the streams, for the state dump."""
        groups = {name: group.state() for name, group in self.group_by_name.items()}
        return {"groups": groups, "server": self.server.state(), "caller": self.caller.state()}


def make_control_host(
    host: str,
    founders: InitialMembers,
    machine_by_group: Mapping[str, StateMachine],
    runtime: Runtime,
    caller: LinkCaller,
    server: LinkServer,
    settings: GroupSettings | None = None,
) -> ControlHost:
    """Return a control host that is a member of one group for each state machine.

    ``founders`` form the groups where there are none yet. Raise ``ValueError`` for a
    host without a disk.
    """
    group_by_name = {
        name: make_group(name, founders, host, machine, runtime, caller, server, settings)
        for name, machine in machine_by_group.items()
    }
    GroupServer(group_by_name).register(server)
    return ControlHost(group_by_name, server, caller)
