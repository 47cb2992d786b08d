"""Read and write what the hosts spread about each other."""

from typing import NamedTuple

import msgspec

from cranberrywall.hosts._interfaces import HostState
from cranberrywall.hosts.messages import Item, Urgency

HOSTS_TOPIC = "host"
LOAD_TOPIC = "load"
PLACE_LOAD_TOPIC = "place-load"

_LOAD_STEPS = 255


class HostRecord(NamedTuple):
    """Hold what a host says of itself."""

    place: str
    links: str
    http: str


class HostVersion(NamedTuple):
    """Order what is said of a host; the fields compare from the first to the last.

    A new start of the host overtakes the old one. Leaving overtakes everything else of a
    start. ``number`` is raised by the host itself alone, to refute a suspicion; suspicion and
    death are said of one number and so overtake it, and a higher number overtakes them.
    """

    incarnation: int
    leaving: int
    number: int
    verdict: int


ALIVE, SUSPECT, DEAD = 0, 1, 2

_STATE_BY_VERDICT = {SUSPECT: HostState.SUSPECT, DEAD: HostState.DEAD}


class Entry(NamedTuple):
    """Hold the newest that is known of a host."""

    host: str
    record: HostRecord
    version: HostVersion

    @property
    def state(self) -> HostState:
        """Return what the version says, without what this host makes of it."""
        if self.version.verdict != ALIVE:
            return _STATE_BY_VERDICT[self.version.verdict]
        return HostState.LEAVING if self.version.leaving else HostState.ALIVE

    def item(self) -> Item:
        """Return the entry as an item that spreads at once."""
        payload = msgspec.msgpack.encode(self.record)
        return Item(HOSTS_TOPIC, self.host, tuple(self.version), payload, urgency=Urgency.URGENT)

    def judged(self, verdict: int) -> "Entry":
        """Return the entry with a verdict on the same number."""
        return self._replace(version=self.version._replace(verdict=verdict))


def read_entry(item: Item) -> Entry:
    """Return the item's entry, or raise ``ValueError`` where it is not one."""
    if len(item.version) != len(HostVersion._fields) or not ALIVE <= item.version[-1] <= DEAD:
        raise ValueError(f"{item.version} is no version of a host")
    record = msgspec.msgpack.decode(item.payload, type=HostRecord)
    return Entry(item.key, record, HostVersion(*item.version))


def load_item(topic: str, key: str, version: tuple[int, ...], load: float, place: str = "") -> Item:
    """Return the item of a share of capacity in use, 0 to 1."""
    share = bytes([round(min(1.0, max(0.0, load)) * _LOAD_STEPS)])
    return Item(topic, key, version, share, place, Urgency.VOLATILE)


def read_load(item: Item | None) -> float:
    """Return the load of an item, 0 where there is none."""
    if item is None or not item.payload:
        return 0.0
    return item.payload[0] / _LOAD_STEPS
