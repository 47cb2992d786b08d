"""List of duplicates, late charges and amounts in doubt."""

from typing import Any, NamedTuple

from cranberrywall.budgets.messages import ExceptionKind, ExceptionRow, Holder

MAX_LISTED = 10_000
"""Maximum number of duplicates, and of late charges, that are listed between two closings.

Any above it are only counted. All amounts in doubt are listed, since each withholds a part of a
budget.
"""

_RECORDED, _OPEN, _BILLED, _RELEASED = "recorded", "open", "billed", "released"

_RESOLVE_HINT = "decide with: cranberrywallctl budgets resolve, by an operator and an approver"

# A closing stores these texts, and its digest covers them. All replicas of a group must compute
# the same digest, so they must have the same texts.
_REASON_AND_REMEDY: dict[ExceptionKind, tuple[str, str]] = {
    ExceptionKind.DUPLICATE: (
        "another charge of the request id was billed; this one was not",
        "nothing to do",
    ),
    ExceptionKind.LATE_PERIOD: (
        "the charge came after the period of its reservation was closed; it is billed in "
        "the period that was open",
        "nothing to do",
    ),
    ExceptionKind.FORGOTTEN_ID: (
        "the charge is older than the ids that the ledger keeps, so it cannot tell "
        "whether the request was billed before",
        f"compare with the caller's records; {_RESOLVE_HINT}",
    ),
    ExceptionKind.UNFUNDED: (
        "the holder's remainder had come back and was spent elsewhere; billing the charge "
        "would overspend the budget",
        f"top the budget up, then {_RESOLVE_HINT}",
    ),
    ExceptionKind.NUMBER_REUSED: (
        "the holder had used the charge's number for another request",
        f"compare with the host's log; {_RESOLVE_HINT}",
    ),
    ExceptionKind.DEAD_HOLDER: (
        "an older incarnation of the host held the amount, and its last charges may be on "
        "their way from its journal or its mirrors",
        "start the host so that it delivers them, or confirm with: "
        "cranberrywallctl confirm-dead",
    ),
    ExceptionKind.SILENT_HOLDER: (
        "the holder has not been heard for long; it may be cut off and spending",
        "wait until it is back; once it can no longer spend, confirm with: "
        "cranberrywallctl confirm-dead",
    ),
}

_KINDS_TO_RESOLVE = frozenset(
    {ExceptionKind.FORGOTTEN_ID, ExceptionKind.UNFUNDED, ExceptionKind.NUMBER_REUSED}
)


class Entry(NamedTuple):
    """Stored exception; ``fingerprint`` is that of its charge, and 0 if it has none."""

    number: int
    kind: ExceptionKind
    fingerprint: int
    budget: str
    workspace: str
    request_id: str
    holder: Holder
    amount: int
    held: int
    reserved_at: float
    at: float
    state: str
    note: str


class UnlistedCounts(NamedTuple):
    """Counts of the duplicates and of the late charges that are not listed."""

    duplicates: int = 0
    late: int = 0


class Exceptions:
    """Exceptions since the last closing, and older ones that are still open."""

    def __init__(self) -> None:
        self._next_number = 1
        self._duplicates = 0
        self._late = 0
        self.entry_by_number: dict[int, Entry] = {}
        self._number_by_fingerprint: dict[int, int] = {}

    def record(self, entry: Entry) -> None:
        """Store an entry under the next number; its ``number`` and ``state`` are set here."""
        if not self._can_list(entry.kind):
            return
        state = entry.state or (_OPEN if entry.kind in _KINDS_TO_RESOLVE else _RECORDED)
        self._store(entry._replace(number=self._next_number, state=state))
        self._next_number += 1

    def _can_list(self, kind: ExceptionKind) -> bool:
        if kind is ExceptionKind.DUPLICATE:
            self._duplicates += 1
            return self._duplicates <= MAX_LISTED
        if kind is ExceptionKind.LATE_PERIOD:
            self._late += 1
            return self._late <= MAX_LISTED
        return True

    @property
    def unlisted(self) -> UnlistedCounts:
        """Return how many exceptions were only counted since the last closing."""
        return UnlistedCounts(
            max(0, self._duplicates - MAX_LISTED), max(0, self._late - MAX_LISTED)
        )

    def _store(self, entry: Entry) -> None:
        self.entry_by_number[entry.number] = entry
        if entry.fingerprint:
            self._number_by_fingerprint[entry.fingerprint] = entry.number

    def find_by_charge(self, fingerprint: int) -> Entry | None:
        """Return the entry that an earlier arrival of the charge created, or ``None``."""
        number = self._number_by_fingerprint.get(fingerprint)
        return None if number is None else self.entry_by_number[number]

    def resolve(self, number: int, billed: bool, note: str) -> None:
        """Set the final state of an open entry."""
        entry = self.entry_by_number[number]
        state = _BILLED if billed else _RELEASED
        self.entry_by_number[number] = entry._replace(state=state, held=0, note=note)

    def close(self) -> None:
        """Remove the entries that the closing has recorded, except those that are still open."""
        kept = [entry for entry in self.entry_by_number.values() if entry.state == _OPEN]
        self.entry_by_number = {}
        self._number_by_fingerprint = {}
        for entry in kept:
            self._store(entry)
        self._duplicates = 0
        self._late = 0

    def count_open(self) -> int:
        """Return the number of entries that need a decision."""
        return sum(1 for entry in self.entry_by_number.values() if entry.state == _OPEN)

    def rows(self) -> list[ExceptionRow]:
        """Return every entry with its reason and remedy, oldest first."""
        return [_make_row(entry) for entry in self.entry_by_number.values()]

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        entries = list(self.entry_by_number.values())
        return [self._next_number, self._duplicates, self._late, entries]

    def load(self, plain: list[Any]) -> None:
        """Replace the state with one that ``dump`` returned."""
        self._next_number, self._duplicates, self._late, entries = plain
        self.entry_by_number = {}
        self._number_by_fingerprint = {}
        for plain_entry in entries:
            entry = Entry(*plain_entry)
            kind, holder = ExceptionKind(entry.kind), Holder(*entry.holder)
            self._store(entry._replace(kind=kind, holder=holder))


def make_holder_row(
    kind: ExceptionKind, budget: str, workspace: str, holder: Holder, amount: int, at: float
) -> ExceptionRow:
    """Return the row for an allotment that is not released yet; it has no number."""
    return ExceptionRow(
        number=0,
        kind=kind,
        budget=budget,
        workspace=workspace,
        request_id="",
        holder=holder,
        amount=amount,
        held=0,
        at=at,
        state=_OPEN,
        reason=_REASON_AND_REMEDY[kind][0],
        remedy=_REASON_AND_REMEDY[kind][1],
    )


def _make_row(entry: Entry) -> ExceptionRow:
    reason, remedy = _REASON_AND_REMEDY[entry.kind]
    return ExceptionRow(
        number=entry.number,
        kind=entry.kind,
        budget=entry.budget,
        workspace=entry.workspace,
        request_id=entry.request_id,
        holder=entry.holder,
        amount=entry.amount,
        held=entry.held,
        at=entry.at,
        state=entry.state,
        reason=entry.note or reason,
        remedy=remedy if entry.state == _OPEN else "nothing to do",
    )
