"""Messages that entry hosts exchange for membership and gossip."""

from enum import IntEnum
from typing import NamedTuple

from cranberrywall.links import Method


class Urgency(IntEnum):
    """How an item is disseminated.

    ``VOLATILE`` items are forwarded a few times and may not reach some hosts. ``NORMAL`` items
    reach all hosts within a few periods. ``URGENT`` items are also pushed from host to host
    immediately.
    """

    VOLATILE = 0
    NORMAL = 1
    URGENT = 2


class Item(NamedTuple):
    """One fact that is disseminated among the hosts.

    Of two items with the same ``topic`` and ``key``, the one with the higher ``version`` wins,
    in whichever order they arrive. ``place`` is the place whose hosts receive the item, or empty
    for all places. An empty ``payload`` means that the fact was removed.
    """

    topic: str
    key: str
    version: tuple[int, ...]
    payload: bytes
    place: str = ""
    urgency: Urgency = Urgency.NORMAL


class ProbeRequest(NamedTuple):
    """Probe of a host, with gossip items.

    The digests cover all non-volatile items: ``fleet_digest`` those for all places,
    ``place_digest`` those for the sender's place.
    """

    items: tuple[Item, ...]
    fleet_digest: int
    place_digest: int


class ProbeReply(NamedTuple):
    """Answer to a probe; ``host`` is the host that answers, the rest as in ``ProbeRequest``."""

    host: str
    items: tuple[Item, ...]
    fleet_digest: int
    place_digest: int


class IndirectProbeRequest(NamedTuple):
    """Request that a helper probe ``host`` and wait ``timeout`` seconds for its answer."""

    host: str
    links: str
    timeout: float


class IndirectProbeReply(NamedTuple):
    """Result of an indirect probe: whether the probed host answered."""

    answered: bool


class PushRequest(NamedTuple):
    """Items that are sent immediately, without waiting for a probe."""

    items: tuple[Item, ...]


class PushReply(NamedTuple):
    """Confirmation that the items arrived."""


class SyncRequest(NamedTuple):
    """Request for the items that differ, with a digest per bucket; see ``ProbeRequest``."""

    fleet_digests: tuple[int, ...]
    place_digests: tuple[int, ...]


class SyncReply(NamedTuple):
    """Buckets that differ, and the answering host's items in them."""

    host: str
    place: str
    buckets: tuple[int, ...]
    items: tuple[Item, ...]


PROBE = Method("hosts.probe", ProbeRequest, ProbeReply)
INDIRECT_PROBE = Method("hosts.ask", IndirectProbeRequest, IndirectProbeReply, is_cancellable=True)
PUSH = Method("hosts.push", PushRequest, PushReply)
SYNC = Method("hosts.sync", SyncRequest, SyncReply)
