"""Roster of the hosts with their states as this host sees them.

A suspicion redirects traffic only. It never moves money.
"""

from collections import Counter, deque
from collections.abc import Iterable, Sequence

from cranberrywall.hosts._entries import (
    ALIVE,
    DEAD,
    LOAD_TOPIC,
    PLACE_LOAD_TOPIC,
    SUSPECT,
    Entry,
    HostRecord,
    HostVersion,
    decode_entry,
    decode_load,
)
from cranberrywall.hosts._interfaces import HostState, HostView
from cranberrywall.hosts._ring import Rings
from cranberrywall.hosts._table import ItemTable
from cranberrywall.hosts._timings import MembershipTimings
from cranberrywall.hosts.messages import Item

_MAX_RECORDED_FAILURES = 16


class Roster:
    """Stores the entry of each host, and derives states and neighbours from all of them."""

    def __init__(self, own: Entry, table: ItemTable, timings: MembershipTimings) -> None:
        self.own = own
        self._table = table
        self._timings = timings
        self._entry_by_host: dict[str, Entry] = {own.host: own}
        self._suspect_since: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self._failures_by_host: dict[str, deque[float]] = {}
        # The hosts that are not dead, by place.
        self._rings_by_place: dict[str, Rings] = {own.record.place: Rings([own.host])}
        self._neighbours: list[str] | None = None
        self._unreachable_places: frozenset[str] | None = None
        self.is_superseded = False
        self.transitions: Counter[HostState] = Counter()

    def __len__(self) -> int:
        return len(self._entry_by_host)

    def entry(self, host: str) -> Entry | None:
        """Return the newest entry of ``host``, or ``None`` if it is not recorded."""
        return self._entry_by_host.get(host)

    def entries(self) -> Iterable[Entry]:
        """Return the entries of all recorded hosts."""
        return self._entry_by_host.values()

    def apply(self, item: Item, now: float) -> Entry | None:
        """Apply a new item about a host; return this host's entry if it must be published again."""
        try:
            entry = decode_entry(item)
        except ValueError:
            # The table stores the item, so that it is rejected only once.
            return None
        if entry.host == self.own.host:
            return self._refute(entry)
        before = self._entry_by_host.get(entry.host)
        self._entry_by_host[entry.host] = entry
        self._update_rings(before, entry)
        self._unreachable_places = None
        if before is None or before.state is not entry.state:
            self.transitions[entry.state] += 1
        self._record_change(before, entry, now)
        return None

    def propose_verdict(self, host: str, verdict: int) -> Entry | None:
        """Return the entry of ``host`` with ``verdict``, or ``None`` if it has that already.

        A leaving host does not become a suspect: it is dead as soon as it does not answer.
        """
        entry = self._entry_by_host.get(host)
        if entry is None or entry.version.verdict >= verdict:
            return None
        if entry.version.leaving and verdict == SUSPECT:
            return entry.with_verdict(DEAD)
        return entry.with_verdict(verdict)

    def expired_suspects(self, now: float) -> list[Entry]:
        """Return the entries, with a dead verdict, of hosts that were suspect for too long.

        Hosts of an unreachable place stay suspect for ``dead_retention``: none of them can
        answer, and each would have to refute its death when the partition ends.
        """
        dead = []
        for host, since in self._suspect_since.items():
            entry = self._entry_by_host[host]
            is_unreachable = entry.record.place in self.unreachable_places()
            max_wait = self._timings.dead_retention if is_unreachable else self._timings.suspicion
            if now - since >= max_wait:
                dead.append(entry.with_verdict(DEAD))
        return dead

    def extend_suspicions(self, seconds: float) -> None:
        """Extend all suspicions by ``seconds``, the time for which this process was stalled."""
        for host in self._suspect_since:
            self._suspect_since[host] += seconds

    def remove_expired_dead(self, now: float) -> list[str]:
        """Remove hosts that were dead for ``dead_retention``, and return their names."""
        before = now - self._timings.dead_retention
        expired = [host for host, since in self._dead_since.items() if since < before]
        for host in expired:
            del self._dead_since[host]
            del self._entry_by_host[host]
            self._failures_by_host.pop(host, None)
        return expired

    def neighbours(self) -> Sequence[Entry]:
        """Return the hosts with which this one communicates.

        They are in its own place and, if it is a delegate, also in other places. Suspects are
        included, so that they can answer; dead hosts are not.
        """
        if self._neighbours is None:
            self._neighbours = self._choose_neighbours()
        return [self._entry_by_host[host] for host in self._neighbours]

    def size_of_own_place(self) -> int:
        """Return the number of hosts in this host's place that are not dead."""
        return len(self._rings_by_place[self.own.record.place])

    def is_delegate(self) -> bool:
        """Return whether this host communicates with other places on behalf of its own."""
        return self.own.host in self._rings_by_place[self.own.record.place].delegates()

    def dead_neighbours(self) -> Sequence[Entry]:
        """Return dead hosts that would be neighbours, to check whether they have returned.

        Hosts that left are not included.
        """
        dead = {host for host in self._dead_since if not self._entry_by_host[host].version.leaving}
        own_place = self.own.record.place
        local = {host for host in dead if self._entry_by_host[host].record.place == own_place}
        chosen = Rings({self.own.host, *local}).neighbours(self.own.host)
        if self.is_delegate():
            chosen += Rings({self.own.host, *dead - local}).neighbours(self.own.host)
        return [self._entry_by_host[host] for host in chosen]

    def unreachable_places(self) -> frozenset[str]:
        """Return the places without contact: all their delegates are suspect.

        The delegates are the only hosts that communicate with other places. If all of them are
        lost, the state of the other hosts in their place cannot be determined from here.
        """
        if self._unreachable_places is None:
            self._unreachable_places = frozenset(
                place
                for place, rings in self._rings_by_place.items()
                if place != self.own.record.place and self._all_suspect(rings.delegates())
            )
        return self._unreachable_places

    def view(self, host: str, now: float) -> HostView | None:
        """Return the view of ``host``, or ``None`` if it is not recorded."""
        entry = self._entry_by_host.get(host)
        return None if entry is None else self._view(entry, now)

    def views(self, now: float) -> list[HostView]:
        """Return the views of all recorded hosts."""
        return [self._view(entry, now) for entry in self._entry_by_host.values()]

    def _view(self, entry: Entry, now: float) -> HostView:
        record = entry.record
        return HostView(
            host=entry.host,
            place=record.place,
            links=record.links,
            http=record.http,
            incarnation=entry.version.incarnation,
            state=self._effective_state(entry, now),
            load=self._load(entry),
        )

    def _effective_state(self, entry: Entry, now: float) -> HostState:
        state = entry.state
        if state is not HostState.ALIVE or entry.host == self.own.host:
            return state
        if entry.record.place in self.unreachable_places() or self._is_excluded_for_flapping(
            entry.host, now
        ):
            return HostState.SUSPECT
        return state

    def _load(self, entry: Entry) -> float:
        item = self._table.get(LOAD_TOPIC, entry.host)
        if item is None:
            item = self._table.get(PLACE_LOAD_TOPIC, entry.record.place)
        return decode_load(item)

    def _is_excluded_for_flapping(self, host: str, now: float) -> bool:
        """Return whether a host is excluded because it failed several times recently.

        Otherwise callers would be sent to a flapping host each time it returns, shortly before
        it fails again. The exclusion gets longer with each recent failure, and ends when that time
        has passed since the last failure.
        """
        failures = self._failures_by_host.get(host)
        if failures is None:
            return False
        recent = sum(1 for at in failures if now - at < self._timings.flap_window)
        if recent < self._timings.flap_threshold:
            return False
        exclusion = self._timings.flap_exclusion * 2.0 ** (recent - self._timings.flap_threshold)
        return now - failures[-1] < min(exclusion, self._timings.max_flap_exclusion)

    def _record_change(self, before: Entry | None, entry: Entry, now: float) -> None:
        host = entry.host
        self._suspect_since.pop(host, None)
        self._dead_since.pop(host, None)
        if entry.state is HostState.SUSPECT:
            self._suspect_since[host] = now
        elif entry.state is HostState.DEAD:
            self._dead_since[host] = now
        if before is not None and before.state is HostState.ALIVE and entry.version.verdict:
            self._failures_by_host.setdefault(host, deque(maxlen=_MAX_RECORDED_FAILURES)).append(
                now
            )

    def _refute(self, received: Entry) -> Entry | None:
        if received.version.incarnation > self.own.version.incarnation:
            # Another process with this host's name runs, or ran with a clock that was ahead.
            self.is_superseded = True
            return None
        if received.version == self.own.version:
            return None
        self.own = self.own._replace(
            version=self.own.version._replace(number=received.version.number + 1)
        )
        self._entry_by_host[self.own.host] = self.own
        return self.own

    def update_own(self, record: HostRecord | None = None, leaving: bool | None = None) -> Entry:
        """Change this host's entry, and return it so that the caller publishes it."""
        version = self.own.version
        version = HostVersion(
            version.incarnation,
            version.leaving if leaving is None else int(leaving),
            version.number + 1,
            ALIVE,
        )
        self.own = self.own._replace(record=record or self.own.record, version=version)
        self._entry_by_host[self.own.host] = self.own
        return self.own

    def _choose_neighbours(self) -> list[str]:
        chosen = self._rings_by_place[self.own.record.place].neighbours(self.own.host)
        if self.is_delegate():
            rings = self._rings_by_place.values()
            delegates = Rings(host for one in rings for host in one.delegates())
            chosen += [host for host in delegates.neighbours(self.own.host) if host not in chosen]
        return chosen

    def _update_rings(self, before: Entry | None, entry: Entry) -> None:
        was_present = before is not None and before.state is not HostState.DEAD
        is_present = entry.state is not HostState.DEAD
        if before is not None and was_present:
            if is_present and before.record.place == entry.record.place:
                return
            self._remove_from_rings(before)
        if is_present:
            self._rings_by_place.setdefault(entry.record.place, Rings()).add(entry.host)
        self._neighbours = None

    def _remove_from_rings(self, entry: Entry) -> None:
        place = entry.record.place
        rings = self._rings_by_place[place]
        rings.remove(entry.host)
        if not len(rings):
            del self._rings_by_place[place]

    def _all_suspect(self, hosts: Sequence[str]) -> bool:
        return all(self._entry_by_host[host].state is HostState.SUSPECT for host in hosts)
