"""Remember which request ids were charged, and by which charge.

The newest ids are in a dictionary. Each time it is full, it becomes a sorted segment of
16 bytes an id, and small segments are merged into a larger one, since each is searched for
every charge. Once enough others are kept the oldest segment is forgotten, and the latest
reservation in it becomes the floor: a charge whose reservation is not after the floor and
whose id is unknown may have been billed before, so the ledger must not bill it.

Ids and charges are kept as 64-bit fingerprints (XXH3). Two of 2 million kept ids and one
new one fall together with a chance of about one in 10**13.
"""

from typing import Any, NamedTuple

import numpy
import xxhash
from numpy.typing import NDArray

from cranberrywall.budgets.messages import Charge, Holder


class IdLimits(NamedTuple):
    """Bound the memory for ids.

    A segment has ``per_segment`` ids, and ``merged`` of them become one. The newest
    ``kept`` ids are kept at least, and besides them the rest of one merged segment.
    """

    per_segment: int = 65_536
    merged: int = 8
    kept: int = 2_097_152


class _Segment(NamedTuple):
    ids: NDArray[numpy.uint64]
    charges: NDArray[numpy.uint64]
    latest: float


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
        self._segments: list[_Segment] = []
        self.floor = 0.0

    def __len__(self) -> int:
        """Return the number of ids that are kept."""
        return len(self._charge_by_id) + sum(len(segment.ids) for segment in self._segments)

    def find_old(self, ids: list[int]) -> dict[int, int]:
        """Return the charges of those ids that are in a segment.

        One call for a whole batch, since a search costs little more for many ids.
        """
        found: dict[int, int] = {}
        if not self._segments:
            return found
        wanted = numpy.array(ids, dtype=numpy.uint64)
        for segment in self._segments:
            places = numpy.searchsorted(segment.ids, wanted)
            places[places == len(segment.ids)] = 0
            for index in numpy.flatnonzero(segment.ids[places] == wanted):
                found[ids[index]] = int(segment.charges[places[index]])
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
        self._segments.append(self._make_segment())
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
        ids = numpy.concatenate([one.ids for one in small])
        charges = numpy.concatenate([one.charges for one in small])
        order = numpy.argsort(ids, kind="stable")
        latest = max(one.latest for one in small)
        self._segments[-self._limits.merged :] = [_Segment(ids[order], charges[order], latest)]

    def _make_segment(self) -> _Segment:
        count = len(self._charge_by_id)
        ids = numpy.fromiter(self._charge_by_id.keys(), numpy.uint64, count)
        charges = numpy.fromiter(self._charge_by_id.values(), numpy.uint64, count)
        order = numpy.argsort(ids)
        return _Segment(ids[order], charges[order], self._latest)

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        newest = self._make_segment()
        segments = [*self._segments, newest]
        return [
            self.floor,
            [[one.ids.tobytes(), one.charges.tobytes(), one.latest] for one in segments],
        ]

    def load(self, plain: list[Any]) -> None:
        """Replace the state by one that ``dump`` gave."""
        self.floor = plain[0]
        segments = [
            _Segment(
                numpy.frombuffer(ids, dtype=numpy.uint64),
                numpy.frombuffer(charges, dtype=numpy.uint64),
                latest,
            )
            for ids, charges, latest in plain[1]
        ]
        newest = segments.pop()
        self._segments = segments
        self._charge_by_id = dict(zip(newest.ids.tolist(), newest.charges.tolist(), strict=True))
        self._latest = newest.latest
