"""Request ids that were charged, each with the charge that billed it.

The newest ids are in a dictionary. When it is full, it becomes a sorted segment of 16 bytes an id.
Small segments are merged into a larger one, because each segment is searched for every charge. Once
enough newer ids are stored, the oldest segment is evicted, and the latest reservation in it becomes
the floor. A charge with an unknown id and a reservation that is not after the floor may have been
billed before, so the ledger must not bill it.

Ids and charges are stored as 64-bit fingerprints (XXH3). The chance that one new id collides with
one of 2 million stored ids is about one in 10**13.
"""

from typing import TYPE_CHECKING, Any, NamedTuple

import xxhash

from cranberrywall.budgets.messages import Charge, Holder

if TYPE_CHECKING:
    from cranberrywall.budgets._id_segments import Segment


class IdLimits(NamedTuple):
    """Limits on the memory for request ids.

    A segment has ``per_segment`` ids, and ``merged`` segments are merged into one. At least the
    newest ``kept`` ids are stored; at most the remainder of one merged segment is stored in
    addition.
    """

    per_segment: int = 65_536
    merged: int = 8
    kept: int = 2_097_152


def id_fingerprint(workspace: str, request_id: str) -> int:
    """Return the fingerprint that identifies one request."""
    return xxhash.xxh3_64_intdigest(f"{workspace}\0{request_id}".encode())


def charge_fingerprint(holder: Holder, charge: Charge) -> int:
    """Return the fingerprint by which a resent charge is recognised."""
    text = f"{holder.host}\0{holder.incarnation}\0{charge.budget}\0{charge.number}"
    return xxhash.xxh3_64_intdigest(text.encode())


class ChargeIds:
    """Request ids, each with the fingerprint of the first charge for it."""

    def __init__(self, limits: IdLimits) -> None:
        self._limits = limits
        self._charge_by_id: dict[int, int] = {}
        self._latest_reserved_at = 0.0
        self._segments: list[Segment] = []
        self.floor = 0.0
        # Imported here so that entry hosts, which store no ids, do not load the library that the
        # module needs.
        from cranberrywall.budgets import _id_segments

        self._segment_module = _id_segments

    def __len__(self) -> int:
        """Return the number of stored ids."""
        return len(self._charge_by_id) + sum(len(segment.ids) for segment in self._segments)

    def find_in_segments(self, ids: list[int]) -> dict[int, int]:
        """Return the charges of those ``ids`` that are in a segment.

        Call it once for a full batch: a search for many ids costs little more than one for a single
        id.
        """
        found: dict[int, int] = {}
        for segment in self._segments:
            found |= segment.find(ids)
        return found

    def find_recent(self, id_: int) -> int | None:
        """Return the charge of an id that is not in a segment yet, or ``None``."""
        return self._charge_by_id.get(id_)

    def add(self, id_: int, charge: int, reserved_at: float) -> None:
        """Record the first charge of an id."""
        self._charge_by_id[id_] = charge
        self._latest_reserved_at = max(self._latest_reserved_at, reserved_at)

    def trim(self) -> None:
        """Move the newest ids to a segment and evict the oldest segments, if the limits require it.

        Call it only between batches, because it invalidates earlier results of
        ``find_in_segments``.
        """
        if len(self._charge_by_id) < self._limits.per_segment:
            return
        self._segments.append(
            self._segment_module.make_segment(self._charge_by_id, self._latest_reserved_at)
        )
        self._charge_by_id = {}
        self._latest_reserved_at = 0.0
        self._merge_small_segments()
        while len(self) - len(self._segments[0].ids) >= self._limits.kept:
            self.floor = max(self.floor, self._segments.pop(0).latest)

    def _merge_small_segments(self) -> None:
        small = self._segments[-self._limits.merged :]
        is_large = any(len(one.ids) >= 2 * self._limits.per_segment for one in small)
        if len(small) < self._limits.merged or is_large:
            return
        self._segments[-self._limits.merged :] = [self._segment_module.merge_segments(small)]

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        newest = self._segment_module.make_segment(self._charge_by_id, self._latest_reserved_at)
        return [self.floor, [one.dump() for one in (*self._segments, newest)]]

    def load(self, plain: list[Any]) -> None:
        """Replace the state with one that ``dump`` returned."""
        self.floor = plain[0]
        *self._segments, newest = [self._segment_module.load_segment(one) for one in plain[1]]
        self._charge_by_id = newest.as_dictionary()
        self._latest_reserved_at = newest.latest
