"""Propose changes to the configuration group and read from it."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from cranberrywall.configuration._edits import Edit, edits_between
from cranberrywall.configuration._packing import pack
from cranberrywall.configuration.messages import (
    CONFIGURATION_CODEC,
    Change,
    Changed,
    ChangeRefused,
    Delta,
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
    Published,
    PublishedSource,
    PublishNumbered,
    PublishPacked,
    Revision,
    RollBack,
)
from cranberrywall.control import ControlClient
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import MalformedMessageError
from cranberrywall.settings import Problem

GROUP = "configuration"


class ChangeRefusal(NamedTuple):
    """Say why a change did not happen.

    ``since`` holds, for a conflict, the other operators' changes; ``problems``, for a bad
    document, all that is wrong. After ``ErrorKind.TIMEOUT`` the change may be in force:
    send it again with the same change id.
    """

    refusal: Refusal
    since: tuple[Delta, ...] = ()
    problems: tuple[Problem, ...] = ()


class ConfigurationClient:
    """Call the configuration group through a ``ControlClient``.

    Each call takes ``timeout`` seconds at most; ``at`` is the present time, in seconds since
    the epoch.
    """

    def __init__(self, control: ControlClient, timeout: float) -> None:
        self._control = control
        self._timeout = timeout

    async def change(
        self, edits: tuple[Edit, ...], based_on: int, change_id: str, operator: str, at: float
    ) -> Result[Revision, ChangeRefusal]:
        """Commit ``edits``; the same ``change_id`` sent again gets the first answer."""
        return await self._propose(Change(edits, based_on, change_id, operator, at))

    async def replace_document(
        self,
        seen: DocumentAt,
        document: Mapping[str, Any],
        change_id: str,
        operator: str,
        at: float,
    ) -> Result[Revision, ChangeRefusal]:
        """Commit the difference between the document that was ``seen`` and ``document``."""
        edits = edits_between(seen.document, document)
        return await self.change(edits, seen.revision, change_id, operator, at)

    async def roll_back(
        self, to: int, based_on: int, change_id: str, operator: str, at: float
    ) -> Result[Revision, ChangeRefusal]:
        """Commit the document of revision ``to`` as a new revision."""
        return await self._propose(RollBack(to, based_on, change_id, operator, at))

    async def publish(
        self, number: int, document: Mapping[str, Any], source: bytes, at: float
    ) -> Result[Published, Refusal]:
        """Put a whole document in force under the operators' own number; the highest wins.

        The document must have been checked: the group takes it as it is.
        """
        command = PublishPacked(pack(PublishNumbered(number, dict(document), source, at)))
        data = CONFIGURATION_CODEC.encode(command)
        result = await self._control.propose(GROUP, data, self._timeout)
        if isinstance(result, Err):
            return Err(result.err_value)
        answer = _decode(result.ok_value)
        return Ok(answer) if isinstance(answer, Published) else Err(_unexpected(answer))

    async def order_evacuation(
        self, place: str, is_active: bool, based_on: int, operator: str, at: float
    ) -> Result[EvacuationOrdered, Refusal]:
        """Start or end the evacuation of a place; ``based_on`` is the revision last known.

        ``ErrorKind.CONFLICT`` means that a later order about the place said the opposite, and
        ``ErrorKind.NOT_FOUND`` that the configuration has no such place.
        """
        command = OrderEvacuation(place, is_active, based_on, operator, at)
        data = CONFIGURATION_CODEC.encode(command)
        result = await self._control.propose(GROUP, data, self._timeout)
        if isinstance(result, Err):
            return Err(result.err_value)
        answer = _decode(result.ok_value)
        if isinstance(answer, EvacuationOrdered):
            return Ok(answer)
        return Err(
            _refusal_of(answer) if isinstance(answer, ChangeRefused) else _unexpected(answer)
        )

    async def published(self) -> Result[PublishedSource, Refusal]:
        """Return the numbered document in force as it was sent; a linearizable read."""
        answer: Result[PublishedSource, Refusal] = await self._query(
            GetPublished(), PublishedSource
        )
        return answer

    async def document(self, revision: int = 0) -> Result[DocumentAt, Refusal]:
        """Return the document in force, or as of an earlier ``revision``."""
        return await self._query(GetDocument(revision), DocumentAt)

    async def deltas(self, since: int, limit: int = 100) -> Result[Deltas, Refusal]:
        """Return what changed after revision ``since``."""
        return await self._query(GetDeltas(since, limit), Deltas)

    async def history(self, before: int = 0, limit: int = 50) -> Result[History, Refusal]:
        """Return revisions with who, when and which sections, newest first."""
        return await self._query(GetHistory(before, limit), History)

    async def _propose(self, command: Change | RollBack) -> Result[Revision, ChangeRefusal]:
        data = CONFIGURATION_CODEC.encode(command)
        result = await self._control.propose(GROUP, data, self._timeout)
        if isinstance(result, Err):
            return Err(ChangeRefusal(result.err_value))
        answer = _decode(result.ok_value)
        if isinstance(answer, Changed):
            return Ok(answer.revision)
        if isinstance(answer, ChangeRefused):
            return Err(ChangeRefusal(_refusal_of(answer), answer.since, answer.problems))
        return Err(ChangeRefusal(_unexpected(answer)))

    async def _query(self, query: Any, reply_type: type[Any]) -> Result[Any, Refusal]:
        data = CONFIGURATION_CODEC.encode(query)
        result = await self._control.query(GROUP, data, self._timeout)
        if isinstance(result, Err):
            return Err(result.err_value)
        answer = _decode(result.ok_value)
        if isinstance(answer, reply_type):
            return Ok(answer)
        if isinstance(answer, NotKept):
            message = f"revision {answer.revision} is not kept; the oldest is {answer.oldest}"
            return Err(Refusal(ErrorKind.NOT_FOUND, message, "revision", "ask for a newer one"))
        return Err(_unexpected(answer))


def _decode(data: bytes) -> Any:
    try:
        return CONFIGURATION_CODEC.decode(data)
    except MalformedMessageError as error:
        return Refusal(ErrorKind.MALFORMED, str(error))


def _refusal_of(answer: ChangeRefused) -> Refusal:
    kind = ErrorKind(answer.kind)
    if answer.problems:
        first = answer.problems[0]
        return Refusal(kind, answer.message, first.field, first.remedy)
    if kind is ErrorKind.CONFLICT and answer.since:
        remedy = f"look at the changes up to revision {answer.revision}, then change again"
        return Refusal(kind, answer.message, ".".join(answer.since[-1].revision.sections), remedy)
    return Refusal(kind, answer.message)


def _unexpected(answer: Any) -> Refusal:
    if isinstance(answer, Refusal):
        return answer
    return Refusal(ErrorKind.MALFORMED, f"unexpected answer {type(answer).__name__}")
