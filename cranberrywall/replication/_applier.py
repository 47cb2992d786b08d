"""Apply what is committed to the state machine, and take snapshots of it."""

import asyncio
from collections.abc import Callable

import xxhash
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.replication._core import Core
from cranberrywall.replication._interfaces import StateMachine
from cranberrywall.replication.messages import EntryKind, SnapshotInfo

# Other tasks get a turn after so many entries, or a long log would delay heartbeats.
_ENTRIES_PER_TURN = 256

OnApplied = Callable[[int, Result[bytes, Refusal]], None]


class Applier:
    """Keep the state machine at the commit index."""

    def __init__(self, core: Core, state_machine: StateMachine) -> None:
        self.applied_index = 0
        self.on_applied: OnApplied = lambda index, result: None
        self.on_turn: Callable[[], None] = lambda: None
        self._core = core
        self._state_machine = state_machine
        self._saving = False
        self._save_from: int | None = None

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the state by a snapshot's."""
        self._state_machine.restore(snapshot)
        self.applied_index = index

    def query(self, query: bytes) -> bytes:
        """Answer a read from the state as it is."""
        return self._state_machine.query(query)

    async def run(self) -> None:
        """Apply entries as they are committed."""
        core = self._core
        while True:
            await core.committed.wait()
            core.committed.clear()
            while self.applied_index < core.commit_index:
                last = min(core.commit_index, self.applied_index + _ENTRIES_PER_TURN)
                while self.applied_index < last:
                    self._apply_next()
                self.on_turn()
                await asyncio.sleep(0)
            self._save_if_covering()
            self._save_if_due()

    def _apply_next(self) -> None:
        index = self.applied_index + 1
        entry = self._core.log.entry(index)
        result: Result[bytes, Refusal] = Ok(b"")
        if entry.kind is EntryKind.COMMAND:
            result = self._apply_command(entry.data)
        self.applied_index = index
        self.on_applied(index, result)

    def _apply_command(self, command: bytes) -> Result[bytes, Refusal]:
        try:
            return Ok(self._state_machine.apply(command))
        except ValueError as error:
            # Bytes that are no command are committed like any others. Raising here would
            # stop every replica at the same entry, and again after each restart.
            self._core.event("command_malformed", "WARNING", reason=type(error).__name__)
            return Err(Refusal(ErrorKind.MALFORMED, str(error), "command"))

    def _save_if_due(self) -> None:
        core = self._core
        saved = core.files.snapshot
        least = max(core.settings.snapshot_bytes, saved.size if saved else 0)
        if self._saving or core.failure or core.files.bytes_since_snapshot <= least:
            return
        if saved and saved.last_index >= self.applied_index:
            return
        self._saving = True
        core.spawn(self._save())

    async def _save(self) -> None:
        """Save the state, once it covers all segments but a new one."""
        core = self._core
        # With the segments closed first, the snapshot covers each of them whole, and
        # they can all be removed. One that ends behind it would have to stay.
        async with core.lock:
            await core.write(core.files.rotate)
            self._save_from = core.log.last_index
        core.committed.set()

    def _save_if_covering(self) -> None:
        if self._save_from is None or self.applied_index < self._save_from:
            return
        self._save_from = None
        core = self._core
        data = self._state_machine.snapshot()
        index = self.applied_index
        term = core.log.term_at(index)
        assert term is not None
        checksum = xxhash.xxh64_intdigest(data)
        info = SnapshotInfo(index, term, core.log.roster_at(index), len(data), checksum)
        core.spawn(self._write(info, data))

    async def _write(self, info: SnapshotInfo, data: bytes) -> None:
        """Write a snapshot beside the log while it goes on, then let it count."""
        core = self._core
        for step in core.files.write_snapshot(info, data):
            await core.write(step)
        async with core.lock:
            newer = core.files.snapshot
            # A leader's snapshot may have been installed meanwhile, which is newer.
            if newer is None or newer.last_index < info.last_index:
                await self._commit(info)
        self._saving = False
        # Much may have been appended meanwhile, so that the next one is due already.
        core.committed.set()

    async def _commit(self, info: SnapshotInfo) -> None:
        core = self._core
        done = await core.write(lambda: core.files.commit_snapshot(info, forget_log=False))
        if isinstance(done, Ok):
            core.log.compact(info.last_index - core.settings.retained_entries)
            core.event("snapshot_saved", index=info.last_index, bytes=info.size)
