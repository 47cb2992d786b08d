"""Follow a leader: take its entries, and its snapshot where the log is too far behind."""

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Peer
from cranberrywall.replication._applier import Applier
from cranberrywall.replication._core import Core, Role
from cranberrywall.replication._files import matches
from cranberrywall.replication._log import Log
from cranberrywall.replication.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    Header,
    InstallReply,
    InstallRequest,
    Outcome,
    SnapshotInfo,
)


class Following:
    """Answer a leader's appends and snapshot parts."""

    def __init__(self, core: Core, applier: Applier) -> None:
        self._core = core
        self._applier = applier
        self._incoming: SnapshotInfo | None = None
        self._received = bytearray()

    async def append(self, request: AppendRequest, peer: Peer) -> Result[AppendReply, Refusal]:
        """Append a leader's entries, and answer once they are synced."""
        core = self._core
        async with core.lock:
            followed = await self._follow(request.header)
            if isinstance(followed, Err):
                return Err(followed.err_value)
            if followed.ok_value is not Outcome.DONE:
                return Ok(AppendReply(core.term, followed.ok_value, 0, core.vote.disk))
            if not self._joins(request):
                hint = self._next_to_try(request.previous_index)
                return Ok(AppendReply(core.term, Outcome.GAP, hint, core.vote.disk))
            written = await self._write_new(request)
            if isinstance(written, Err):
                return Err(written.err_value)
            last = max(request.previous_index + len(request.entries), core.log.base_index)
            core.commit(min(request.commit_index, last))
            self._note_commit_index(request.commit_index, last)
            return Ok(AppendReply(core.term, Outcome.DONE, last, core.vote.disk))

    def _note_commit_index(self, index: int, last: int) -> None:
        """Remember up to where this host must apply, to have all that was committed before.

        Only behind an entry of its own term does a leader know what was committed.
        """
        core = self._core
        if core.caught_up_index is None and index <= last and core.log.term_at(index) == core.term:
            core.caught_up_index = index

    async def install(self, request: InstallRequest, peer: Peer) -> Result[InstallReply, Refusal]:
        """Collect a snapshot's parts; answer the last one once it is durable and restored."""
        core = self._core
        async with core.lock:
            followed = await self._follow(request.header)
            if isinstance(followed, Err):
                return Err(followed.err_value)
            if followed.ok_value is not Outcome.DONE:
                return Ok(InstallReply(core.term, followed.ok_value, 0, core.vote.disk))
            if self._has(request.info):
                offset = request.info.size
            else:
                self._collect(request)
                offset = len(self._received)
                if offset >= request.info.size:
                    restored = await self._restore(request.info)
                    if isinstance(restored, Err):
                        return Err(restored.err_value)
                    offset = restored.ok_value
            return Ok(InstallReply(core.term, Outcome.DONE, offset, core.vote.disk))

    async def _follow(self, header: Header) -> Result[Outcome, Refusal]:
        """Follow the sender where it leads the newest term; ``DONE`` says that it does."""
        core = self._core
        if core.failure is not None:
            return Err(core.failure)
        if core.is_for_another(header):
            return Ok(Outcome.OTHER_DISK)
        if header.term < core.term:
            return Ok(Outcome.STALE)
        if header.term > core.term or not core.lineage:
            core.step_down(f"{header.sender} leads term {header.term}")
            voted_for = core.vote.voted_for if header.term == core.term else ""
            saved = await core.save_vote(header.term, voted_for, header.lineage)
            if isinstance(saved, Err):
                return Err(saved.err_value)
        if core.role is Role.LEADER:
            refusal = Refusal(ErrorKind.CORRUPT, f"{header.sender} leads the same term")
            core.fail(refusal)
            return Err(refusal)
        core.role = Role.FOLLOWER
        core.note_leader(header.sender, core.clock.now())
        return Ok(Outcome.DONE)

    def _joins(self, request: AppendRequest) -> bool:
        log = self._core.log
        if request.previous_index < log.base_index:
            return True
        return log.term_at(request.previous_index) == request.previous_term

    def _next_to_try(self, previous: int) -> int:
        """Return the first index of the term that differs, so that whole terms are skipped."""
        log = self._core.log
        term = log.term_at(previous)
        if term is None:
            return log.last_index + 1
        index = previous
        while index > self._core.commit_index + 1 and log.term_at(index - 1) == term:
            index -= 1
        return index

    async def _write_new(self, request: AppendRequest) -> Result[None, Refusal]:
        core = self._core
        first, entries = self._without_known(request)
        if not entries:
            return Ok(None)
        if first <= core.commit_index:
            refusal = Refusal(ErrorKind.CORRUPT, f"entry {first} is committed, and another came")
            core.fail(refusal)
            return Err(refusal)
        core.log.append(first, entries)
        return await core.make_durable(first, entries)

    def _without_known(self, request: AppendRequest) -> tuple[int, tuple[Entry, ...]]:
        """Return the entries from the first one that this log lacks or contradicts."""
        log = self._core.log
        start = max(0, log.base_index - request.previous_index)
        for place in range(start, len(request.entries)):
            index = request.previous_index + 1 + place
            if log.term_at(index) != request.entries[place].term:
                return index, request.entries[place:]
        return 0, ()

    def _has(self, info: SnapshotInfo) -> bool:
        # A log that holds the snapshot's last entry agrees with everything before it.
        # Its later entries may have been acknowledged, so they must not be dropped.
        core = self._core
        return (
            info.last_index <= core.commit_index
            or core.log.term_at(info.last_index) == info.last_term
        )

    def _collect(self, request: InstallRequest) -> None:
        if self._incoming != request.info:
            self._incoming = request.info
            self._received.clear()
        if request.offset == len(self._received):
            self._received += request.data

    async def _restore(self, info: SnapshotInfo) -> Result[int, Refusal]:
        core = self._core
        data = bytes(self._received)
        self._received.clear()
        self._incoming = None
        if not matches(info, data):
            core.event("snapshot_damaged", "WARNING", index=info.last_index)
            return Ok(0)
        for step in core.files.write_snapshot(info, data):
            written = await core.write(step)
            if isinstance(written, Err):
                return Err(written.err_value)
        committed = await core.write(lambda: core.files.commit_snapshot(info, forget_log=True))
        if isinstance(committed, Err):
            return Err(committed.err_value)
        core.log = Log(info.last_index, info.last_term, info.roster)
        core.durable_index = info.last_index
        self._applier.restore(info.last_index, data)
        core.commit(info.last_index)
        core.event("snapshot_installed", index=info.last_index, bytes=info.size)
        return Ok(info.size)
