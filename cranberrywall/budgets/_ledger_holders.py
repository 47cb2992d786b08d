"""Know each host's latest incarnation, and whether it can still spend."""

from typing import Any, NamedTuple

from cranberrywall.budgets._messages_holders import DETACH_AFTER_S
from cranberrywall.budgets.messages import Contact, Evidence, Holder


class HostRecord(NamedTuple):
    """Describe a host's latest incarnation.

    ``delivered`` says that all that older incarnations left has been sent, and
    ``released`` what came back by it. ``dead`` says that an operator confirmed its end.
    ``confirmed`` is the incarnation that was confirmed last, and ``confirmed_released``
    what came back by that.
    """

    incarnation: int
    delivered: bool = False
    released: int = 0
    dead: bool = False
    confirmed: int = -1
    confirmed_released: int = 0


class ContactRecord(NamedTuple):
    """Hold a holder's last contact; ``order`` counts contacts and registrations of all."""

    clock: float
    is_detached: bool
    order: int


_NO_CONTACT = ContactRecord(float("-inf"), is_detached=True, order=0)


class Holders:
    """Hold one record for each host, and the last contact of each holder with money."""

    def __init__(self) -> None:
        self.record_by_host: dict[str, HostRecord] = {}
        self._contact_by_holder: dict[Holder, ContactRecord] = {}
        self._registered_by_holder: dict[Holder, int] = {}
        self._order = 0
        self._shared: dict[Holder, Holder] = {}

    def note(self, holder: Holder) -> None:
        """Raise the host's incarnation where the holder's is higher."""
        record = self.record_by_host.get(holder.host)
        if record is None:
            self.record_by_host[holder.host] = HostRecord(holder.incarnation)
        elif holder.incarnation > record.incarnation:
            self.record_by_host[holder.host] = HostRecord(
                holder.incarnation,
                confirmed=record.confirmed,
                confirmed_released=record.confirmed_released,
            )

    def is_current(self, holder: Holder) -> bool:
        """Say whether no later incarnation is known and nobody confirmed its end."""
        record = self.record_by_host.get(holder.host)
        if record is None:
            return True
        return holder.incarnation > record.incarnation or (
            holder.incarnation == record.incarnation and not record.dead
        )

    def update(self, host: str, record: HostRecord) -> None:
        """Replace a host's record."""
        self.record_by_host[host] = record

    def note_contact(self, holder: Holder, contact: Contact | None) -> None:
        """Note that the holder itself was heard.

        What a detached holder says is no news of its peers: they may have come up, without
        what they held for it, at any time since it was last attached.
        """
        if contact is None:
            return
        self._order += 1
        order = self._order
        if contact.is_detached:
            order = self._contact_by_holder.get(holder, _NO_CONTACT).order
        self._contact_by_holder[holder] = ContactRecord(contact.clock, contact.is_detached, order)

    def note_registered(self, holder: Holder) -> None:
        """Note when, among all contacts, a holder came up."""
        if holder not in self._registered_by_holder:
            self._order += 1
            older = [one for one in self._registered_by_holder if one.host == holder.host]
            for one in older:
                del self._registered_by_holder[one]
            self._registered_by_holder[holder] = self._order

    def forget_contact(self, holder: Holder) -> None:
        """Forget the contacts of a holder that was released."""
        self._contact_by_holder.pop(holder, None)

    def had_no_time(self, older: Holder, evidence: Evidence) -> bool:
        """Say whether ``older`` had no time to detach before its successor started.

        It may then have spent its grace out of the ledger's sight, and no more.
        """
        contact = self._contact_by_holder.get(older, _NO_CONTACT)
        silent_s = evidence.started_clock - contact.clock
        return not contact.is_detached and 0.0 <= silent_s < DETACH_AFTER_S

    def is_proven(self, older: Holder, evidence: Evidence) -> bool:
        """Say whether ``evidence`` shows that nothing of ``older`` is kept anywhere.

        Every peer that may have kept something has been up since before the last contact, and
        holds nothing: a peer that came up later may have held it and forgotten.
        """
        contact = self._contact_by_holder.get(older, _NO_CONTACT)
        came_up = [self._registered_by_holder.get(peer) for peer in evidence.peers]
        return evidence.has_asked and all(
            order is not None and order < contact.order for order in came_up
        )

    def one(self, holder: Holder) -> Holder:
        """Return the one shared copy of an equal holder, to save memory in allotments."""
        return self._shared.setdefault(holder, holder)

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [
            [[host, *record] for host, record in self.record_by_host.items()],
            [[*holder, *contact] for holder, contact in self._contact_by_holder.items()],
            [[*holder, order] for holder, order in self._registered_by_holder.items()],
            self._order,
        ]

    def load(self, plain: list[Any]) -> None:
        """Replace the state by one that ``dump`` gave."""
        records, contacts, registered, self._order = plain
        self.record_by_host = {host: HostRecord(*record) for host, *record in records}
        self._contact_by_holder = {
            Holder(host, incarnation): ContactRecord(*contact)
            for host, incarnation, *contact in contacts
        }
        self._registered_by_holder = {
            Holder(host, incarnation): order for host, incarnation, order in registered
        }
        self._shared = {}
