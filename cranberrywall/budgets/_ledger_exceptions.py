"""Keep by name each duplicate, each late charge and each amount in doubt."""

from typing import Any, NamedTuple

from cranberrywall.budgets.messages import ExceptionKind, ExceptionRow, Holder

MAX_NAMED = 10_000
"""The most duplicates, and the most late charges, kept by name between two closings.

More are counted. Amounts in doubt are all kept by name, since each holds money.
"""

_RECORDED, _OPEN, _BILLED, _RELEASED = "recorded", "open", "billed", "released"

_RESOLVE = "decide with: cranberrywallctl budgets resolve, by an operator and an approver"

_TEXTS: dict[ExceptionKind, tuple[str, str]] = {
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
        f"compare with the caller's records; {_RESOLVE}",
    ),
    ExceptionKind.UNFUNDED: (
        "the holder's remainder had come back and was spent elsewhere; billing the charge "
        "would overspend the budget",
        f"top the budget up, then {_RESOLVE}",
    ),
    ExceptionKind.NUMBER_REUSED: (
        "the holder had used the charge's number for another request",
        f"compare with the host's log; {_RESOLVE}",
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

_TO_RESOLVE = frozenset(
    {ExceptionKind.FORGOTTEN_ID, ExceptionKind.UNFUNDED, ExceptionKind.NUMBER_REUSED}
)


class Entry(NamedTuple):
    """Describe one exception as it is kept; ``fingerprint`` is its charge's."""

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


class Unnamed(NamedTuple):
    """Count the duplicates and the late charges that are not kept by name."""

    duplicates: int = 0
    late: int = 0


class Exceptions:
    """Hold the entries since the last closing, and older ones that are still open."""

    def __init__(self) -> None:
        self._next_number = 1
        self._duplicates = 0
        self._late = 0
        self.entry_by_number: dict[int, Entry] = {}
        self._number_by_fingerprint: dict[int, int] = {}

    def record(self, entry: Entry) -> None:
        """Add an entry under the next number; its ``number`` and ``state`` are set here."""
        if not self._has_room_for(entry.kind):
            return
        state = entry.state or (_OPEN if entry.kind in _TO_RESOLVE else _RECORDED)
        self._keep(entry._replace(number=self._next_number, state=state))
        self._next_number += 1

    def _has_room_for(self, kind: ExceptionKind) -> bool:
        if kind is ExceptionKind.DUPLICATE:
            self._duplicates += 1
            return self._duplicates <= MAX_NAMED
        if kind is ExceptionKind.LATE_PERIOD:
            self._late += 1
            return self._late <= MAX_NAMED
        return True

    @property
    def unnamed(self) -> Unnamed:
        """Return how many were only counted since the last closing."""
        return Unnamed(max(0, self._duplicates - MAX_NAMED), max(0, self._late - MAX_NAMED))

    def _keep(self, entry: Entry) -> None:
        self.entry_by_number[entry.number] = entry
        if entry.fingerprint:
            self._number_by_fingerprint[entry.fingerprint] = entry.number

    def by_charge(self, fingerprint: int) -> Entry | None:
        """Return the entry that a charge's earlier arrival made."""
        number = self._number_by_fingerprint.get(fingerprint)
        return None if number is None else self.entry_by_number[number]

    def resolve(self, number: int, billed: bool, note: str) -> None:
        """End an open entry."""
        entry = self.entry_by_number[number]
        state = _BILLED if billed else _RELEASED
        self.entry_by_number[number] = entry._replace(state=state, held=0, note=note)

    def close(self) -> None:
        """Forget what the closing has written down, except what is still open."""
        kept = [entry for entry in self.entry_by_number.values() if entry.state == _OPEN]
        self.entry_by_number = {}
        self._number_by_fingerprint = {}
        for entry in kept:
            self._keep(entry)
        self._duplicates = 0
        self._late = 0

    def count_open(self) -> int:
        """Return how many entries wait for a decision."""
        return sum(1 for entry in self.entry_by_number.values() if entry.state == _OPEN)

    def rows(self) -> list[ExceptionRow]:
        """Return every entry with its reason and its way out, oldest first."""
        return [_row(entry) for entry in self.entry_by_number.values()]

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        entries = list(self.entry_by_number.values())
        return [self._next_number, self._duplicates, self._late, entries]

    def load(self, plain: list[Any]) -> None:
        """Replace the state by one that ``dump`` gave."""
        self._next_number, self._duplicates, self._late, entries = plain
        self.entry_by_number = {}
        self._number_by_fingerprint = {}
        for plain_entry in entries:
            entry = Entry(*plain_entry)
            kind, holder = ExceptionKind(entry.kind), Holder(*entry.holder)
            self._keep(entry._replace(kind=kind, holder=holder))


def waiting_row(
    kind: ExceptionKind, budget: str, workspace: str, holder: Holder, amount: int, at: float
) -> ExceptionRow:
    """Return the row for an allotment that waits for evidence; it has no number."""
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
        reason=_TEXTS[kind][0],
        remedy=_TEXTS[kind][1],
    )


def _row(entry: Entry) -> ExceptionRow:
    reason, remedy = _TEXTS[entry.kind]
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
