"""Define what a target says about itself, over HTTP and from host to host."""

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
    """Report work at a target at wall second ``at``, by the target's own clock."""

    running: Count
    waiting: Count
    at: float


class CacheEventBody(TypedDict):
    """Report that a prefix came into the target's cache or left it."""

    seq: Counter
    op: Literal["add", "drop"]
    prefix: PrefixHex


class AnnounceBody(TypedDict):
    """Hold the JSON body of an announcement, as documented in design page 0001."""

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
    """Answer an announcement: it holds for ``ttl_s`` seconds unless renewed."""

    ttl_s: float


class Load(NamedTuple):
    """Report requests that run and that wait at a target, at wall second ``at``."""

    running: int
    waiting: int
    at: float


class CacheOp(StrEnum):
    """Say what happened to a prefix in a target's cache."""

    ADD = "add"
    DROP = "drop"


class CacheEvent(NamedTuple):
    """Report one change of a target's prefix cache; ``prefix`` is 8 bytes of hash."""

    seq: int
    op: str
    prefix: bytes


class Announcement(NamedTuple):
    """Describe a target as of its own ``incarnation`` and ``counter``.

    ``capacity`` is the number of requests that it can run side by side. ``models`` are those
    that an engine can be ordered to load, one at a time; empty where it can load its
    ``name`` only. With ``models`` and no ``versions`` it serves nothing until the next load.
    ``slots`` is how many versions it can hold at once; 0 where it does not say.
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
    """Name one start of a target: another start under the same name has another incarnation."""

    target: str
    incarnation: int


class PassOnRequest(NamedTuple):
    """Carry what targets said to a control host, each at first hand."""

    announcements: tuple[Announcement, ...]


class PassOnReply(NamedTuple):
    """Say that the announcements hold at the host called now."""


class LeavingRequest(NamedTuple):
    """Ask a control host for what it holds of targets that leave."""


PASS_ON = Method("targets.pass_on", PassOnRequest, PassOnReply)
SHARE_LEAVING = Method("targets.share_leaving", PassOnRequest, PassOnReply)
LEAVING = Method("targets.leaving", LeavingRequest, PassOnRequest)

TARGETS_CODEC = MessageCodec([Announcement])
