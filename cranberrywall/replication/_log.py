"""Hold the part of a group's log that is not yet behind a snapshot, in memory."""

from collections.abc import Sequence
from typing import NamedTuple

from cranberrywall.replication._rosters import EMPTY_ROSTER, decode_roster
from cranberrywall.replication.messages import Entry, EntryKind, Roster


class _RosterAt(NamedTuple):
    since: int
    roster: Roster


class Log:
    """Hold the entries after ``base_index``, whose own entry is known only by its term."""

    def __init__(self, base_index: int = 0, base_term: int = 0, roster: Roster = EMPTY_ROSTER):
        self.base_index = base_index
        self._base_term = base_term
        self._entries: list[Entry] = []
        self._rosters = [_RosterAt(base_index, roster)]

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def roster(self) -> Roster:
        """Return the newest roster, committed or not: it is in force once it is written."""
        return self._rosters[-1].roster

    @property
    def roster_index(self) -> int:
        """Return the index of the newest roster's entry."""
        return self._rosters[-1].since

    def roster_at(self, index: int) -> Roster:
        """Return the roster in force at ``index``."""
        return next(at.roster for at in reversed(self._rosters) if at.since <= index)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` where the log does not reach it."""
        if index == self.base_index:
            return self._base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> Entry:
        """Return the entry at ``index``, which must be held."""
        return self._entries[index - self.base_index - 1]

    def batch(self, first: int, most_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``first`` on: at least one if any, up to ``most_bytes``."""
        start = first - self.base_index - 1
        size = 0
        end = start
        while end < len(self._entries):
            size += len(self._entries[end].data)
            if size > most_bytes and end > start:
                break
            end += 1
        return tuple(self._entries[start:end])

    def append(self, first: int, entries: Sequence[Entry]) -> None:
        """Put ``entries`` at ``first``; whatever was there and after it is dropped."""
        del self._entries[first - self.base_index - 1 :]
        while len(self._rosters) > 1 and self._rosters[-1].since >= first:
            self._rosters.pop()
        self._entries.extend(entries)
        for index, entry in enumerate(entries, first):
            if entry.kind is EntryKind.ROSTER:
                self._rosters.append(_RosterAt(index, decode_roster(entry.data)))

    def compact(self, index: int) -> None:
        """Forget the entries up to ``index``, which must be behind a snapshot."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None
        base = self.roster_at(index)
        later = [at for at in self._rosters if at.since > index]
        del self._entries[: index - self.base_index]
        self.base_index, self._base_term = index, term
        self._rosters = [_RosterAt(index, base), *later]
