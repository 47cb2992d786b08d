"""Segments of request ids with their charges, stored as sorted arrays.

Only control hosts create segments. Entry hosts must not import this module: its library, numpy,
adds 0.09 s to the start of a process and 20 MB of memory.
"""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import numpy
from numpy.typing import NDArray


class Segment(NamedTuple):
    """Sorted ids, their charges, and the latest reservation among them."""

    ids: NDArray[numpy.uint64]
    charges: NDArray[numpy.uint64]
    latest: float

    def find(self, ids: Sequence[int]) -> dict[int, int]:
        """Return the charges of those ``ids`` that are in this segment."""
        searched = numpy.array(ids, dtype=numpy.uint64)
        positions = numpy.searchsorted(self.ids, searched)
        positions[positions == len(self.ids)] = 0
        found = numpy.flatnonzero(self.ids[positions] == searched)
        return {ids[index]: int(self.charges[positions[index]]) for index in found.tolist()}

    def dump(self) -> list[Any]:
        """Return the segment's state, for a snapshot."""
        return [self.ids.tobytes(), self.charges.tobytes(), self.latest]

    def as_dictionary(self) -> dict[int, int]:
        """Return the charges by id."""
        return dict(zip(self.ids.tolist(), self.charges.tolist(), strict=True))


def make_segment(charge_by_id: Mapping[int, int], latest: float) -> Segment:
    """Return a segment of the ids of a dictionary."""
    count = len(charge_by_id)
    ids = numpy.fromiter(charge_by_id.keys(), numpy.uint64, count)
    charges = numpy.fromiter(charge_by_id.values(), numpy.uint64, count)
    order = numpy.argsort(ids)
    return Segment(ids[order], charges[order], latest)


def merge_segments(segments: Sequence[Segment]) -> Segment:
    """Return one segment of all ids of several segments."""
    ids = numpy.concatenate([segment.ids for segment in segments])
    charges = numpy.concatenate([segment.charges for segment in segments])
    order = numpy.argsort(ids, kind="stable")
    return Segment(ids[order], charges[order], max(segment.latest for segment in segments))


def load_segment(plain: Sequence[Any]) -> Segment:
    """Return the segment that ``Segment.dump`` described."""
    ids, charges, latest = plain
    return Segment(
        numpy.frombuffer(ids, dtype=numpy.uint64),
        numpy.frombuffer(charges, dtype=numpy.uint64),
        latest,
    )
