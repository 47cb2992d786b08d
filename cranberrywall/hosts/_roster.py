"""Keep what this host believes of the others; suspicion moves traffic and never money."""

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
    read_entry,
    read_load,
)
from cranberrywall.hosts._interfaces import HostState, HostView
from cranberrywall.hosts._pace import MembershipTimings
from cranberrywall.hosts._ring import Rings
from cranberrywall.hosts._table import Table
from cranberrywall.hosts.messages import Item

_FALLS_KEPT = 16


class Roster:
    """Hold an entry for each host, and judge by all of them."""

    def __init__(self, own: Entry, table: Table, pace: MembershipTimings) -> None:
        self.own = own
        self._table = table
        self._pace = pace
        self._entry_by_host: dict[str, Entry] = {own.host: own}
        self._suspect_since: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self._falls_by_host: dict[str, deque[float]] = {}
        # The hosts that are not dead, by place.
        self._rings_by_place: dict[str, Rings] = {own.record.place: Rings([own.host])}
        self._neighbours: list[str] | None = None
        self._cut_places: frozenset[str] | None = None
        self.is_superseded = False
        self.transitions: Counter[HostState] = Counter()

    def __len__(self) -> int:
        return len(self._entry_by_host)

    def entry(self, host: str) -> Entry | None:
        """Return the newest entry of a host."""
        return self._entry_by_host.get(host)

    def entries(self) -> Iterable[Entry]:
        """Return the entries of all hosts known."""
        return self._entry_by_host.values()

    def take(self, item: Item, now: float) -> Entry | None:
        """Take in news of a host; return this host's own entry where it must be said anew."""
        try:
            entry = read_entry(item)
        except ValueError:
            # The table holds the item, so that it is refused only once.
            return None
        if entry.host == self.own.host:
            return self._answer_for_own(entry)
        before = self._entry_by_host.get(entry.host)
        self._entry_by_host[entry.host] = entry
        self._place_on_rings(before, entry)
        self._cut_places = None
        if before is None or before.state is not entry.state:
            self.transitions[entry.state] += 1
        self._note_change(before, entry, now)
        return None

    def judge(self, host: str, verdict: int) -> Entry | None:
        """Return the entry of ``host`` with a verdict, or ``None`` where it has it already.

        A host that leaves is not suspected: it is dead once it does not answer.
        """
        entry = self._entry_by_host.get(host)
        if entry is None or entry.version.verdict >= verdict:
            return None
        if entry.version.leaving and verdict == SUSPECT:
            return entry.judged(DEAD)
        return entry.judged(verdict)

    def overdue(self, now: float) -> list[Entry]:
        """Return the suspects whose time is over, as dead.

        Hosts of a place that is cut off are left as they are: none of them can answer, and
        each would have to refute its death when the cut ends.
        """
        dead = []
        for host, since in self._suspect_since.items():
            entry = self._entry_by_host[host]
            is_cut = entry.record.place in self.cut_places()
            patience = self._pace.forget_after if is_cut else self._pace.suspicion
            if now - since >= patience:
                dead.append(entry.judged(DEAD))
        return dead

    def excuse(self, seconds: float) -> None:
        """Give suspects ``seconds`` more, in which this process did not run."""
        for host in self._suspect_since:
            self._suspect_since[host] += seconds

    def forget_dead(self, now: float) -> list[str]:
        """Forget hosts that have been dead for long, and return their names."""
        before = now - self._pace.forget_after
        gone = [host for host, since in self._dead_since.items() if since < before]
        for host in gone:
            del self._dead_since[host]
            del self._entry_by_host[host]
            self._falls_by_host.pop(host, None)
        return gone

    def neighbours(self) -> Sequence[Entry]:
        """Return the hosts with which this one talks: in its place and, as a delegate, beyond.

        Suspects are among them, so that they can answer; dead hosts are not.
        """
        if self._neighbours is None:
            self._neighbours = self._choose_neighbours()
        return [self._entry_by_host[host] for host in self._neighbours]

    def size_of_own_place(self) -> int:
        """Return the number of hosts in this host's place that are not dead."""
        return len(self._rings_by_place[self.own.record.place])

    def is_delegate(self) -> bool:
        """Say whether this host talks with other places for its own."""
        return self.own.host in self._rings_by_place[self.own.record.place].delegates()

    def former_neighbours(self) -> Sequence[Entry]:
        """Return dead hosts that would be neighbours, to try whether they are back.

        Hosts that left are not tried.
        """
        dead = {host for host in self._dead_since if not self._entry_by_host[host].version.leaving}
        own_place = self.own.record.place
        here = {host for host in dead if self._entry_by_host[host].record.place == own_place}
        tried = Rings({self.own.host, *here}).neighbours(self.own.host)
        if self.is_delegate():
            tried += Rings({self.own.host, *dead - here}).neighbours(self.own.host)
        return [self._entry_by_host[host] for host in tried]

    def cut_places(self) -> frozenset[str]:
        """Return the places with which contact is lost: all their delegates are suspect.

        The delegates are the only hosts that other places talk to, so their loss says
        nothing of the hosts behind them, except that nobody here can tell.
        """
        if self._cut_places is None:
            self._cut_places = frozenset(
                place
                for place, rings in self._rings_by_place.items()
                if place != self.own.record.place and self._all_suspect(rings.delegates())
            )
        return self._cut_places

    def view(self, host: str, now: float) -> HostView | None:
        """Return what this host believes of one host."""
        entry = self._entry_by_host.get(host)
        return None if entry is None else self._view(entry, now)

    def views(self, now: float) -> list[HostView]:
        """Return what this host believes of all hosts."""
        return [self._view(entry, now) for entry in self._entry_by_host.values()]

    def _view(self, entry: Entry, now: float) -> HostView:
        record = entry.record
        return HostView(
            host=entry.host,
            place=record.place,
            links=record.links,
            http=record.http,
            incarnation=entry.version.incarnation,
            state=self._believed(entry, now),
            load=self._load(entry),
        )

    def _believed(self, entry: Entry, now: float) -> HostState:
        state = entry.state
        if state is not HostState.ALIVE or entry.host == self.own.host:
            return state
        if entry.record.place in self.cut_places() or self._is_held(entry.host, now):
            return HostState.SUSPECT
        return state

    def _load(self, entry: Entry) -> float:
        item = self._table.get(LOAD_TOPIC, entry.host)
        if item is None:
            item = self._table.get(PLACE_LOAD_TOPIC, entry.record.place)
        return read_load(item)

    def _is_held(self, host: str, now: float) -> bool:
        """Say whether a host that fell often of late is kept out for a while.

        Each time that a flapping host comes back, callers would be sent to it just before it
        falls again. It is held out longer with each fall, and back once it has stood.
        """
        falls = self._falls_by_host.get(host)
        if falls is None:
            return False
        recent = sum(1 for at in falls if now - at < self._pace.flap_window)
        if recent < self._pace.flaps:
            return False
        hold = self._pace.flap_hold * 2.0 ** (recent - self._pace.flaps)
        return now - falls[-1] < min(hold, self._pace.flap_hold_longest)

    def _note_change(self, before: Entry | None, entry: Entry, now: float) -> None:
        host = entry.host
        self._suspect_since.pop(host, None)
        self._dead_since.pop(host, None)
        if entry.state is HostState.SUSPECT:
            self._suspect_since[host] = now
        elif entry.state is HostState.DEAD:
            self._dead_since[host] = now
        if before is not None and before.state is HostState.ALIVE and entry.version.verdict:
            self._falls_by_host.setdefault(host, deque(maxlen=_FALLS_KEPT)).append(now)

    def _answer_for_own(self, said: Entry) -> Entry | None:
        if said.version.incarnation > self.own.version.incarnation:
            # Another process runs under this host's name, or ran with a clock ahead.
            self.is_superseded = True
            return None
        if said.version == self.own.version:
            return None
        self.own = self.own._replace(
            version=self.own.version._replace(number=said.version.number + 1)
        )
        self._entry_by_host[self.own.host] = self.own
        return self.own

    def change_own(self, record: HostRecord | None = None, leaving: bool | None = None) -> Entry:
        """Return this host's entry with a change, to be published."""
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
            speakers = Rings(host for one in rings for host in one.delegates())
            chosen += [host for host in speakers.neighbours(self.own.host) if host not in chosen]
        return chosen

    def _place_on_rings(self, before: Entry | None, entry: Entry) -> None:
        was_present = before is not None and before.state is not HostState.DEAD
        is_present = entry.state is not HostState.DEAD
        if before is not None and was_present:
            if is_present and before.record.place == entry.record.place:
                return
            self._take_off_rings(before)
        if is_present:
            self._rings_by_place.setdefault(entry.record.place, Rings()).add(entry.host)
        self._neighbours = None

    def _take_off_rings(self, entry: Entry) -> None:
        place = entry.record.place
        rings = self._rings_by_place[place]
        rings.remove(entry.host)
        if not len(rings):
            del self._rings_by_place[place]

    def _all_suspect(self, hosts: Sequence[str]) -> bool:
        return all(self._entry_by_host[host].state is HostState.SUSPECT for host in hosts)
