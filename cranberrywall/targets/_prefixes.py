"""Guess which prompt prefixes each target has in its cache.

Engines publish what they cache late and with gaps, so the index is never exact. It is fed
by their events and by this host's own routing, and corrects itself: what a target dropped
tells how long it keeps an unused block, and older guesses are believed no more.
"""

from collections.abc import Sequence
from itertools import count

from cranberrywall.targets.messages import CacheEvent, CacheOp

MAX_ENTRIES = 40_000
"""Pairs of block and target that are kept for one model at most."""

MAX_HOLDERS_FOUND = 4
"""A lookup ends when it knows this many targets that hold part of the prompt."""

STRIDE = 4
"""Blocks by which a lookup goes on after the longest match."""

KEPT_S = 600.0
"""A target is taken to keep an unused block this long until its events tell, in seconds."""

LEARNING = 0.02
"""Weight of each drop event in the estimate of how long a target keeps a block."""

DROPPED_WITHIN = 0.9
"""The estimate is the time within which this share of unused blocks is dropped: other
hosts use blocks too, so that many stay longer than this host's own use tells."""

REPORT_EVERY_S = 2.0
"""A drop may have waited this long at the target for the next report, in seconds."""


class _Holder:
    """Hold what the events of one run of a target told."""

    def __init__(self, target_id: str, incarnation: int) -> None:
        self.target_id = target_id
        self.incarnation = incarnation
        self.newest_seq = -1
        self.kept_s = KEPT_S


class PrefixIndex:
    """Map each block to the targets that probably cache it, in bounded memory.

    Blocks are in two generations: a full young one becomes the old one, whose blocks are
    forgotten unless they were used again meanwhile.
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
        """Note that a prompt was sent to a target, which will cache it."""
        number = self._number_by_target.get(target_id)
        if number is None:
            return
        for block in prefix:
            self._add(block, number, now)

    def put(self, target_id: str, incarnation: int) -> None:
        """Know a target; a new incarnation starts with an empty cache."""
        number = self._number_by_target.get(target_id)
        if number is not None and self._holder_by_number[number].incarnation == incarnation:
            return
        # Entries of the earlier run stay until they age out; its number is not given again,
        # so they are believed no more.
        self.remove(target_id)
        number = next(self._numbers)
        self._number_by_target[target_id] = number
        self._holder_by_number[number] = _Holder(target_id, incarnation)

    def remove(self, target_id: str) -> None:
        """Forget a target."""
        number = self._number_by_target.pop(target_id, None)
        if number is not None:
            del self._holder_by_number[number]

    def apply(
        self, target_id: str, events: Sequence[CacheEvent], late_s: float, now: float
    ) -> None:
        """Take in a target's events, sent ``late_s`` seconds ago.

        Those that are older than the newest known are left out.
        """
        dropped_by = now - late_s - REPORT_EVERY_S
        number = self._number_by_target.get(target_id)
        if number is None:
            return
        holder = self._holder_by_number[number]
        for event in events:
            if event.seq <= holder.newest_seq:
                continue
            holder.newest_seq = event.seq
            if event.op == CacheOp.ADD:
                self._add(event.prefix, number, now)
            else:
                self._drop(event.prefix, number, holder, dropped_by)

    def matches(self, prefix: Sequence[bytes], now: float) -> dict[str, int]:
        """Return how many leading blocks some targets probably have, the longest first."""
        found: dict[str, int] = {}
        position = len(prefix) - 1
        while position >= 0:
            block = prefix[position]
            holders = self._young.get(block) or self._old.get(block)
            if holders:
                self._note_holders(holders, position + 1, found, now)
                if len(found) >= MAX_HOLDERS_FOUND:
                    break
            # Behind the longest match only shorter ones of other targets are missing, and
            # those need not be exact.
            position -= STRIDE if found else 1
        return found

    def _note_holders(
        self, holders: dict[int, float], length: int, found: dict[str, int], now: float
    ) -> None:
        for number, used_at in holders.items():
            holder = self._holder_by_number.get(number)
            if holder is None or now - used_at > holder.kept_s:
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

    def _drop(self, block: bytes, number: int, holder: _Holder, dropped_by: float) -> None:
        holders = self._young.get(block) or self._old.get(block)
        if not holders or number not in holders:
            return
        # The event is late: when this host sent the same prompt there since, the target
        # has cached it again, and the event tells of the time before.
        unused_s = dropped_by - holders[number]
        if unused_s < 0:
            return
        self._forget(block, number, holders)
        if unused_s > holder.kept_s:
            holder.kept_s *= 1.0 + LEARNING * DROPPED_WITHIN
        else:
            holder.kept_s *= 1.0 - LEARNING * (1.0 - DROPPED_WITHIN)

    def _forget(self, block: bytes, number: int, holders: dict[int, float]) -> None:
        generation = self._young if block in self._young else self._old
        if generation is self._young:
            self._young_size -= 1
        del holders[number]
        if not holders:
            del generation[block]

    def __len__(self) -> int:
        young = sum(len(holders) for holders in self._young.values())
        return young + sum(len(holders) for holders in self._old.values())
