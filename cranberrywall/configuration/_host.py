"""Hold the configuration in force on one host; it only moves forward."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import Any, cast

from result import Err, Ok, Result

from cranberrywall.configuration._in_force import (
    ActiveConfiguration,
    ServedConfiguration,
    make_in_force,
    make_next_in_force,
    nothing_in_force,
)
from cranberrywall.configuration._machine import chain_after
from cranberrywall.configuration._memory import Memory
from cranberrywall.configuration.messages import Delta, DocumentAt
from cranberrywall.errors import Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Storage

WINDOW_LIMIT = 256
"""Deltas that a host keeps to pass on to its peers."""


class Applied(StrEnum):
    """Say what became of an offered revision."""

    IN_FORCE = "in_force"
    OLD = "old"
    GAP = "gap"
    DIVERGED = "diverged"


def make_host_configuration(storage: Storage | None) -> "HostConfiguration":
    """Return a holder at revision 0; ``storage`` is ``None`` on a host without a disk."""
    return HostConfiguration(Memory(storage) if storage is not None else None)


class HostConfiguration(ServedConfiguration):
    """Serve the revision in force, and take in deltas and snapshots."""

    def __init__(self, memory: Memory | None) -> None:
        super().__init__(nothing_in_force())
        self._memory = memory
        self._window: deque[Delta] = deque(maxlen=WINDOW_LIMIT)
        self._lock = asyncio.Lock()
        self._watchers: list[Callable[[int], None]] = []
        self.remembers = memory is not None

    def watch(self, on_revision: Callable[[int], None]) -> None:
        """Call ``on_revision`` with each revision that comes in force, just after it did."""
        self._watchers.append(on_revision)

    async def recall(self) -> Result[int, Refusal]:
        """Take what the disk remembers, and return its revision; call it once, at start."""
        if self._memory is None:
            return Ok(0)
        recalled = await self._memory.recall()
        if isinstance(recalled, Err):
            self.remembers = False
            return Err(recalled.err_value)
        if recalled.ok_value is not None:
            self._in_force = recalled.ok_value
        return Ok(self.revision)

    async def apply_deltas(self, deltas: Sequence[Delta]) -> Applied:
        """Bring in force those of ``deltas`` that follow the revision in force."""
        async with self._lock:
            newer = [delta for delta in deltas if delta.revision.number > self.revision]
            if not newer:
                return Applied.OLD
            after = self._in_force
            for delta in newer:
                if delta.revision.number != after.revision + 1:
                    return Applied.GAP
                if chain_after(after.chain, delta.edits) != delta.chain:
                    return Applied.DIVERGED
                after = make_next_in_force(after, delta)
            await self._bring_in_force(after, tuple(newer))
            return Applied.IN_FORCE

    async def apply_snapshot(self, snapshot: DocumentAt) -> Applied:
        """Bring a whole document in force, if its revision is higher."""
        async with self._lock:
            if snapshot.revision <= self.revision:
                return Applied.OLD
            after = make_in_force(snapshot.revision, snapshot.chain, snapshot.checked)
            self._window.clear()
            await self._bring_in_force(after, ())
            return Applied.IN_FORCE

    def document_at(self) -> DocumentAt:
        """Return the whole document in force, to pass on."""
        document = cast(dict[str, Any], self.document)
        return DocumentAt(self.revision, document, self._in_force.chain)

    def deltas_after(self, since: int, limit: int) -> tuple[Delta, ...] | None:
        """Return up to ``limit`` deltas after ``since``, or ``None`` where not kept."""
        if since >= self.revision:
            return ()
        if not self._window or self._window[0].revision.number > since + 1:
            return None
        newer = [delta for delta in self._window if delta.revision.number > since]
        return tuple(newer[:limit])

    async def _bring_in_force(self, after: ActiveConfiguration, deltas: tuple[Delta, ...]) -> None:
        # It is remembered before it is in force. The other way round, a host that crashed
        # between the two would come back with a lower revision than it had served by.
        if self._memory is not None:
            self._note(await self._memory.remember(after, deltas))
        self._in_force = after
        self._window.extend(deltas)
        for on_revision in self._watchers:
            on_revision(after.revision)

    def _note(self, remembered: Result[None, Refusal]) -> None:
        # A full disk must not keep a revoked key valid here, so the revision still comes
        # in force; the host says that it could come back with an older one.
        if isinstance(remembered, Err):
            log_event("ERROR", "configuration_not_remembered", refusal=remembered.err_value)
        self.remembers = isinstance(remembered, Ok)
