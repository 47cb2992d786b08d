"""Messages by which targets announce themselves over HTTP, and hosts relay announcements."""

from enum import StrEnum
from typing import Annotated, Literal, NamedTuple, NotRequired, TypedDict

from msgspec import Meta

from cranberrywall.links import MessageCodec, Method

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Url = Annotated[str, Meta(pattern=r"^https?://[^\s/?#]+$", max_length=256)]
Counter = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Labels = Annotated[list[Name], Meta(max_length=64)]
PrefixHex = Annotated[str, Meta(pattern=r"^[0-9a-f]{16}$")]


class LoadBody(TypedDict):
    """Requests at a target at wall clock time ``at`` in seconds, by the target's own clock."""

    running: Count
    waiting: Count
    at: float


class CacheEventBody(TypedDict):
    """Addition of a prefix to the target's cache, or its removal."""

    seq: Counter
    op: Literal["add", "drop"]
    prefix: PrefixHex


class AnnounceBody(TypedDict):
    """JSON body of an announcement, as documented in design page 0001."""

    target: Name
    incarnation: Counter
    counter: Counter
    kind: Literal["engine", "service"]
    name: Name
    place: Name
    url: Url
    capacity: Annotated[int, Meta(ge=1, le=100_000)]
    versions: NotRequired[Labels]
    adapters: NotRequired[Labels]
    models: NotRequired[Labels]
    slots: NotRequired[Annotated[int, Meta(ge=1, le=64)]]
    checks_fencing: NotRequired[bool]
    leaving: NotRequired[bool]
    load: NotRequired[LoadBody]
    cache_events: NotRequired[Annotated[list[CacheEventBody], Meta(max_length=4096)]]


class AnnounceReply(TypedDict):
    """Answer to an announcement, which is valid for ``ttl_s`` seconds unless renewed."""

    ttl_s: float


class Load(NamedTuple):
    """Running and waiting requests at a target at wall clock time ``at``, in seconds."""

    running: int
    waiting: int
    at: float


class CacheOp(StrEnum):
    """Change of a prefix in a target's cache."""

    ADD = "add"
    DROP = "drop"


class CacheEvent(NamedTuple):
    """One change of a target's prefix cache; ``prefix`` is 8 bytes of hash."""

    seq: int
    op: str
    prefix: bytes


class Announcement(NamedTuple):
    """State of a target as of its own ``incarnation`` and ``counter``.

    ``capacity`` is the number of requests that it can run concurrently. ``versions`` are those that
    a request may demand: of the weights that an engine has loaded, or of a target's software where
    the platform announces that. ``models`` are those that
    an engine can be ordered to load, one at a time; empty if it can load its ``name`` only. An
    engine with ``models`` and no ``versions`` serves nothing until the next load. ``slots`` is the
    number of versions that it can hold at the same time; 0 if the announcement has no such field.
    """

    target: str
    incarnation: int
    counter: int
    kind: str
    name: str
    place: str
    url: str
    capacity: int
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    checks_fencing: bool = False
    leaving: bool = False
    load: Load | None = None
    cache_events: tuple[CacheEvent, ...] = ()
    models: tuple[str, ...] = ()
    slots: int = 0


class TargetIncarnation(NamedTuple):
    """Name and incarnation of a target: each start of the target has a new incarnation."""

    target: str
    incarnation: int


class PassOnRequest(NamedTuple):
    """Announcements that a control host received from targets directly."""

    announcements: tuple[Announcement, ...]


class PassOnReply(NamedTuple):
    """Confirmation that the called host has applied the announcements."""


class ColdNotice(NamedTuple):
    """Statement of a target that it is cold for ``left_s`` more seconds, by its ``counter``.

    ``at`` is when the sender of this message received it, in seconds since the epoch.
    """

    target: str
    incarnation: int
    counter: int
    left_s: float
    at: float


class LeavingRequest(NamedTuple):
    """Request to a control host for the announcements of leaving targets."""


class KnownRequest(NamedTuple):
    """Request to a control host for targets that it knows, in the order of their names.

    ``after`` is the last name of the page before, or empty. The answer to the last page is empty.
    """

    after: str


PASS_ON = Method("targets.pass_on", PassOnRequest, PassOnReply)
COLD = Method("targets.cold", ColdNotice, PassOnReply)
SHARE_LEAVING = Method("targets.share_leaving", PassOnRequest, PassOnReply)
LEAVING = Method("targets.leaving", LeavingRequest, PassOnRequest)
KNOWN = Method("targets.known", KnownRequest, PassOnRequest)

TARGETS_CODEC = MessageCodec([Announcement])
