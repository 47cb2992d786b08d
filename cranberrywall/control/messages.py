"""Define the calls that control hosts answer."""

from typing import Literal, NamedTuple

from cranberrywall.links import Method
from cranberrywall.replication import MemberView, Step


class ProposeRequest(NamedTuple):
    """Ask the leader of ``group`` to commit ``command``."""

    group: str
    command: bytes


class ProposeReply(NamedTuple):
    """Carry what the state machine answered."""

    result: bytes


class QueryRequest(NamedTuple):
    """Ask the leader of ``group`` for a linearizable read."""

    group: str
    query: bytes


class QueryReply(NamedTuple):
    """Carry what the state machine answered."""

    result: bytes


class MembersRequest(NamedTuple):
    """Ask the leader of ``group`` for its members, and which changes of them are safe."""

    group: str


class MembersReply(NamedTuple):
    """Carry the members as the leader sees them, and the steps that could be taken."""

    members: tuple[MemberView, ...]
    steps: tuple[Step, ...]


class ChangeMemberRequest(NamedTuple):
    """Ask the leader of ``group`` to add, enlist, remove or replace ``host``.

    A host enlists itself. ``new_host`` takes its place in a replacement; ``address`` is the
    stream address of the host that comes. ``forced`` allows an unsafe removal or replacement.
    """

    group: str
    action: Literal["add", "enlist", "remove", "replace"]
    host: str
    new_host: str
    address: str
    forced: bool


class ChangeMemberReply(NamedTuple):
    """Say that the change was committed; a new host catches up after it."""


class EnrolledHost(NamedTuple):
    """Describe a host as it told of itself; ``http`` is for callers, empty on control hosts."""

    host: str
    place: str
    links: str
    http: str
    incarnation: int
    is_control: bool


class EnrolRequest(NamedTuple):
    """Tell a control host where the sender is."""

    me: EnrolledHost


class EnrolReply(NamedTuple):
    """Give the control hosts' stream addresses, and some entry hosts.

    ``revision`` is the newest one of the configuration that the control host has.
    """

    controls: tuple[str, ...]
    entries: tuple[EnrolledHost, ...]
    revision: int = 0


ENROL = Method("control.enrol", EnrolRequest, EnrolReply)
PROPOSE = Method("control.propose", ProposeRequest, ProposeReply)
QUERY = Method("control.query", QueryRequest, QueryReply)
MEMBERS = Method("control.members", MembersRequest, MembersReply)
CHANGE_MEMBER = Method("control.change_member", ChangeMemberRequest, ChangeMemberReply)
