"""Index of the prompt prefixes that each target probably has in its cache.

Engines publish the contents of their caches with delay and gaps, so the index is never exact. It is
updated by their events and by this host's own routing. It corrects itself: events about dropped
blocks give an estimate of how long a target keeps an unused block, and older entries are ignored.
"""

from collections.abc import Sequence
from itertools import count

from cranberrywall.targets.messages import CacheEvent, CacheOp

MAX_ENTRIES = 40_000
"""Maximum number of pairs of block and target for one model."""

MAX_HOLDERS_FOUND = 4
"""A lookup stops once it has found this number of targets that hold part of the prompt."""

STRIDE = 4
"""Step of a lookup, in blocks, after the longest match is found."""

DEFAULT_RETENTION_S = 600.0
"""Assumed time for which a target keeps an unused block until its events show another, in
seconds."""

RETENTION_SMOOTHING = 0.02
"""Exponential smoothing factor of the estimated retention: the weight of each drop event."""

DROPPED_SHARE = 0.9
"""The estimate is the time within which this share of unused blocks is dropped. It is a high share
because other hosts use blocks too, so many blocks stay longer than this host's own use suggests."""

REPORT_INTERVAL_S = 2.0
"""Maximum time that a drop event waits at the target for the next report, in seconds."""


class _Holder:
    """Cache state of one incarnation of a target, as derived from its events."""

    def __init__(self, target_id: str, incarnation: int) -> None:
        self.target_id = target_id
        self.incarnation = incarnation
        self.last_seq = -1
        self.retention_s = DEFAULT_RETENTION_S


class PrefixIndex:
    """Map from each block to the targets that probably cache it, in bounded memory.

    Blocks are in two generations. When the young generation is full, it becomes the old one; blocks
    of the previous old generation that were not used in the meantime are evicted.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_young = max(1, max_entries // 2)
        self._young: dict[bytes, dict[int, float]] = {}
        self._old: dict[bytes, dict[int, float]] = {}
        self._young_size = 0
        self._numbers = count()
        self._number_by_target: dict[str, int] = {}
        self._holder_by_number: dict[int, _Holder] = {}

    def use(self, target_id: str, prefix: Sequence[bytes], now: float) -> None:
        """Record that a prompt is sent to a target, which will cache it."""
        number = self._number_by_target.get(target_id)
        if number is None:
            return
        for block in prefix:
            self._add(block, number, now)

    def put(self, target_id: str, incarnation: int) -> None:
        """Add a target; a new incarnation starts with an empty cache."""
        number = self._number_by_target.get(target_id)
        if number is not None and self._holder_by_number[number].incarnation == incarnation:
            return
        # Entries of the previous incarnation stay until they age out. Its number is never reused,
        # so lookups ignore these entries.
        self.remove(target_id)
        number = next(self._numbers)
        self._number_by_target[target_id] = number
        self._holder_by_number[number] = _Holder(target_id, incarnation)

    def remove(self, target_id: str) -> None:
        """Remove a target."""
        number = self._number_by_target.pop(target_id, None)
        if number is not None:
            del self._holder_by_number[number]

    def apply(
        self, target_id: str, events: Sequence[CacheEvent], late_s: float, now: float
    ) -> None:
        """Apply a target's events, which were sent ``late_s`` seconds ago.

        Events that are older than the latest one applied are skipped.
        """
        dropped_before = now - late_s - REPORT_INTERVAL_S
        number = self._number_by_target.get(target_id)
        if number is None:
            return
        holder = self._holder_by_number[number]
        for event in events:
            if event.seq <= holder.last_seq:
                continue
            holder.last_seq = event.seq
            if event.op == CacheOp.ADD:
                self._add(event.prefix, number, now)
            else:
                self._drop(event.prefix, number, holder, dropped_before)

    def matches(self, prefix: Sequence[bytes], now: float) -> dict[str, int]:
        """Return the number of leading blocks that some targets probably have, longest first."""
        found: dict[str, int] = {}
        position = len(prefix) - 1
        while position >= 0:
            block = prefix[position]
            holders = self._young.get(block) or self._old.get(block)
            if holders:
                self._record_matches(holders, position + 1, found, now)
                if len(found) >= MAX_HOLDERS_FOUND:
                    break
            # Past the longest match, only shorter matches of other targets are missing, and those
            # need not be exact.
            position -= STRIDE if found else 1
        return found

    def _record_matches(
        self, holders: dict[int, float], length: int, found: dict[str, int], now: float
    ) -> None:
        for number, used_at in holders.items():
            holder = self._holder_by_number.get(number)
            if holder is None or now - used_at > holder.retention_s:
                continue
            found.setdefault(holder.target_id, length)

    def _add(self, block: bytes, number: int, now: float) -> None:
        holders = self._young.get(block)
        if holders is None:
            holders = self._old.pop(block, None) or {}
            self._young[block] = holders
            self._young_size += len(holders)
        if number not in holders:
            self._young_size += 1
        holders[number] = now
        if self._young_size > self._max_young:
            self._old = self._young
            self._young = {}
            self._young_size = 0

    def _drop(self, block: bytes, number: int, holder: _Holder, dropped_before: float) -> None:
        holders = self._young.get(block) or self._old.get(block)
        if not holders or number not in holders:
            return
        # The event is delayed: if this host has sent the same prompt to the target since, the
        # target has cached it again, and the event refers to the time before.
        unused_s = dropped_before - holders[number]
        if unused_s < 0:
            return
        self._evict(block, number, holders)
        if unused_s > holder.retention_s:
            holder.retention_s *= 1.0 + RETENTION_SMOOTHING * DROPPED_SHARE
        else:
            holder.retention_s *= 1.0 - RETENTION_SMOOTHING * (1.0 - DROPPED_SHARE)

    def _evict(self, block: bytes, number: int, holders: dict[int, float]) -> None:
        generation = self._young if block in self._young else self._old
        if generation is self._young:
            self._young_size -= 1
        del holders[number]
        if not holders:
            del generation[block]

    def __len__(self) -> int:
        young = sum(len(holders) for holders in self._young.values())
        return young + sum(len(holders) for holders in self._old.values())
