"""Know which peers the ledger has been told of as keepers."""

from collections.abc import Iterable
from typing import NamedTuple

from cranberrywall.budgets.messages import Contact, Holder


class _Announcement(NamedTuple):
    """Hold what a command named that was sent at ``clock``."""

    clock: float
    keepers: frozenset[Holder]

    def names(self, host: str) -> bool:
        """Say whether a run of the host is among the keepers."""
        return any(keeper.host == host for keeper in self.keepers)


class AnnouncedKeepers:
    """Hold the keepers that may be used: those that the ledger names whatever it has heard.

    A lost host's money comes back once all of its keepers hold nothing of it. Were charges kept
    at a host that the ledger doesn't name, it would not be asked, and the money of these charges
    would be spent twice. So a keeper is used only once the ledger has answered for it, and one
    that a later command leaves out is not used from when that command was sent.
    """

    def __init__(self) -> None:
        self._answered: _Announcement | None = None
        self._unanswered: list[_Announcement] = []

    def state(self) -> list[str]:
        """Name the runs that the ledger has answered for, for the state dump."""
        keepers = self._answered.keepers if self._answered else ()
        return [f"{keeper.host}/{keeper.incarnation}" for keeper in sorted(keepers)]

    def are(self, keepers: Iterable[Holder]) -> bool:
        """Say whether the ledger is known to name these, and no others."""
        if self._unanswered or self._answered is None:
            return False
        return frozenset(keepers) == self._answered.keepers

    def announce(self, keepers: Iterable[Holder], now: float) -> tuple[Holder, ...]:
        """Return the keepers to name in a command that is sent now."""
        named = frozenset(keepers)
        if not self.are(named):
            self._unanswered.append(_Announcement(now, named))
        return tuple(sorted(named))

    def confirm(self, contact: Contact) -> bool:
        """Note that the ledger has answered a command; say whether it names others now."""
        last = self._answered
        if contact.is_detached or contact.keepers is None:
            return False
        if last is not None and contact.clock < last.clock:
            return False
        self._answered = _Announcement(contact.clock, frozenset(contact.keepers))
        self._unanswered = [one for one in self._unanswered if one.clock > contact.clock]
        return last is None or last.keepers != self._answered.keepers

    def allows(self, host: str) -> bool:
        """Say whether something may be kept at a host now.

        Before the first answer the ledger takes nothing as proof, or goes by a command that
        is not answered yet: then any host will do that all of these name.
        """
        said = [*self._unanswered, self._answered] if self._answered else self._unanswered
        return all(one.names(host) for one in said)
