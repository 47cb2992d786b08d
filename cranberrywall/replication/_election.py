"""Elect leaders: trial votes, votes, and the campaign of a member that hears no leader."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import Peer
from cranberrywall.replication._core import Core, Role
from cranberrywall.replication._rosters import majority, voters
from cranberrywall.replication.messages import (
    HandOverReply,
    HandOverRequest,
    Member,
    VoteReply,
    VoteRequest,
)


class Elections:
    """Vote for others, and campaign when no leader is heard."""

    def __init__(self, core: Core, on_won: Callable[[], Awaitable[None]]) -> None:
        self._core = core
        self._on_won = on_won
        self._campaign: asyncio.Task[None] | None = None

    def tick(self, now: float) -> None:
        """Start a campaign where one is due."""
        core = self._core
        if core.campaign_at - now > 2 * core.settings.election_s:
            # The clock went back: the time chosen would be too far ahead.
            core.put_off_campaign(now)
        if core.failure or core.role is Role.LEADER or now < core.campaign_at:
            return
        if core.member is None or not core.member.voter:
            return
        if self._campaign is None or self._campaign.done():
            core.put_off_campaign(now)
            self._campaign = core.spawn(self._run())

    async def take_over(
        self, request: HandOverRequest, peer: Peer
    ) -> Result[HandOverReply, Refusal]:
        """Campaign at once, as the leader of this term asks."""
        core = self._core
        if core.failure is not None:
            return Err(core.failure)
        header = request.header
        is_lawful = header.term == core.term and header.sender == core.leader
        is_voter = core.member is not None and core.member.voter
        if core.is_for_another(header) or not is_lawful or not is_voter:
            return Ok(HandOverReply(False))
        if self._campaign is None or self._campaign.done():
            self._campaign = core.spawn(self._run(invited=True))
        return Ok(HandOverReply(True))

    async def answer(self, request: VoteRequest, peer: Peer) -> Result[VoteReply, Refusal]:
        """Answer a candidate."""
        core = self._core
        async with core.lock:
            if core.failure is not None:
                return Err(core.failure)
            if core.is_for_another(request.header) or not core.vote.disk:
                return Ok(VoteReply(core.term, False))
            # While a leader is heard, a candidate is one that was cut off, or was
            # removed; its term would only disturb the others, so it is not taken over.
            if core.has_leader_contact(core.clock.now()) and not request.invited:
                return Ok(VoteReply(core.term, False))
            if request.trial:
                granted = self._may_vote(request) and self._is_as_new(request)
                return Ok(VoteReply(core.term, granted))
            return await self._vote(request)

    async def _vote(self, request: VoteRequest) -> Result[VoteReply, Refusal]:
        core = self._core
        header = request.header
        if header.term < core.term:
            return Ok(VoteReply(core.term, False))
        if header.term > core.term:
            core.step_down(f"{header.sender} campaigns in term {header.term}")
            core.leader = ""
        granted = self._may_vote(request) and self._is_as_new(request)
        voted_for = header.sender if granted else ""
        if header.term > core.term or granted:
            lineage = core.vote.lineage or header.lineage
            saved = await core.save_vote(header.term, voted_for, lineage)
            if isinstance(saved, Err):
                return Err(saved.err_value)
        if granted:
            core.put_off_campaign(core.clock.now())
        return Ok(VoteReply(core.term, granted))

    def _may_vote(self, request: VoteRequest) -> bool:
        core = self._core
        if request.header.term != core.term:
            return request.header.term > core.term
        return core.vote.voted_for in ("", request.header.sender)

    def _is_as_new(self, request: VoteRequest) -> bool:
        log = self._core.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    async def _run(self, *, invited: bool = False) -> None:
        core = self._core
        term = core.term
        # A trial first: a host that was cut off must not raise the term and so depose
        # a leader that the others still hear, when it comes back.
        if not invited and not await self._collect(term + 1, trial=True):
            return
        async with core.lock:
            if core.term != term or (core.has_leader_contact(core.clock.now()) and not invited):
                return
            core.role = Role.CANDIDATE
            core.leader = ""
            saved = await core.save_vote(term + 1, core.host)
            if isinstance(saved, Err):
                return
        core.event("election_started")
        won = await self._collect(term + 1, trial=False, invited=invited)
        async with core.lock:
            if core.term != term + 1 or core.role is not Role.CANDIDATE or core.failure:
                return
            if not won:
                core.role = Role.FOLLOWER
                return
            core.event("election_won", last_index=core.log.last_index)
            await self._on_won()

    async def _collect(self, term: int, *, trial: bool, invited: bool = False) -> bool:
        """Ask all voters and return, as soon as it is known, whether a majority agrees."""
        core = self._core
        roster = core.log.roster
        others = [member for member in voters(roster) if member.host != core.host]
        missing = majority(roster) - 1
        last_index, last_term = core.log.last_index, core.log.last_term
        header = core.header("")._replace(term=term)
        request = VoteRequest(header, trial, invited, last_index, last_term)
        asked = {core.spawn(self._ask(member, request)) for member in others}
        while missing > 0 and asked:
            done, asked = await asyncio.wait(asked, return_when=asyncio.FIRST_COMPLETED)
            missing -= sum(task.result() for task in done)
        return missing <= 0

    async def _ask(self, member: Member, request: VoteRequest) -> bool:
        core = self._core
        term = request.header.term
        request = request._replace(header=request.header._replace(to_disk=member.disk))
        timeout = core.settings.election_s
        reply = await core.caller.call(member.address, core.methods.vote, request, timeout)
        if isinstance(reply, Err):
            return False
        if reply.ok_value.term > term:
            await core.adopt_term(reply.ok_value.term)
            return False
        return reply.ok_value.granted
