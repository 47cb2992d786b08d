"""Change a group's members, one at a time, from its leader.

A new member, and one whose disk was wiped, starts as a learner. It gets its vote once it
has caught up; only then is the host that it replaces removed.
"""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.replication._core import Core
from cranberrywall.replication._leadership import Leadership
from cranberrywall.replication._rosters import (
    describe,
    encode_roster,
    find_member,
    voters,
    with_member,
    without_host,
)
from cranberrywall.replication.checks import (
    MemberView,
    check_add,
    check_remove,
    check_replace,
)
from cranberrywall.replication.messages import EntryKind, IdentifyRequest, Member, Roster

_LEAST_VOTERS_LEFT_BY_ITSELF = 2
_LEAST_VOTERS_AFTER_A_LOSS = 3
_CHANGE_TIMEOUT_S = 10.0


class MemberChanges:
    """Add, remove and replace members, and finish the steps that follow by themselves."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._following_step: asyncio.Task[None] | None = None

    def tick(self, leadership: Leadership, now: float) -> None:
        """Take the next step that follows by itself, where one is due."""
        core = self._core
        if not leadership.is_active or self._in_progress(leadership):
            return
        if core.member is None or not core.member.voter:
            core.step_down("this host was removed from the voters")
            return
        if self._following_step is not None and not self._following_step.done():
            return
        roster = self._next_roster(leadership, now)
        if roster is not None:
            self._following_step = core.spawn(self._take(leadership, roster))

    def view(self, leadership: Leadership, now: float) -> list[MemberView]:
        """Return the members as the leader sees them."""
        core = self._core
        views: list[MemberView] = []
        for member in core.log.roster.members:
            peer = leadership.peer_by_host.get(member.host)
            is_leader = member.host == core.host
            matched = core.log.last_index if peer is None else peer.match_index
            answers = is_leader or (peer is not None and peer.answers_at(now))
            views.append(
                MemberView(
                    member.host,
                    member.address,
                    member.voter,
                    is_leader,
                    answers,
                    peer is not None and peer.found_disk not in ("", member.disk),
                    core.log.last_index - matched,
                )
            )
        return views

    async def add(
        self, leadership: Leadership, host: str, address: str, deadline: float, replaces: str = ""
    ) -> Result[None, Refusal]:
        """Add ``host`` as a learner that will become a voter, in place of ``replaces``."""
        core = self._core
        views = self.view(leadership, core.clock.now())
        refusal = check_add(views, host)
        if refusal is not None:
            return Err(refusal)
        timeout = core.settings.election_s
        request = IdentifyRequest(())
        reply = await core.caller.call(address, core.methods.identify, request, timeout)
        if isinstance(reply, Err):
            return Err(reply.err_value._replace(field="address"))
        if reply.ok_value.lineage not in ("", core.lineage):
            remedy = "empty its data folder if that group is given up"
            message = f"{host} holds the data of another group"
            return Err(Refusal(ErrorKind.CONFLICT, message, "host", remedy))
        learner = Member(host, address, reply.ok_value.disk, False, replaces)
        return await self._change(leadership, lambda roster: with_member(roster, learner), deadline)

    async def enlist(
        self, leadership: Leadership, host: str, address: str, deadline: float
    ) -> Result[None, Refusal]:
        """Take in a host that asks for itself, as a learner; members are left as they are.

        A member that asks from another address has moved. It keeps its vote only where it
        kept its disk, since the roster names members by both.
        """
        member = find_member(self._core.log.roster, host)
        if member is None:
            return await self.add(leadership, host, address, deadline)
        if member.address == address:
            return Ok(None)
        reply = await self._core.caller.call(
            address,
            self._core.methods.identify,
            IdentifyRequest(()),
            self._core.settings.election_s,
        )
        if isinstance(reply, Err):
            return Err(reply.err_value._replace(field="address"))
        kept_disk = reply.ok_value.disk == member.disk
        moved = Member(host, address, reply.ok_value.disk, member.voter and kept_disk)
        changed = with_member(self._core.log.roster, moved)
        if len(voters(changed)) < _LEAST_VOTERS_LEFT_BY_ITSELF:
            message = f"without {host} fewer than {_LEAST_VOTERS_LEFT_BY_ITSELF} voters are left"
            return Err(Refusal(ErrorKind.UNSAFE_STEP, message, "host", "rescue the group instead"))
        return await self._change(leadership, lambda roster: with_member(roster, moved), deadline)

    async def remove(
        self, leadership: Leadership, host: str, deadline: float, forced: bool
    ) -> Result[None, Refusal]:
        """Remove ``host``; ``forced`` takes a step that the checks call unsafe."""
        refusal = check_remove(self.view(leadership, self._core.clock.now()), host)
        if refusal is not None and not _may_force(refusal, forced):
            return Err(refusal)
        return await self._change(leadership, lambda roster: without_host(roster, host), deadline)

    async def replace(
        self,
        leadership: Leadership,
        old: str,
        new: str,
        address: str,
        deadline: float,
        forced: bool,
    ) -> Result[None, Refusal]:
        """Add ``new``, which takes the place of ``old`` once it has caught up."""
        refusal = check_replace(self.view(leadership, self._core.clock.now()), old)
        if refusal is not None and not _may_force(refusal, forced):
            return Err(refusal)
        return await self.add(leadership, new, address, deadline, replaces=old)

    def _in_progress(self, leadership: Leadership) -> bool:
        # Two rosters that differ by one member have a majority in common, but only if the
        # older one is committed, and committed in a term whose leader has made an entry:
        # otherwise two leaders could each count a majority of their own.
        core = self._core
        return core.commit_index < max(leadership.first_index, core.log.roster_index)

    async def _change(
        self, leadership: Leadership, change: Callable[[Roster], Roster], deadline: float
    ) -> Result[None, Refusal]:
        if self._in_progress(leadership) or not leadership.is_active:
            return Err(
                Refusal(
                    ErrorKind.UNSAFE_STEP,
                    "another change of the members is not committed yet",
                    remedy="wait a moment and look at the members again",
                )
            )
        roster = change(self._core.log.roster)
        committed = await leadership.propose(EntryKind.ROSTER, encode_roster(roster), deadline)
        if isinstance(committed, Err):
            return Err(committed.err_value)
        members = ",".join(describe(member) for member in roster.members)
        self._core.event("members_changed", members=members)
        return Ok(None)

    async def _take(self, leadership: Leadership, roster: Roster) -> None:
        deadline = self._core.clock.now() + _CHANGE_TIMEOUT_S
        await self._change(leadership, lambda _: roster, deadline)

    def _next_roster(self, leadership: Leadership, now: float) -> Roster | None:
        """Return the roster of the next step that follows by itself, if there is one."""
        roster = self._core.log.roster
        for member in roster.members:
            changed = (
                self._with_new_disk(leadership, member)
                or self._with_vote(leadership, member, now)
                or self._without_replaced(member)
                or self._without_lost(leadership, member, now)
            )
            if changed is not None:
                return changed
        return None

    def _with_new_disk(self, leadership: Leadership, member: Member) -> Roster | None:
        # A wiped disk has forgotten its votes and what it acknowledged. If it kept its
        # vote, an empty log could win together with one host that is behind.
        peer = leadership.peer_by_host.get(member.host)
        if peer is None or peer.found_disk in ("", member.disk):
            return None
        roster = self._core.log.roster
        learner = Member(member.host, member.address, peer.found_disk, False, member.replaces)
        changed = with_member(roster, learner)
        if member.voter and len(voters(changed)) < _LEAST_VOTERS_LEFT_BY_ITSELF:
            return None
        return changed

    def _with_vote(self, leadership: Leadership, member: Member, now: float) -> Roster | None:
        peer = leadership.peer_by_host.get(member.host)
        if member.voter or peer is None or not peer.answers_at(now):
            return None
        lag = self._core.log.last_index - peer.match_index
        if peer.match_index < leadership.first_index or lag > self._core.settings.promotion_lag:
            return None
        return with_member(self._core.log.roster, member._replace(voter=True))

    def _without_replaced(self, member: Member) -> Roster | None:
        roster = self._core.log.roster
        if not member.voter or not member.replaces:
            return None
        if find_member(roster, member.replaces) is None:
            return None
        return without_host(roster, member.replaces)

    def _without_lost(self, leadership: Leadership, member: Member, now: float) -> Roster | None:
        """Take the seat of a voter that seems gone for good; it asks anew should it come back.

        The group keeps enough voters that the loss of one more doesn't stop it. Removing is
        safe at any time: it is committed by a majority of the voters there were.
        """
        core = self._core
        give_up_s = core.settings.give_up_s
        peer = leadership.peer_by_host.get(member.host)
        if give_up_s is None or peer is None or not member.voter:
            return None
        if len(voters(core.log.roster)) % 2 == 0:
            give_up_s = min(give_up_s, core.settings.give_up_even_s)
        if now - peer.acked_at < give_up_s:
            return None
        left = [view for view in self.view(leadership, now) if view.voter and view.answers]
        if len(left) < _LEAST_VOTERS_AFTER_A_LOSS:
            return None
        core.event("voter_given_up", "WARNING", lost=member.host, silent_s=now - peer.acked_at)
        return without_host(core.log.roster, member.host)


def _may_force(refusal: Refusal, forced: bool) -> bool:
    return forced and refusal.kind is ErrorKind.UNSAFE_STEP
