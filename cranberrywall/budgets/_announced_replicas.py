"""Track which peers were announced to the ledger as replica holders."""

from collections.abc import Iterable
from typing import NamedTuple

from cranberrywall.budgets.messages import Contact, Holder


class _Announcement(NamedTuple):
    """Replica holders named by a command that was sent at ``clock``."""

    clock: float
    replica_holders: frozenset[Holder]

    def names(self, host: str) -> bool:
        """Return whether an incarnation of the host is among the replica holders."""
        return any(holder.host == host for holder in self.replica_holders)


class AnnouncedReplicaHolders:
    """Replica holders that are safe to use, because the ledger is certain to have their names.

    A lost host's money is released once all of its replica holders confirm that they store nothing
    of it. If charges were replicated to a host that the ledger has no record of, that host would
    not be asked, and the money of these charges would be spent twice. A replica holder is therefore
    used only once the ledger has acknowledged it. If a later command omits it, it is no longer used
    from the moment when that command is sent.
    """

    def __init__(self) -> None:
        self._answered: _Announcement | None = None
        self._unanswered: list[_Announcement] = []

    def state(self) -> list[str]:
        """Return the incarnations that the ledger has acknowledged, for the state dump."""
        replica_holders = self._answered.replica_holders if self._answered else ()
        return [f"{holder.host}/{holder.incarnation}" for holder in sorted(replica_holders)]

    def is_current(self, replica_holders: Iterable[Holder]) -> bool:
        """Return whether the ledger is certain to have these replica holders, and no others."""
        if self._unanswered or self._answered is None:
            return False
        return frozenset(replica_holders) == self._answered.replica_holders

    def announce(self, replica_holders: Iterable[Holder], now: float) -> tuple[Holder, ...]:
        """Return the replica holders to name in a command that is sent now."""
        named = frozenset(replica_holders)
        if not self.is_current(named):
            self._unanswered.append(_Announcement(now, named))
        return tuple(sorted(named))

    def confirm(self, contact: Contact) -> bool:
        """Record that the ledger answered a command; return whether its replica holders changed."""
        last = self._answered
        if contact.is_detached or contact.keepers is None:
            return False
        if last is not None and contact.clock < last.clock:
            return False
        self._answered = _Announcement(contact.clock, frozenset(contact.keepers))
        self._unanswered = [one for one in self._unanswered if one.clock > contact.clock]
        return last is None or last.replica_holders != self._answered.replica_holders

    def allows(self, host: str) -> bool:
        """Return whether records may be stored at a host now.

        Before the first answer, the ledger either has no replica holders of this host, and then
        accepts no evidence about its records, or uses those of a command that is not answered yet.
        Any host is allowed then that all these commands name.
        """
        announcements = [*self._unanswered, self._answered] if self._answered else self._unanswered
        return all(one.names(host) for one in announcements)
