"""Remember which request ids were charged, and by which charge.

The newest ids are in a dictionary. Each time it is full, it becomes a sorted segment of
16 bytes an id, and small segments are merged into a larger one, since each is searched for
every charge. Once enough others are kept the oldest segment is forgotten, and the latest
reservation in it becomes the floor: a charge whose reservation is not after the floor and
whose id is unknown may have been billed before, so the ledger must not bill it.

Ids and charges are kept as 64-bit fingerprints (XXH3). Two of 2 million kept ids and one
new one fall together with a chance of about one in 10**13.
"""

from typing import TYPE_CHECKING, Any, NamedTuple

import xxhash

from cranberrywall.budgets.messages import Charge, Holder

if TYPE_CHECKING:
    from cranberrywall.budgets._id_segments import Segment


class IdLimits(NamedTuple):
    """Bound the memory for ids.

    A segment has ``per_segment`` ids, and ``merged`` of them become one. The newest
    ``kept`` ids are kept at least, and besides them the rest of one merged segment.
    """

    per_segment: int = 65_536
    merged: int = 8
    kept: int = 2_097_152


def id_fingerprint(workspace: str, request_id: str) -> int:
    """Return the fingerprint that names one request."""
    return xxhash.xxh3_64_intdigest(f"{workspace}\0{request_id}".encode())


def charge_fingerprint(holder: Holder, charge: Charge) -> int:
    """Return the fingerprint that tells a resent charge from another one of the same id."""
    text = f"{holder.host}\0{holder.incarnation}\0{charge.budget}\0{charge.number}"
    return xxhash.xxh3_64_intdigest(text.encode())


class ChargeIds:
    """Map the ids of charged requests to the charge that was first."""

    def __init__(self, limits: IdLimits) -> None:
        self._limits = limits
        self._charge_by_id: dict[int, int] = {}
        self._latest = 0.0
        self._segments: list[Segment] = []
        self.floor = 0.0
        # Hosts that only spend have no ids to keep, and do without the module's library.
        from cranberrywall.budgets import _id_segments

        self._make = _id_segments

    def __len__(self) -> int:
        """Return the number of ids that are kept."""
        return len(self._charge_by_id) + sum(len(segment.ids) for segment in self._segments)

    def find_old(self, ids: list[int]) -> dict[int, int]:
        """Return the charges of those ids that are in a segment.

        One call for a whole batch, since a search costs little more for many ids.
        """
        found: dict[int, int] = {}
        for segment in self._segments:
            found |= segment.find(ids)
        return found

    def find_new(self, id_: int) -> int | None:
        """Return the charge of an id that is not in a segment yet."""
        return self._charge_by_id.get(id_)

    def add(self, id_: int, charge: int, reserved_at: float) -> None:
        """Note the first charge of an id."""
        self._charge_by_id[id_] = charge
        self._latest = max(self._latest, reserved_at)

    def trim(self) -> None:
        """Move the newest ids to a segment and forget the oldest segment, where due.

        Call it between batches: ``find_old`` answers for the segments of its time.
        """
        if len(self._charge_by_id) < self._limits.per_segment:
            return
        self._segments.append(self._make.make_segment(self._charge_by_id, self._latest))
        self._charge_by_id = {}
        self._latest = 0.0
        self._merge_small()
        while len(self) - len(self._segments[0].ids) >= self._limits.kept:
            self.floor = max(self.floor, self._segments.pop(0).latest)

    def _merge_small(self) -> None:
        small = self._segments[-self._limits.merged :]
        is_large = any(len(one.ids) >= 2 * self._limits.per_segment for one in small)
        if len(small) < self._limits.merged or is_large:
            return
        self._segments[-self._limits.merged :] = [self._make.merge_segments(small)]

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        newest = self._make.make_segment(self._charge_by_id, self._latest)
        return [self.floor, [one.dump() for one in (*self._segments, newest)]]

    def load(self, plain: list[Any]) -> None:
        """Replace the state by one that ``dump`` gave."""
        self.floor = plain[0]
        *self._segments, newest = [self._make.load_segment(one) for one in plain[1]]
        self._charge_by_id = newest.as_dictionary()
        self._latest = newest.latest
