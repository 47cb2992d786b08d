"""Define what entry hosts send each other to know who is alive."""

from enum import IntEnum
from typing import NamedTuple

from cranberrywall.links import Method


class Urgency(IntEnum):
    """Say how an item spreads.

    ``VOLATILE`` items are passed on a few times and may miss some hosts. ``NORMAL`` ones
    reach all, within a few periods. ``URGENT`` ones are pushed from host to host at once.
    """

    VOLATILE = 0
    NORMAL = 1
    URGENT = 2


class Item(NamedTuple):
    """Hold one fact that spreads among the hosts.

    Of two items with the same ``topic`` and ``key`` the one with the higher ``version`` holds,
    in whichever order they come. ``place`` is the place in which the item spreads, or empty
    for all. An empty ``payload`` says that the fact is gone.
    """

    topic: str
    key: str
    version: tuple[int, ...]
    payload: bytes
    place: str = ""
    urgency: Urgency = Urgency.NORMAL


class ProbeRequest(NamedTuple):
    """Ask whether the host is there, and pass on items.

    The digests stand for all lasting items: ``fleet_digest`` for those of all places,
    ``place_digest`` for those of the sender's place.
    """

    items: tuple[Item, ...]
    fleet_digest: int
    place_digest: int


class ProbeReply(NamedTuple):
    """Answer a probe, with the name of the host that answers; the rest is as in the request."""

    host: str
    items: tuple[Item, ...]
    fleet_digest: int
    place_digest: int


class AskRequest(NamedTuple):
    """Ask a host to probe another, and to wait ``timeout`` seconds for its answer."""

    host: str
    links: str
    timeout: float


class AskReply(NamedTuple):
    """Say whether the other host answered."""

    answered: bool


class PushRequest(NamedTuple):
    """Pass on items at once."""

    items: tuple[Item, ...]


class PushReply(NamedTuple):
    """Say that the items came."""


class SyncRequest(NamedTuple):
    """Ask for what differs, by the digests of the buckets of items; see ``ProbeRequest``."""

    fleet_digests: tuple[int, ...]
    place_digests: tuple[int, ...]


class SyncReply(NamedTuple):
    """Name the buckets that differ, and give the answering host's items in them."""

    host: str
    place: str
    buckets: tuple[int, ...]
    items: tuple[Item, ...]


PROBE = Method("hosts.probe", ProbeRequest, ProbeReply)
ASK = Method("hosts.ask", AskRequest, AskReply, is_cancellable=True)
PUSH = Method("hosts.push", PushRequest, PushReply)
SYNC = Method("hosts.sync", SyncRequest, SyncReply)
