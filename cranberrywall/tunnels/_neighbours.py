"""Choice of the neighbour that connects to a target for this host."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from heapq import nsmallest
from typing import NamedTuple

from cranberrywall.errors import ErrorKind
from cranberrywall.hosts import HostView
from cranberrywall.runtime import Random

RESULT_RETENTION_S = 2.0
"""Time for which it counts whether a neighbour could connect to a target, in seconds."""

ANY_TARGET = ""


class _Pair(NamedTuple):
    host: str
    target: str


class Neighbours:
    """Order the entry hosts that are alive by how likely they can connect to a target.

    A host that recently connected to the target comes first, one that could not comes last. Among
    equals those come first that carry the fewest connections for this host, and then those in this
    host's place.
    """

    def __init__(
        self, host: str, place: str, alive: Callable[[], Sequence[HostView]], random: Random
    ) -> None:
        self._host = host
        self._place = place
        self._alive = alive
        self._random = random
        self._failed_at: dict[_Pair, float] = {}
        self._connected_at: dict[_Pair, float] = {}
        self._used_by_host: Counter[str] = Counter()

    def ranked(self, target: str, count: int, now: float) -> list[HostView]:
        """Return at most ``count`` neighbours for a connection to ``target``."""
        views = [view for view in self._alive() if view.host != self._host and view.links]
        best = nsmallest(count, views, key=lambda view: self._rank(view, target, now))
        # The hosts of a place may lose their paths together.
        first_place = best[0].place if best else ""
        return best[:1] + sorted(best[1:], key=lambda view: view.place == first_place)

    def record_failed(self, host: str, target: str, kind: ErrorKind, now: float) -> None:
        """Record that a neighbour could not connect to a target, and why."""
        pair = _Pair(host, target)
        self._connected_at.pop(pair, None)
        self._failed_at[pair] = now
        if kind is ErrorKind.UNREACHABLE:
            self._failed_at[_Pair(host, ANY_TARGET)] = now

    def record_opened(self, host: str, target: str, now: float) -> None:
        """Record a connection to a target that a neighbour carries from now on."""
        for pair in (_Pair(host, target), _Pair(host, ANY_TARGET)):
            self._failed_at.pop(pair, None)
            self._connected_at[pair] = now
        self._used_by_host[host] += 1

    def record_closed(self, host: str) -> None:
        """Record the end of a connection that a neighbour carried."""
        self._used_by_host[host] -= 1
        if not self._used_by_host[host]:
            del self._used_by_host[host]

    def _rank(self, view: HostView, target: str, now: float) -> tuple[object, ...]:
        pair, any_target = _Pair(view.host, target), _Pair(view.host, ANY_TARGET)
        return (
            _is_recent(self._failed_at, pair, now),
            _is_recent(self._failed_at, any_target, now),
            not _is_recent(self._connected_at, pair, now),
            not _is_recent(self._connected_at, any_target, now),
            self._used_by_host[view.host],
            view.place != self._place,
            self._random.random(),
        )

    def expire(self, now: float) -> None:
        """Forget the results that are too old to be used."""
        for times in (self._failed_at, self._connected_at):
            for pair in [pair for pair in times if not _is_recent(times, pair, now)]:
                del times[pair]


def _is_recent(times: Mapping[_Pair, float], pair: _Pair, now: float) -> bool:
    return now - times.get(pair, float("-inf")) < RESULT_RETENTION_S
