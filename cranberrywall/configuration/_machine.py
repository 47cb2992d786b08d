"""Hold the replicated state of the configuration: the document, its history, the answers."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol, cast

import msgspec
import xxhash
from result import Err

from cranberrywall.configuration._answers import Answers, AnswersState
from cranberrywall.configuration._document import Document
from cranberrywall.configuration._edits import (
    SECTIONS,
    Edit,
    apply_edits,
    edits_between,
    empty_document,
)
from cranberrywall.configuration._packing import unpack
from cranberrywall.configuration._records import Records, RecordsState
from cranberrywall.configuration.checks import check_edits, check_transition
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
from cranberrywall.errors import ErrorKind
from cranberrywall.links import MalformedMessageError
from cranberrywall.replication import StateMachine

CONFLICT_DELTAS_LIMIT = 20
"""A conflict's answer shows this many of the newest changes at most."""

CONFLICT_EDITS_LIMIT = 100
"""A conflict's answer shows this many edits of those changes at most, newest changes first.

Refused answers are kept: without a bound, some whole documents in each could fill the
memory. ``GetDeltas`` returns all.
"""

PROBLEMS_LIMIT = 100
"""A refusal lists this many problems of a document at most."""


class ConfigurationMachine(StateMachine, Protocol):
    """Replicate the configuration, and let the spread read this host's copy."""

    @property
    def revision(self) -> int:
        """Return the revision that this copy has."""
        ...

    def document_at(self, revision: int = 0) -> DocumentAt | None:
        """Return the document as of ``revision`` (0: newest), or ``None`` where not kept."""
        ...

    def deltas_after(self, since: int, limit: int) -> tuple[Delta, ...] | None:
        """Return up to ``limit`` deltas after ``since``, or ``None`` where not kept."""
        ...

    def watch(self, on_revision: Callable[[int], None]) -> None:
        """Call ``on_revision`` with each new revision, just after it is applied."""
        ...


def make_configuration_machine() -> ConfigurationMachine:
    """Return the state machine of the group ``configuration``, at revision 0."""
    return _Machine()


PUBLISHER = "operator"
"""Who is named as the author of a numbered document, which tells nobody's name."""


class _State(NamedTuple):
    revision: int
    chain: int
    document: dict[str, Any]
    changed_at_by_section: dict[str, int]
    records: RecordsState
    answers: AnswersState
    number: int = 0
    source: bytes = b""


