"""Lead one term: take commands, commit them, answer reads, and keep contact."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.replication._core import Core
from cranberrywall.replication._peer import PeerLink
from cranberrywall.replication._rosters import find_member, majority, voters
from cranberrywall.replication.messages import Entry, EntryKind, HandOverRequest, Member

Answer = Result[bytes, Refusal]

_DRAIN_POLL_S = 0.01

_Number = TypeVar("_Number", int, float)


class _Proposal(NamedTuple):
    kind: EntryKind
    data: bytes
    deadline: float
    answer: asyncio.Future[Answer]


class _Read(NamedTuple):
    """Wait until ``round`` is confirmed by a majority and ``commit_index`` is applied."""

    round: int
    commit_index: int
    query: bytes
    deadline: float
    answer: asyncio.Future[Answer]


class Leadership:
    """Lead the group in one term, until ``end``."""

    def __init__(self, core: Core, query: Callable[[bytes], bytes], now: float) -> None:
        self.term = core.term
        self.is_active = True
        self.is_leaving = False
        self.round = 0
        self.first_index = core.log.last_index + 1
        self.peer_by_host: dict[str, PeerLink] = {}
        self.applied_index = 0
        self._core = core
        self._query = query
        self._queue: deque[_Proposal] = deque()
        self._queued = asyncio.Event()
        self._proposal_by_index: dict[int, _Proposal] = {}
        self._reads: list[_Read] = []
        self._started_at = now

    def start(self) -> None:
        """Begin with an entry of this term: only behind it may older ones be committed."""
        self.propose(EntryKind.TERM_START, b"", float("inf"))
        self.follow_roster(self._started_at)
        self._core.spawn(self._write_batches())

    def propose(self, kind: EntryKind, data: bytes, deadline: float) -> asyncio.Future[Answer]:
        """Queue an entry; the future holds what applying it gave."""
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        if len(self._queue) >= self._core.settings.queued_commands:
            refusal = Refusal(ErrorKind.OVERLOADED, "too many commands wait", remedy="send fewer")
            answer.set_result(Err(refusal))
            return answer
        self._queue.append(_Proposal(kind, data, deadline, answer))
        self._queued.set()
        return answer

    def read(self, query: bytes, deadline: float) -> asyncio.Future[Answer]:
        """Queue a linearizable read: a majority must confirm the leadership after now."""
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.round += 1
        index = max(self._core.commit_index, self.first_index)
        self._reads.append(_Read(self.round, index, query, deadline, answer))
        for peer in self.peer_by_host.values():
            peer.wake()
        self._answer_reads()
        return answer

    def progressed(self) -> None:
        """Commit what a majority has, and answer the reads that a majority confirmed."""
        if not self.is_active:
            return
        index = self._majority_of(self._core.durable_index, lambda peer: peer.match_index)
        # An entry of an older term that a majority has may still be overwritten by a
        # leader that lacks it. It is committed by the first entry of this term behind it.
        if self._core.log.term_at(index) == self.term:
            self._core.commit(index)
        self._answer_reads()

    def applied(self, index: int, result: Answer) -> None:
        """Answer the proposal at ``index``, and the reads that waited for it."""
        self.applied_index = index
        proposal = self._proposal_by_index.pop(index, None)
        if proposal is not None and not proposal.answer.done():
            proposal.answer.set_result(result)

    def applied_all(self) -> None:
        """Answer the reads that waited for the entries applied up to now."""
        self._answer_reads()

    def tick(self, now: float) -> None:
        """Send heartbeats, give up on what is too late, and step down without a majority."""
        for peer in self.peer_by_host.values():
            peer.tick(now)
        self._expire(now)
        if self._core.disk_hangs(now):
            # Heartbeats need no disk, so a leader whose disk hangs would hold the others
            # back for as long, while nothing is committed.
            self._core.step_down("the disk hangs")
            return
        heard_at = self._majority_of(now, lambda peer: peer.acked_at)
        if abs(now - heard_at) > self._core.settings.election_s:
            # A leader cut off from the majority cannot know of a newer one. It must not
            # answer reads from what may be an old state, and its clients must move on.
            self._core.step_down("no majority answers")

    async def hand_over(self) -> None:
        """Finish what is under way, take nothing new, and let the best follower campaign."""
        core = self._core
        self.is_leaving = True
        deadline = core.clock.now() + core.settings.heartbeat_s
        while (self._queue or self._proposal_by_index) and core.clock.now() < deadline:
            await core.clock.sleep(_DRAIN_POLL_S)
        successor = self._most_advanced_voter(core.clock.now())
        if successor is None or not self.is_active:
            return
        request = HandOverRequest(core.header(successor.member.disk))
        timeout = core.settings.heartbeat_s
        address = successor.member.address
        reply = await core.caller.call(address, core.methods.hand_over, request, timeout)
        accepted = isinstance(reply, Ok) and reply.ok_value.accepted
        core.event("hand_over", to=successor.member.host, accepted=accepted)

    def _most_advanced_voter(self, now: float) -> PeerLink | None:
        peers = [
            peer
            for peer in self.peer_by_host.values()
            if peer.member.voter and peer.answers_at(now)
        ]
        return max(peers, key=lambda peer: peer.match_index, default=None)

    def end(self, reason: str) -> None:
        """Answer all that waits: what was written may still be committed by another."""
        self.is_active = False
        unknown = Err(Refusal(ErrorKind.TIMEOUT, f"the leader stepped down: {reason}"))
        undone = Err(Refusal(ErrorKind.NOT_LEADER, ""))
        if self._core.failure is not None:
            unknown = Err(self._core.failure)
        for proposal in self._proposal_by_index.values():
            _settle(proposal.answer, unknown)
        for proposal in self._queue:
            _settle(proposal.answer, undone)
        for read in self._reads:
            _settle(read.answer, undone)
        self._proposal_by_index.clear()
        self._queue.clear()
        self._reads.clear()
        self._queued.set()
        for peer in self.peer_by_host.values():
            peer.close()

    def follow_roster(self, now: float) -> None:
        """Start and end the peers' tasks as the newest roster says."""
        roster = self._core.log.roster
        for host, peer in list(self.peer_by_host.items()):
            member = find_member(roster, host)
            if member is None or member.disk != peer.member.disk:
                peer.close()
                del self.peer_by_host[host]
            else:
                peer.member = member
        for member in roster.members:
            if member.host != self._core.host and member.host not in self.peer_by_host:
                self._add_peer(member, now)

    def _add_peer(self, member: Member, now: float) -> None:
        peer = PeerLink(self._core, self, member, now)
        self.peer_by_host[member.host] = peer
        self._core.spawn(peer.run())
        peer.wake()

    async def _write_batches(self) -> None:
        """Write all that is queued as one batch with one sync, again and again."""
        while self.is_active:
            await self._queued.wait()
            self._queued.clear()
            while self._queue and self.is_active:
                async with self._core.lock:
                    if self.is_active:
                        await self._write_batch()

    async def _write_batch(self) -> None:
        core = self._core
        proposals = self._take_batch()
        if not proposals:
            return
        first = core.log.last_index + 1
        for index, proposal in enumerate(proposals, first):
            self._proposal_by_index[index] = proposal
        entries = [Entry(self.term, proposal.kind, proposal.data) for proposal in proposals]
        core.log.append(first, entries)
        self.follow_roster(core.clock.now())
        # The followers get the entries while this host syncs; it counts itself only
        # after its own sync.
        for peer in self.peer_by_host.values():
            peer.wake()
        if isinstance(await core.make_durable(first, entries), Ok):
            self.progressed()

    def _take_batch(self) -> list[_Proposal]:
        batch: list[_Proposal] = []
        size = 0
        while self._queue and (not batch or size < self._core.settings.batch_bytes):
            proposal = self._queue.popleft()
            if not proposal.answer.done():
                batch.append(proposal)
                size += len(proposal.data)
        return batch

    def _answer_reads(self) -> None:
        if not self._reads:
            return
        confirmed = self._majority_of(self.round, lambda peer: peer.acked_round)
        waiting: list[_Read] = []
        for read in self._reads:
            if read.answer.done():
                continue
            if read.round <= confirmed and read.commit_index <= self.applied_index:
                read.answer.set_result(Ok(self._query(read.query)))
            else:
                waiting.append(read)
        self._reads = waiting

    def _majority_of(self, own: _Number, value: Callable[[PeerLink], _Number]) -> _Number:
        """Return the highest value that a majority of the voters has reached."""
        roster = self._core.log.roster
        values: list[_Number] = []
        for member in voters(roster):
            peer = self.peer_by_host.get(member.host)
            if member.host == self._core.host:
                values.append(own)
            elif peer is not None:
                values.append(value(peer))
        values.sort(reverse=True)
        return values[majority(roster) - 1]

    def _expire(self, now: float) -> None:
        late: Answer = Err(Refusal(ErrorKind.TIMEOUT, "not committed in time"))
        for proposal in [*self._queue, *self._proposal_by_index.values()]:
            if proposal.deadline <= now:
                _settle(proposal.answer, late)
        for read in self._reads:
            if read.deadline <= now:
                _settle(read.answer, late)


def _settle(answer: asyncio.Future[Answer], value: Answer) -> None:
    if not answer.done():
        answer.set_result(value)
