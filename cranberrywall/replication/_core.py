"""Hold what the parts of one member share: its term, vote, log and commit index.

Whatever changes the term, the vote or the log holds ``lock`` while it writes to the disk,
so that no other part sees a state that is not durable yet. The leader alone sends entries
to its followers before its own sync is done; it counts itself only afterwards.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from enum import StrEnum
from typing import Any, TypeVar

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import log_event
from cranberrywall.replication._files import GroupFiles, Vote
from cranberrywall.replication._log import Log
from cranberrywall.replication._rosters import find_member
from cranberrywall.replication._settings import GroupSettings
from cranberrywall.replication.messages import Entry, GroupMethods, Header, Member
from cranberrywall.runtime import Clock, Random, Storage

_T = TypeVar("_T")


class Role(StrEnum):
    """Say what a member does in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Core:
    """Hold one member's state, and change it durably."""

    def __init__(
        self,
        group: str,
        host: str,
        settings: GroupSettings,
        methods: GroupMethods,
        caller: Caller,
        clock: Clock,
        random: Random,
        storage: Storage,
    ) -> None:
        self.group = group
        self.host = host
        self.settings = settings
        self.methods = methods
        self.caller = caller
        self.clock = clock
        self.random = random
        self.files = GroupFiles(storage, group)
        self.lock = asyncio.Lock()
        self.vote = Vote("", "", 0, "")
        self.log = Log()
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_seen = False
        self.heard_at = float("-inf")
        self.campaign_at = 0.0
        self.commit_index = 0
        self.caught_up_index: int | None = None
        self.durable_index = 0
        self.committed = asyncio.Event()
        self.failure: Refusal | None = None
        self._writes = 0
        self._write_began_at = 0.0
        self._is_stopped = False
        self.on_step_down: Callable[[str], None] = lambda reason: None
        self._storage = storage
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def term(self) -> int:
        """Return the newest term this member knows."""
        return self.vote.term

    @property
    def lineage(self) -> str:
        """Return the group's lineage; empty on a host that never was a member."""
        # A snapshot from before a rescue still names the old lineage, so the one that was
        # saved with the vote goes first.
        return self.vote.lineage or self.log.roster.lineage

    @property
    def member(self) -> Member | None:
        """Return this host's entry in the roster, ``None`` where it is not a member.

        A host whose disk was exchanged is not the member that the roster names.
        """
        member = find_member(self.log.roster, self.host)
        if member is None or member.disk != self.vote.disk:
            return None
        return member

    def header(self, to_disk: str) -> Header:
        """Return the header of a message in the present term."""
        return Header(self.lineage, self.term, self.host, to_disk)

    def is_for_another(self, header: Header) -> bool:
        """Say whether a message was meant for another disk or another group."""
        if header.to_disk != self.vote.disk:
            return True
        return bool(self.lineage) and header.lineage != self.lineage

    def leader_address(self) -> str:
        """Return the address of the leader, empty where it is not known."""
        member = find_member(self.log.roster, self.leader)
        return member.address if member else ""

    def has_leader_contact(self, now: float) -> bool:
        """Say whether a leader was heard so lately that no election is due."""
        # A clock that went back shows a negative age. It must not hold elections back until
        # it has caught up, so only an age from 0 on counts.
        return self.role is Role.LEADER or 0 <= now - self.heard_at < self.settings.election_s

    def note_leader(self, host: str, now: float) -> None:
        """Remember that ``host`` leads the present term, heard at ``now``."""
        if self.leader != host:
            self.event("leader_known", leader=host)
        self.leader = host
        self.leader_seen = True
        self.heard_at = now
        self.put_off_campaign(now)

    def put_off_campaign(self, now: float) -> None:
        """Choose the time after which this member campaigns unless it hears a leader.

        One that has heard of no leader since its start waits for two heartbeats at most: where
        all members lost their power, nobody leads, and a leader that still leads ends the trial
        vote. It saves about a second of the time in which all hosts wait for the groups.
        """
        settings = self.settings
        wait_s = settings.election_s if self.leader_seen else settings.heartbeat_s
        self.campaign_at = now + self.random.uniform(wait_s, 2 * wait_s)

    async def write(self, work: Callable[[], _T]) -> Result[_T, Refusal]:
        """Run ``work`` on the storage; the first error stops this member for good.

        After a failed write or sync nobody knows what the file holds, and a second sync
        may report success for bytes that were lost. So nothing is written any more, and
        nothing acknowledged, until a restart has read the files anew.
        """
        if self.failure is not None:
            return Err(self.failure)
        if self._is_stopped:
            return Err(Refusal(ErrorKind.DRAINING, "this host stops"))
        if self._writes == 0:
            self._write_began_at = self.clock.now()
        self._writes += 1
        try:
            done = await self._storage.run_blocking(work)
        except OSError as error:
            remedy = "mend the disk or free space, then restart this host"
            self.fail(Refusal(ErrorKind.STORAGE_FAILED, str(error), "data", remedy))
            return Err(self._failed())
        finally:
            # The storage takes one call at a time, so the next one begins now.
            self._writes -= 1
            self._write_began_at = self.clock.now()
        if self.failure is not None:
            return Err(self.failure)
        return Ok(done)

    def disk_hangs(self, now: float) -> bool:
        """Say whether a write has lasted so long that the disk seems to hang."""
        if self._writes == 0:
            return False
        return now - self._write_began_at > self.settings.disk_hangs_s

    async def save_vote(
        self, term: int, voted_for: str, lineage: str | None = None
    ) -> Result[None, Refusal]:
        """Make a term and a vote durable; the caller holds the lock."""
        kept = self.vote.lineage if lineage is None else lineage
        vote = Vote(self.vote.disk, kept, term, voted_for)
        written = await self.write(lambda: self.files.save_vote(vote))
        if isinstance(written, Ok):
            self.vote = vote
        return written

    async def make_durable(self, first: int, entries: Sequence[Entry]) -> Result[None, Refusal]:
        """Write and sync entries that the log holds already; the caller holds the lock."""
        last = self.log.last_index

        def write() -> None:
            self.files.append(first, entries)
            if self.files.segment_bytes > self.settings.segment_bytes:
                self.files.rotate()

        written = await self.write(write)
        if isinstance(written, Ok):
            self.durable_index = last
        return written

    async def adopt_term(self, term: int) -> None:
        """Follow a newer term that a reply named."""
        async with self.lock:
            if term > self.term:
                await self.adopt_term_locked(term)

    async def adopt_term_locked(self, term: int) -> Result[None, Refusal]:
        """Follow a newer term; the caller holds the lock."""
        self.step_down(f"term {term} has begun")
        self.leader = ""
        return await self.save_vote(term, "")

    def step_down(self, reason: str, level: str = "WARNING") -> None:
        """Become a follower; a leader says so in the log, at ``level``."""
        if self.role is Role.LEADER:
            self.event("step_down", level, reason=reason)
            self.leader = ""
        was_leader = self.role is Role.LEADER
        self.role = Role.FOLLOWER
        if was_leader:
            self.put_off_campaign(self.clock.now())
            self.on_step_down(reason)

    def fail(self, refusal: Refusal) -> None:
        """Stop taking part, and say so: a storage error or a damaged file."""
        if self.failure is not None:
            return
        self.failure = refusal
        self.event("group_failed", "ERROR", refusal=refusal)
        self.step_down(str(refusal))

    def commit(self, index: int) -> None:
        """Raise the commit index."""
        if index > self.commit_index:
            self.commit_index = index
            self.committed.set()

    def spawn(self, work: Coroutine[Any, Any, _T]) -> asyncio.Task[_T]:
        """Run ``work`` in a task of this member, which only ``stop`` cancels."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    async def stop(self) -> None:
        """End all tasks and close the files.

        Calls of other members may still arrive and start tasks. Nothing is written for them.
        """
        self._is_stopped = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._storage.run_blocking(self.files.close)

    def event(self, name: str, level: str = "INFO", **fields: Any) -> None:
        """Log one event of this member."""
        log_event(level, name, host=self.host, group=self.group, term=self.term, **fields)

    def _failed(self) -> Refusal:
        assert self.failure is not None
        return self.failure

    def _reap(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            # A fault in our own code: its state cannot be trusted, and a leader that goes
            # on with its heartbeats alone would keep its followers from electing another.
            log_event("ERROR", "group_task_failed", error, host=self.host, group=self.group)
            self.fail(Refusal(ErrorKind.INTERNAL, f"{type(error).__name__}: {error}"))
