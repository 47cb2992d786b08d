"""Send the log to one follower or learner, in one task for each."""

import asyncio
from typing import Protocol

from result import Err

from cranberrywall.replication._core import Core
from cranberrywall.replication._files import SavedSnapshot
from cranberrywall.replication.messages import (
    AppendReply,
    AppendRequest,
    InstallRequest,
    Member,
    Outcome,
)


class Leader(Protocol):
    """Hear from a peer's task what its peer has."""

    @property
    def is_active(self) -> bool:
        """Say whether this member still leads the term."""
        ...

    @property
    def round(self) -> int:
        """Return the newest round of heartbeats that reads wait for."""
        ...

    def progressed(self) -> None:
        """Act on a peer's progress."""
        ...


class PeerLink:
    """Know what one peer has, and send it the rest.

    ``acked_at`` is when the newest answered message was sent: the peer followed this
    leader then. ``acked_round`` is the newest round that it confirmed.
    """

    def __init__(self, core: Core, leader: Leader, member: Member, now: float) -> None:
        self.member = member
        self.match_index = 0
        self.acked_round = 0
        self.acked_at = now
        self.sent_at = float("-inf")
        self._transfer_failed_at = float("-inf")
        self.found_disk = ""
        self._core = core
        self._leader = leader
        self._next_index = core.log.last_index + 1
        self._in_progress = 0
        self._has_followed = False
        self._attempt = 0
        self._agreed = False
        self._work = asyncio.Event()
        self._closed = False

    def answers_at(self, now: float) -> bool:
        """Say whether the peer followed within the last election timeout."""
        return self._has_followed and abs(now - self.acked_at) <= self._core.settings.election_s

    def wake(self) -> None:
        """Send what there is, or a heartbeat."""
        self._work.set()

    def close(self) -> None:
        """End the task once its present call is over: the member left the roster."""
        self._closed = True
        self._work.set()

    def tick(self, now: float) -> None:
        """Send a heartbeat where one is due."""
        if not 0 <= now - self.sent_at < self._core.settings.heartbeat_s:
            self.wake()

    async def run(self) -> None:
        """Send until the leadership is over or the member has left."""
        while True:
            await self._work.wait()
            self._work.clear()
            if self._closed or not self._leader.is_active:
                return
            if self._next_index > self._core.log.base_index:
                self._send_appends()
            elif self._may_transfer(self._core.clock.now()):
                await self._install()

    def _may_transfer(self, now: float) -> bool:
        # Each read wakes this task, and a transfer reads the whole snapshot, behind which changes
        # wait for the disk.
        return not 0 <= now - self._transfer_failed_at < self._core.settings.heartbeat_s

    def _send_appends(self) -> None:
        """Send what there is, or one heartbeat, without waiting for the answers.

        Until the peer has once agreed on where its log ends, one append is in progress
        at a time: those behind it would be refused with it.
        """
        most = self._core.settings.appends_in_progress if self._agreed else 1
        is_first = True
        while self._in_progress < most:
            if not is_first and self._next_index > self._core.log.last_index:
                return
            is_first = False
            self.sent_at = self._core.clock.now()
            self._in_progress += 1
            self._core.spawn(self._append(self._next_append(), self._attempt))

    def _next_append(self) -> AppendRequest:
        core = self._core
        previous = self._next_index - 1
        previous_term = core.log.term_at(previous)
        assert previous_term is not None
        entries = core.log.batch(self._next_index, core.settings.batch_bytes)
        self._next_index += len(entries)
        return AppendRequest(
            core.header(self.member.disk), previous, previous_term, entries, core.commit_index
        )

    async def _append(self, request: AppendRequest, attempt: int) -> None:
        core = self._core
        sent_at, sent_round = self.sent_at, self._leader.round
        timeout = core.settings.election_s
        reply = await core.caller.call(self.member.address, core.methods.append, request, timeout)
        self._in_progress -= 1
        if not self._leader.is_active:
            return
        if isinstance(reply, Err):
            self._start_over(attempt, self.match_index + 1)
            return
        if not await self._followed(reply.ok_value):
            self._start_over(attempt, self.match_index + 1)
            return
        self._confirmed(sent_at, sent_round)
        self._note(reply.ok_value, attempt)
        if self._next_index <= core.log.last_index or self._leader.round > sent_round:
            self.wake()

    def _note(self, reply: AppendReply, attempt: int) -> None:
        if reply.outcome is Outcome.DONE:
            self._agreed = True
            self.match_index = max(self.match_index, reply.position)
            self._next_index = max(self._next_index, self.match_index + 1)
        else:
            self._start_over(attempt, min(reply.position, self._next_index - 1))
            self.wake()
        self._leader.progressed()

    def _start_over(self, attempt: int, next_index: int) -> None:
        """Send again from ``next_index``; the appends that are in progress count no more."""
        if attempt == self._attempt:
            self._attempt += 1
            self._agreed = False
            self._next_index = max(self.match_index + 1, next_index)

    async def _install(self) -> None:
        """Send the snapshot in parts, each after the answer to the one before."""
        core = self._core
        read = (await core.write(core.files.read_snapshot)).and_then(lambda found: found)
        if isinstance(read, Err):
            core.fail(read.err_value)
            return
        snapshot = read.ok_value
        if snapshot is None:
            return
        info = snapshot.info
        core.event(
            "snapshot_transfer", peer=self.member.host, index=info.last_index, bytes=info.size
        )
        offset: int | None = 0
        while offset is not None and self._leader.is_active and not self._closed:
            offset = await self._send_part(snapshot, offset)

    async def _send_part(self, snapshot: SavedSnapshot, offset: int) -> int | None:
        """Send one part and return where the next one starts; ``None`` ends the transfer."""
        core, info = self._core, snapshot.info
        part = snapshot.data[offset : offset + core.settings.chunk_bytes]
        request = InstallRequest(core.header(self.member.disk), info, offset, part)
        self.sent_at = core.clock.now()
        sent_at, sent_round = self.sent_at, self._leader.round
        timeout = 2 * core.settings.election_s
        reply = await core.caller.call(self.member.address, core.methods.install, request, timeout)
        if isinstance(reply, Err) or not await self._followed(reply.ok_value):
            self._transfer_failed_at = core.clock.now()
            return None
        self._confirmed(sent_at, sent_round)
        wanted = reply.ok_value.offset
        if wanted >= info.size:
            self.match_index = max(self.match_index, info.last_index)
            self._next_index = self.match_index + 1
            self._leader.progressed()
            self.wake()
            return None
        if wanted > offset:
            return wanted
        # A peer that finds the whole damaged on its way wants it from the start. The next
        # heartbeat begins again, so that a fault cannot make this a busy loop.
        self._transfer_failed_at = core.clock.now()
        return None

    async def _followed(self, reply: "Reply") -> bool:
        """Say whether the peer followed this leader; act on it where it did not."""
        if reply.outcome is Outcome.OTHER_DISK:
            self._note_other_disk(reply.disk)
            return False
        self.found_disk = ""
        if reply.outcome is Outcome.STALE:
            await self._core.adopt_term(reply.term)
            return False
        return True

    def _note_other_disk(self, disk: str) -> None:
        if self.found_disk != disk:
            # The same disk is one that belongs to another lineage of the group.
            if disk == self.member.disk:
                self._core.event("other_lineage", "WARNING", peer=self.member.host)
            else:
                self._core.event("other_disk", "WARNING", peer=self.member.host)
        self.found_disk = disk

    def _confirmed(self, sent_at: float, sent_round: int) -> None:
        self._has_followed = True
        self.acked_at = sent_at
        self.acked_round = max(self.acked_round, sent_round)


class Reply(Protocol):
    """Match the replies to both sorts of message."""

    @property
    def term(self) -> int:
        """Return the peer's term."""
        ...

    @property
    def outcome(self) -> Outcome:
        """Return what the peer did."""
        ...

    @property
    def disk(self) -> str:
        """Return the peer's disk."""
        ...
