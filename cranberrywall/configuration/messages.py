"""Define the commands, queries and results of the configuration group, and the spread's calls.

Times are seconds since the Unix epoch, given by the proposer. Every command is
idempotent by its ``change_id``.
"""

from typing import Any, NamedTuple, cast

from cranberrywall.configuration._document import Document
from cranberrywall.configuration._edits import Edit
from cranberrywall.links import MessageCodec, Method
from cranberrywall.settings import Problem


class Change(NamedTuple):
    """Commit ``edits``, once per ``change_id``.

    ``based_on`` is the revision that the operator saw. The change is refused where one of
    its sections was changed by a later revision than that.
    """

    edits: tuple[Edit, ...]
    based_on: int
    change_id: str
    operator: str
    at: float


class RollBack(NamedTuple):
    """Commit, as a new revision, the document as it was at revision ``to``.

    It is a command of its own, since edits computed by a client would differ from one
    sending to the next. Refused where a section that it would change was changed after
    ``based_on``.
    """

    to: int
    based_on: int
    change_id: str
    operator: str
    at: float


class PublishNumbered(NamedTuple):
    """Put a whole document in force under a number of the operators' own.

    The highest number wins, whatever the order of arrival. One that is not above the number
    held is accepted and changes nothing: an operator that sends a document again, or whose
    document was overtaken, has done nothing wrong. ``source`` is the document as it was sent,
    to be given back byte for byte. ``at`` is seconds since the Unix epoch.
    """

    number: int
    document: dict[str, Any]
    source: bytes
    at: float


class PublishPacked(NamedTuple):
    """Hold a packed ``PublishNumbered``; see ``_packing.pack``.

    Each change goes to all control hosts as a whole document, twice: as it was sent, and as it was
    understood. Unpacked, a storm of large ones would fill the leader's line.
    """

    packed: bytes


class OrderEvacuation(NamedTuple):
    """Start the evacuation of a place, or end it.

    ``based_on`` is the revision that the receiving control host had as the order arrived. The order
    is refused where a later one about the same place said the opposite: it was delayed on its way.
    One that asks for what is in force already is accepted and changes nothing, so it may be sent
    again. ``at`` is seconds since the Unix epoch.
    """

    place: str
    is_active: bool
    based_on: int
    operator: str
    at: float


class EvacuationOrdered(NamedTuple):
    """Answer an order about an evacuation: the revision since which it is in force."""

    revision: int


class Published(NamedTuple):
    """Answer a numbered document: the number held now, and the revision in force."""

    number: int
    revision: int


class GetPublished(NamedTuple):
    """Ask for the numbered document that is held."""


class PublishedSource(NamedTuple):
    """Give back a numbered document as it was sent; number 0 where there is none."""

    number: int
    source: bytes


class Revision(NamedTuple):
    """Describe one committed revision: who, when, which change and which sections."""

    number: int
    operator: str
    at: float
    change_id: str
    sections: tuple[str, ...]


class Delta(NamedTuple):
    """Lead from revision ``revision.number - 1`` to ``revision.number``.

    ``chain`` is a running hash over all deltas up to this one, so that a host whose
    document came about in another way finds out before it applies the delta.
    """

    revision: Revision
    edits: tuple[Edit, ...]
    chain: int


class Changed(NamedTuple):
    """Answer a change that is committed as ``revision``."""

    revision: Revision


class ChangeRefused(NamedTuple):
    """Answer a change that was refused and changed nothing; ``kind`` is an ``ErrorKind``.

    ``since`` lists, for a conflict, what changed in the change's sections after
    ``based_on``, with by whom; of large changes the first edits only. ``problems`` lists,
    for a bad document, what is wrong.
    """

    kind: str
    message: str
    revision: int
    since: tuple[Delta, ...] = ()
    problems: tuple[Problem, ...] = ()


class GetDocument(NamedTuple):
    """Ask for the document as of ``revision``; 0 is the one in force."""

    revision: int = 0


class DocumentAt(NamedTuple):
    """Carry a document with its revision and the chain's hash."""

    revision: int
    document: dict[str, Any]
    chain: int

    @property
    def checked(self) -> Document:
        """Return the document with its type, which was checked before it was committed."""
        return cast(Document, self.document)


class GetDeltas(NamedTuple):
    """Ask for the deltas after ``since``, at most ``limit`` of them."""

    since: int
    limit: int


class Deltas(NamedTuple):
    """Carry consecutive deltas; ``revision`` is the newest one that there is."""

    revision: int
    deltas: tuple[Delta, ...]


class GetHistory(NamedTuple):
    """Ask for ``limit`` revisions up to ``before`` (0: the newest), newest first."""

    before: int
    limit: int


class History(NamedTuple):
    """List revisions, newest first, and the oldest one that can still be asked for."""

    revisions: tuple[Revision, ...]
    oldest: int


class NotKept(NamedTuple):
    """Say that the revision asked for is older than what is kept, or does not exist."""

    revision: int
    oldest: int


class Notice(NamedTuple):
    """Tell another process which revision the sender has; ``links`` is where to fetch it."""

    revision: int
    links: str


class NoticeReply(NamedTuple):
    """Tell which revision the receiver has, and the highest it has heard of."""

    revision: int
    heard: int


class Fetch(NamedTuple):
    """Ask a process for what leads from revision ``since`` to its own.

    ``whole`` asks for a snapshot even where deltas are kept.
    """

    since: int
    whole: bool = False


class FetchReply(NamedTuple):
    """Carry a packed ``Pack`` of what leads on from the revision asked for; see ``pack``.

    It is empty where the sender has nothing newer. ``heard`` is the highest revision that the
    sender has heard of.
    """

    revision: int
    heard: int
    packed: bytes


class Pack(NamedTuple):
    """Hold ``deltas`` after a revision, or a whole ``snapshot`` in their place."""

    deltas: tuple[Delta, ...]
    snapshot: DocumentAt | None


NOTICE = Method("configuration.notice", Notice, NoticeReply)
FETCH = Method("configuration.fetch", Fetch, FetchReply)

CONFIGURATION_CODEC = MessageCodec(
    [
        Change,
        Changed,
        ChangeRefused,
        Deltas,
        DocumentAt,
        EvacuationOrdered,
        GetDeltas,
        GetDocument,
        GetHistory,
        GetPublished,
        History,
        NotKept,
        OrderEvacuation,
        PublishNumbered,
        PublishPacked,
        Published,
        PublishedSource,
        RollBack,
    ]
)
