"""Gossip items about hosts: their addresses, versions, states and loads."""

from typing import NamedTuple

import msgspec

from cranberrywall.hosts._interfaces import HostState
from cranberrywall.hosts.messages import Item, Urgency

HOSTS_TOPIC = "host"
LOAD_TOPIC = "load"
PLACE_LOAD_TOPIC = "place-load"

_LOAD_SCALE = 255
"""Value of the payload byte that stands for a load of 1."""


class HostRecord(NamedTuple):
    """Place and addresses that a host announces for itself."""

    place: str
    links: str
    http: str


class HostVersion(NamedTuple):
    """Version of a host's entry; versions compare field by field, from the first to the last.

    A new incarnation supersedes all versions of the previous one. Within an incarnation,
    leaving supersedes everything else. Only the host itself increments ``number``, to refute
    a suspicion. A suspect or dead verdict applies to one number: it supersedes that number,
    and a higher number supersedes the verdict.
    """

    incarnation: int
    leaving: int
    number: int
    verdict: int


ALIVE, SUSPECT, DEAD = 0, 1, 2

_STATE_BY_VERDICT = {SUSPECT: HostState.SUSPECT, DEAD: HostState.DEAD}


class Entry(NamedTuple):
    """Newest record and version of a host."""

    host: str
    record: HostRecord
    version: HostVersion

    @property
    def state(self) -> HostState:
        """Return the state in the version, without this host's own corrections.

        ``Roster.view`` applies the corrections for flapping hosts and unreachable places.
        """
        if self.version.verdict != ALIVE:
            return _STATE_BY_VERDICT[self.version.verdict]
        return HostState.LEAVING if self.version.leaving else HostState.ALIVE

    def to_item(self) -> Item:
        """Return the entry as an urgent gossip item, which is pushed immediately."""
        payload = msgspec.msgpack.encode(self.record)
        return Item(HOSTS_TOPIC, self.host, tuple(self.version), payload, urgency=Urgency.URGENT)

    def with_verdict(self, verdict: int) -> "Entry":
        """Return the entry with ``verdict`` on the same number."""
        return self._replace(version=self.version._replace(verdict=verdict))


def decode_entry(item: Item) -> Entry:
    """Return the entry in ``item``.

    Raises:
        ValueError: the item is not a valid entry of a host.
    """
    if len(item.version) != len(HostVersion._fields) or not ALIVE <= item.version[-1] <= DEAD:
        raise ValueError(f"{item.version} is not a valid version of a host entry")
    record = msgspec.msgpack.decode(item.payload, type=HostRecord)
    return Entry(item.key, record, HostVersion(*item.version))


def encode_load(
    topic: str, key: str, version: tuple[int, ...], load: float, place: str = ""
) -> Item:
    """Return the gossip item for ``load``, the share of capacity in use, 0 to 1."""
    share = bytes([round(min(1.0, max(0.0, load)) * _LOAD_SCALE)])
    return Item(topic, key, version, share, place, Urgency.VOLATILE)


def decode_load(item: Item | None) -> float:
    """Return the load in ``item``, or 0 if there is no item."""
    if item is None or not item.payload:
        return 0.0
    return item.payload[0] / _LOAD_SCALE