class _Machine:
    def __init__(self) -> None:
        self._revision = 0
        self._chain = 0
        self._document = empty_document()
        self._changed_at_by_section = dict.fromkeys(SECTIONS, 0)
        self._records = Records()
        self._answers = Answers()
        self._number = 0
        self._source = b""
        self._watchers: list[Callable[[int], None]] = []

    @property
    def revision(self) -> int:
        return self._revision

    def watch(self, on_revision: Callable[[int], None]) -> None:
        self._watchers.append(on_revision)

    def apply(self, command: bytes) -> bytes:
        try:
            message = CONFIGURATION_CODEC.decode(command)
        except MalformedMessageError as error:
            return self._encode(self._refuse(ErrorKind.MALFORMED, str(error)))
        if isinstance(message, PublishPacked):
            unpacked = unpack(message.packed, PublishNumbered)
            if isinstance(unpacked, Err):
                return self._encode(self._refuse(ErrorKind.MALFORMED, str(unpacked.err_value)))
            message = unpacked.ok_value
        if isinstance(message, PublishNumbered):
            return self._encode(self._publish(message))
        if isinstance(message, OrderEvacuation):
            return self._encode(self._order_evacuation(message))
        if not isinstance(message, Change | RollBack):
            return self._encode(self._refuse(ErrorKind.MALFORMED, "this is not a command"))
        return self._encode(self._answer_once(message))

    def query(self, query: bytes) -> bytes:
        try:
            message = CONFIGURATION_CODEC.decode(query)
        except MalformedMessageError as error:
            return self._encode(self._refuse(ErrorKind.MALFORMED, str(error)))
        if isinstance(message, GetDocument):
            return self._encode(self.document_at(message.revision) or self._not_kept(message))
        if isinstance(message, GetPublished):
            return self._encode(PublishedSource(self._number, self._source))
        if isinstance(message, GetDeltas):
            deltas = self.deltas_after(message.since, message.limit)
            if deltas is None:
                return self._encode(NotKept(message.since, self._records.oldest))
            return self._encode(Deltas(self._revision, deltas))
        if isinstance(message, GetHistory):
            revisions = self._records.history(message.before or self._revision, message.limit)
            return self._encode(History(revisions, self._records.oldest))
        return self._encode(self._refuse(ErrorKind.MALFORMED, "this is not a query"))

    def document_at(self, revision: int = 0) -> DocumentAt | None:
        wanted = revision or self._revision
        if wanted == self._revision:
            return DocumentAt(wanted, cast(dict[str, Any], self._document), self._chain)
        if wanted > self._revision or not self._records.keeps(wanted):
            return None
        document = self._records.undo_to(wanted, self._document)
        return DocumentAt(wanted, cast(dict[str, Any], document), self._records.chain_at(wanted))

    def deltas_after(self, since: int, limit: int) -> tuple[Delta, ...] | None:
        if since >= self._revision:
            return ()
        if not self._records.keeps(since):
            return None
        return self._records.after(since, limit)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(
            _State(
                self._revision,
                self._chain,
                cast(dict[str, Any], self._document),
                self._changed_at_by_section,
                self._records.state(),
                self._answers.state(),
                self._number,
                self._source,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        state = msgspec.msgpack.decode(snapshot, type=_State)
        self._revision = state.revision
        self._chain = state.chain
        self._document = cast(Document, state.document)
        self._changed_at_by_section = dict(state.changed_at_by_section)
        self._records = Records(state.records)
        self._answers = Answers(state.answers)
        self._number = state.number
        self._source = state.source
        self._tell_watchers()

    def _publish(self, command: PublishNumbered) -> Published:
        if command.number > self._number:
            self._number = command.number
            self._source = command.source
            before = cast(dict[str, Any], self._document)
            edits = edits_between(before, command.document)
            if edits:
                change_id = f"number {command.number}"
                record = Change(edits, self._revision, change_id, PUBLISHER, command.at)
                self._commit(record, edits, apply_edits(self._document, edits))
        return Published(self._number, self._revision)

    def _order_evacuation(self, command: OrderEvacuation) -> EvacuationOrdered | ChangeRefused:
        place = command.place
        if place not in self._document["places"]:
            return self._refuse(ErrorKind.NOT_FOUND, f"there is no place {place!r}")
        last = self._document.get("evacuations", {}).get(place)
        if last is None and not command.is_active:
            return EvacuationOrdered(self._revision)
        if last is not None and last["is_active"] == command.is_active:
            return EvacuationOrdered(last["revision"])
        if last is not None and last["revision"] > command.based_on:
            return self._refuse(
                ErrorKind.CONFLICT,
                f"revision {last['revision']} ordered the opposite after this order for {place!r}"
                f" was received, at revision {command.based_on}",
            )
        revision = self._revision + 1
        value = {
            "is_active": command.is_active,
            "operator": command.operator,
            "at": command.at,
            "revision": revision,
        }
        edits = (Edit("evacuations", place, value),)
        change = Change(
            edits, self._revision, f"evacuation {revision}", command.operator, command.at
        )
        self._commit(change, edits, apply_edits(self._document, edits))
        return EvacuationOrdered(revision)

    def _answer_once(self, command: Change | RollBack) -> Changed | ChangeRefused:
        digest = _digest_of(command)
        first = self._answers.first(command.change_id)
        if first is not None and first.digest != digest:
            return self._refuse(
                ErrorKind.CONFLICT, f"change id {command.change_id!r} was used for another change"
            )
        if first is not None:
            return first.answer
        answer = self._decide(command)
        self._answers.keep(command.change_id, digest, answer)
        return answer

    def _decide(self, command: Change | RollBack) -> Changed | ChangeRefused:
        if command.based_on > self._revision:
            return self._refuse(
                ErrorKind.BAD_REQUEST,
                f"based on revision {command.based_on}, but the newest is {self._revision}",
            )
        if isinstance(command, RollBack):
            target = self.document_at(command.to) if command.to > 0 else None
            if target is None:
                return self._refuse(
                    ErrorKind.NOT_FOUND,
                    f"revision {command.to} is not kept; the oldest is {self._records.oldest}",
                )
            edits = edits_between(cast(dict[str, Any], self._document), target.document)
        else:
            edits = command.edits
        return self._commit_edits(command, edits)

    def _commit_edits(
        self, command: Change | RollBack, edits: tuple[Edit, ...]
    ) -> Changed | ChangeRefused:
        if not edits:
            return self._refuse(ErrorKind.BAD_REQUEST, "the change changes nothing")
        conflict = self._conflict(command.based_on, edits)
        if conflict is not None:
            return conflict
        after = apply_edits(self._document, edits)
        problems = check_edits(edits, after) + check_transition(self._document, after)
        if problems:
            return ChangeRefused(
                ErrorKind.BAD_REQUEST,
                f"the document would have {len(problems)} problems; the first is {problems[0]}",
                self._revision,
                problems=tuple(problems[:PROBLEMS_LIMIT]),
            )
        return self._commit(command, edits, after)

    def _conflict(self, based_on: int, edits: tuple[Edit, ...]) -> ChangeRefused | None:
        sections = {edit.section for edit in edits}
        newer = [
            section
            for section in SECTIONS
            if section in sections and self._changed_at_by_section.get(section, 0) > based_on
        ]
        if not newer:
            return None
        since = _shorten(self._records.touching(newer, based_on, CONFLICT_DELTAS_LIMIT))
        return ChangeRefused(
            ErrorKind.CONFLICT,
            _conflict_message(based_on, newer, since),
            self._revision,
            since=since,
        )

    def _commit(
        self, command: Change | RollBack, edits: tuple[Edit, ...], after: Document
    ) -> Changed:
        touched = {edit.section for edit in edits}
        revision = Revision(
            self._revision + 1,
            command.operator,
            command.at,
            command.change_id,
            tuple(section for section in SECTIONS if section in touched),
        )
        delta = Delta(revision, edits, chain_after(self._chain, edits))
        self._records.add(delta, self._document)
        self._document = after
        self._revision = revision.number
        self._chain = delta.chain
        for section in revision.sections:
            self._changed_at_by_section[section] = revision.number
        self._tell_watchers()
        return Changed(revision)

    def _tell_watchers(self) -> None:
        for on_revision in self._watchers:
            on_revision(self._revision)

    def _refuse(self, kind: ErrorKind, message: str) -> ChangeRefused:
        return ChangeRefused(kind, message, self._revision)

    def _not_kept(self, query: GetDocument) -> NotKept:
        return NotKept(query.revision, self._records.oldest)

    def _encode(self, message: Any) -> bytes:
        return CONFIGURATION_CODEC.encode(message)


def chain_after(chain: int, edits: tuple[Edit, ...]) -> int:
    """Return the chain's hash after a delta with ``edits``.

    >>> chain_after(0, ()) == chain_after(0, ()), chain_after(0, ()) == chain_after(1, ())
    (True, False)
    """
    return xxhash.xxh64(msgspec.msgpack.encode(edits), seed=chain).intdigest()


def _digest_of(command: Change | RollBack) -> int:
    # The time is left out: a change resent through another host carries that host's time.
    return xxhash.xxh64(msgspec.msgpack.encode(command._replace(at=0.0))).intdigest()


def _shorten(deltas: tuple[Delta, ...]) -> tuple[Delta, ...]:
    """Cut edits off the older deltas, so that at most ``CONFLICT_EDITS_LIMIT`` remain."""
    left = CONFLICT_EDITS_LIMIT
    shortened: list[Delta] = []
    for delta in reversed(deltas):
        shortened.append(delta._replace(edits=delta.edits[:left]))
        left -= len(shortened[-1].edits)
    return tuple(reversed(shortened))


def _conflict_message(based_on: int, sections: list[str], since: tuple[Delta, ...]) -> str:
    changes = ", ".join(
        f"revision {delta.revision.number} by {delta.revision.operator}" for delta in since
    )
    return (
        f"since revision {based_on}, {', '.join(sections)} changed"
        f" ({changes or 'in revisions that are no longer kept'})"
    )
