"""Know each host's latest incarnation, and whether it can still spend."""

from collections.abc import Iterable
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
    """Hold a holder's last contact, and where it may have kept anything since."""

    clock: float
    is_detached: bool
    keepers: tuple[Holder, ...] | None


_NO_CONTACT = ContactRecord(float("-inf"), is_detached=True, keepers=None)


class Holders:
    """Hold one record for each host, and the last contact of each holder with money."""

    def __init__(self) -> None:
        self.record_by_host: dict[str, HostRecord] = {}
        self._contact_by_holder: dict[Holder, ContactRecord] = {}
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

        A command that a cut held up may come long after it was sent, and behind later ones:
        what it says of the holder is no longer true then.
        """
        if contact is None:
            return
        last = self._contact_by_holder.get(holder, _NO_CONTACT)
        if contact.clock < last.clock:
            return
        keepers = last.keepers
        if contact.keepers is not None and not contact.is_detached:
            keepers = tuple(self.one(keeper) for keeper in contact.keepers)
        self._contact_by_holder[holder] = ContactRecord(contact.clock, contact.is_detached, keepers)

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

        Each run of a peer that was named as keeper holds nothing: a later run of it proves
        nothing, since what the earlier one held in memory is forgotten. A holder that named
        nobody yet may have kept anywhere what its peers gave it.
        """
        keepers = self._contact_by_holder.get(older, _NO_CONTACT).keepers
        if keepers is None or not evidence.has_asked:
            return False
        return all(
            keeper in evidence.empty or keeper.host in evidence.empty_on_disk for keeper in keepers
        )

    def keepers(self, holders: Iterable[Holder]) -> tuple[str, ...]:
        """Return the hosts that may keep anything of ``holders``, sorted."""
        contacts = [self._contact_by_holder.get(holder, _NO_CONTACT) for holder in holders]
        keepers = [keeper for contact in contacts for keeper in contact.keepers or ()]
        return tuple(sorted({keeper.host for keeper in keepers}))

    def one(self, holder: Holder) -> Holder:
        """Return the one shared copy of an equal holder, to save memory in allotments."""
        return self._shared.setdefault(holder, holder)

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [
            [[host, *record] for host, record in self.record_by_host.items()],
            [
                [*holder, contact.clock, contact.is_detached, _plain(contact.keepers)]
                for holder, contact in self._contact_by_holder.items()
            ],
        ]

    def load(self, plain: list[Any]) -> None:
        """Replace the state by one that ``dump`` gave."""
        records, contacts = plain
        self.record_by_host = {host: HostRecord(*record) for host, *record in records}
        self._contact_by_holder = {
            Holder(host, incarnation): ContactRecord(
                clock,
                is_detached,
                None if keepers is None else tuple(Holder(*keeper) for keeper in keepers),
            )
            for host, incarnation, clock, is_detached, keepers in contacts
        }
        self._shared = {}


def _plain(keepers: tuple[Holder, ...] | None) -> list[list[Any]] | None:
    return None if keepers is None else [[*keeper] for keeper in keepers]
