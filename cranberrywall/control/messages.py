"""Calls that control hosts answer, with their request and reply messages."""

from typing import Literal, NamedTuple

from cranberrywall.links import Method
from cranberrywall.replication import MemberView, Step


class ProposeRequest(NamedTuple):
    """Request to the leader of ``group`` to commit ``command``."""

    group: str
    command: bytes


class ProposeReply(NamedTuple):
    """Result of the command, as the state machine returned it."""

    result: bytes


class QueryRequest(NamedTuple):
    """Request to the leader of ``group`` for a linearizable read."""

    group: str
    query: bytes


class QueryReply(NamedTuple):
    """Result of the query, as the state machine returned it."""

    result: bytes


class MembersRequest(NamedTuple):
    """Request to the leader of ``group`` for its members and the safe changes of them."""

    group: str


class MembersReply(NamedTuple):
    """Members as the leader sees them, and the possible changes; unsafe ones have a reason."""

    members: tuple[MemberView, ...]
    steps: tuple[Step, ...]


class ChangeMemberRequest(NamedTuple):
    """Request to the leader of ``group`` to add, enlist, remove or replace ``host``.

    A host enlists itself. A replacement makes ``new_host`` a member instead of ``host``.
    ``address`` is the stream address of the host that becomes a member. ``forced`` allows an
    unsafe removal or replacement.
    """

    group: str
    action: Literal["add", "enlist", "remove", "replace"]
    host: str
    new_host: str
    address: str
    forced: bool


class ChangeMemberReply(NamedTuple):
    """Confirmation that the change is committed; a new host catches up afterwards."""


class SupportRequest(NamedTuple):
    """Request to the leader of ``group`` whether the builds of all members have ``feature``."""

    group: str
    feature: str


class SupportReply(NamedTuple):
    """``is_supported`` is false as well if a member did not answer."""

    is_supported: bool


class FeaturesRequest(NamedTuple):
    """Request to a control host for the features of its build."""


class FeaturesReply(NamedTuple):
    """Names of the features, sorted."""

    features: tuple[str, ...]


class EnrolledHost(NamedTuple):
    """Host as it announced itself.

    ``links`` is its stream address, ``http`` its address for callers, empty on control hosts.
    """

    host: str
    place: str
    links: str
    http: str
    incarnation: int
    is_control: bool


class EnrolRequest(NamedTuple):
    """Enrolment of the sender at a control host."""

    me: EnrolledHost


class EnrolReply(NamedTuple):
    """Stream addresses of the control hosts, and some of the entry hosts.

    ``revision`` is the newest revision of the configuration that the control host has.
    """

    controls: tuple[str, ...]
    entries: tuple[EnrolledHost, ...]
    revision: int = 0


ENROL = Method("control.enrol", EnrolRequest, EnrolReply)
PROPOSE = Method("control.propose", ProposeRequest, ProposeReply)
QUERY = Method("control.query", QueryRequest, QueryReply)
MEMBERS = Method("control.members", MembersRequest, MembersReply)
SUPPORT = Method("control.support", SupportRequest, SupportReply)
FEATURES = Method("control.features", FeaturesRequest, FeaturesReply)
CHANGE_MEMBER = Method("control.change_member", ChangeMemberRequest, ChangeMemberReply)
