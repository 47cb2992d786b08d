"""Control host: runs replicated groups and answers calls for them.

It does not depend on what the groups store: the caller passes in their state machines.
"""

import asyncio
from collections.abc import Collection, Mapping
from typing import Any

from result import Err, Ok, Result

from cranberrywall.control.messages import (
    CHANGE_MEMBER,
    FEATURES,
    MEMBERS,
    PROPOSE,
    QUERY,
    SUPPORT,
    ChangeMemberReply,
    ChangeMemberRequest,
    FeaturesReply,
    FeaturesRequest,
    MembersReply,
    MembersRequest,
    ProposeReply,
    ProposeRequest,
    QueryReply,
    QueryRequest,
    SupportReply,
    SupportRequest,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, LinkCaller, LinkServer, Peer, Server
from cranberrywall.observability import log_event
from cranberrywall.replication import (
    GroupSettings,
    InitialMembers,
    MemberView,
    Replica,
    StateMachine,
    make_group,
)
from cranberrywall.runtime import Runtime

GROUP_CALL_TIMEOUT_S = 10.0
"""Time limit for a command or a query in a group, in seconds; callers time out earlier."""


FEATURES_CALL_TIMEOUT_S = 0.5
"""Time limit of a call to another member for the features of its build, in seconds."""


class GroupServer:
    """Answers the calls for the groups that this host is a member of.

    ``features`` are the features of this host's build.
    """

    def __init__(
        self, group_by_name: Mapping[str, Replica], features: Collection[str], caller: Caller
    ) -> None:
        self.group_by_name = group_by_name
        self._features = features
        self._caller = caller

    def register(self, server: Server) -> None:
        """Register the handlers of these calls at ``server``."""
        server.register(PROPOSE, self._propose)
        server.register(QUERY, self._query)
        server.register(MEMBERS, self._members)
        server.register(CHANGE_MEMBER, self._change_member)
        server.register(SUPPORT, self._check_support)
        server.register(FEATURES, self._list_features)

    async def _propose(self, request: ProposeRequest, peer: Peer) -> Result[ProposeReply, Refusal]:
        group = self._group(request.group)
        if isinstance(group, Err):
            return Err(group.err_value)
        reply = await group.ok_value.propose(request.command, GROUP_CALL_TIMEOUT_S)
        return reply.map(ProposeReply)

    async def _query(self, request: QueryRequest, peer: Peer) -> Result[QueryReply, Refusal]:
        group = self._group(request.group)
        if isinstance(group, Err):
            return Err(group.err_value)
        reply = await group.ok_value.query(request.query, GROUP_CALL_TIMEOUT_S)
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

    async def _check_support(
        self, request: SupportRequest, peer: Peer
    ) -> Result[SupportReply, Refusal]:
        group = self._group(request.group)
        if isinstance(group, Err):
            return Err(group.err_value)
        members = group.ok_value.members()
        if isinstance(members, Err):
            return Err(members.err_value)
        answers = await asyncio.gather(
            *(self._has_feature(member, request.feature) for member in members.ok_value)
        )
        return Ok(SupportReply(all(answers)))

    async def _has_feature(self, member: MemberView, feature: str) -> bool:
        if member.is_leader:
            return feature in self._features
        reply = await self._caller.call(
            member.address, FEATURES, FeaturesRequest(), FEATURES_CALL_TIMEOUT_S
        )
        return isinstance(reply, Ok) and feature in reply.ok_value.features

    async def _list_features(
        self, request: FeaturesRequest, peer: Peer
    ) -> Result[FeaturesReply, Refusal]:
        return Ok(FeaturesReply(tuple(sorted(self._features))))

    def _group(self, name: str) -> Result[Replica, Refusal]:
        group = self.group_by_name.get(name)
        if group is not None:
            return Ok(group)
        remedy = "give every process the same `ledger_groups` as the control hosts"
        return Err(Refusal(ErrorKind.NOT_FOUND, f"this host has no group {name}", "group", remedy))


async def _change(group: Replica, request: ChangeMemberRequest) -> Result[None, Refusal]:
    if request.action == "add":
        return await group.add(request.host, request.address, GROUP_CALL_TIMEOUT_S)
    if request.action == "enlist":
        return await group.enlist(request.host, request.address, GROUP_CALL_TIMEOUT_S)
    if request.action == "remove":
        return await group.remove(request.host, GROUP_CALL_TIMEOUT_S, request.forced)
    return await group.replace(
        request.host, request.new_host, request.address, GROUP_CALL_TIMEOUT_S, request.forced
    )


class ControlHost:
    """Groups of one control host and its streams to other processes."""

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
        """Open the files of the groups, then listen; raise ``OSError`` if listening fails.

        A group whose files cannot be opened stays inactive, and the other groups run.
        ``check_started`` reports the inactive group.
        """
        for name, group in self.group_by_name.items():
            started = await group.start()
            if isinstance(started, Err):
                self._failures[name] = started.err_value
                log_event("ERROR", "group_not_started", group=name, refusal=started.err_value)
        await self.server.start()
        self._is_started = True

    async def hand_over(self) -> None:
        """Transfer the leadership of the groups that this host leads, before it stops."""
        await asyncio.gather(*(group.hand_over() for group in self.group_by_name.values()))

    async def stop(self) -> None:
        """Stop the groups on this host and close the streams."""
        self._is_started = False
        for group in self.group_by_name.values():
            await group.stop()
        await self.server.close()
        await self.caller.close()

    def led_groups(self) -> list[str]:
        """Return the names of the groups that this host leads."""
        return [name for name, group in self.group_by_name.items() if group.is_leader]

    def groups_without_leader(self) -> list[str]:
        """Return the names of the groups whose leader this host has no contact with."""
        return [name for name, group in self.group_by_name.items() if not group.has_leader_contact]

    def members(self) -> list[str]:
        """Return the stream addresses of all groups' members, by this host's replicated logs."""
        addresses = [
            address for group in self.group_by_name.values() for address in group.addresses()
        ]
        return list(dict.fromkeys(addresses))

    def check_started(self) -> str | None:
        """Return why groups could not open their files, or ``None`` if all could."""
        if not self._failures:
            return None
        return "; ".join(f"{name}: {refusal}" for name, refusal in self._failures.items())

    def check_ready(self) -> str | None:
        """Return why this host cannot answer calls now, or ``None`` if it can."""
        if not self._is_started:
            return "the groups are being opened"
        groups = self.groups_without_leader()
        return f"no contact with the leader of {', '.join(groups)}" if groups else None

    def state(self) -> dict[str, Any]:
        """Return the state of the groups and the streams, for the state dump."""
        groups = {name: group.state() for name, group in self.group_by_name.items()}
        return {"groups": groups, "server": self.server.state(), "caller": self.caller.state()}


def make_control_host(
    host: str,
    initial_members: InitialMembers,
    machine_by_group: Mapping[str, StateMachine],
    runtime: Runtime,
    caller: LinkCaller,
    server: LinkServer,
    settings: GroupSettings | None = None,
    features: Collection[str] = (),
) -> ControlHost:
    """Return a control host that runs one group for each state machine.

    ``initial_members`` form the groups if these do not exist yet. ``features`` are those of the
    state machines that members of older builds may lack. Raise ``ValueError`` for a host without
    a disk.
    """
    group_by_name = {
        name: make_group(name, initial_members, host, machine, runtime, caller, server, settings)
        for name, machine in machine_by_group.items()
    }
    GroupServer(group_by_name, features, caller).register(server)
    return ControlHost(group_by_name, server, caller)
