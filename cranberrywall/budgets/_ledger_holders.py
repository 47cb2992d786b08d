"""Know each host's latest incarnation, and whether it can still spend."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from cranberrywall.budgets._ledger_contact_gaps import Heard, Silences
from cranberrywall.budgets._messages_holders import unreported_share
from cranberrywall.budgets.messages import Contact, Evidence, Holder
from cranberrywall.observability import log_event


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
    """Hold what a holder last said of what is kept elsewhere, and where it keeps since.

    ``unseen`` is what was kept of each budget then. ``is_reduced`` says that the part that it
    cannot have spent was freed after it was lost.
    """

    heard: Heard
    keepers: tuple[Holder, ...] | None
    unseen: tuple[tuple[str, int], ...] = ()
    is_reduced: bool = False


_NO_CONTACT = ContactRecord(Heard(float("-inf"), 0.0), keepers=None)


class Holders:
    """Hold one record for each host, and the last contact of each holder with money."""

    def __init__(self) -> None:
        self.record_by_host: dict[str, HostRecord] = {}
        self._contact_by_holder: dict[Holder, ContactRecord] = {}
        self._silences = Silences()
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

    def is_released(self, holder: Holder) -> bool:
        """Say whether it is shown of an ended run that it can have spent nothing more."""
        record = self.record_by_host.get(holder.host)
        if record is None or self.is_current(holder):
            return False
        is_dead = record.dead and holder.incarnation == record.incarnation
        return is_dead or record.delivered or holder.incarnation == record.confirmed

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
        self._silences.note(holder.host, contact.wall)
        last = self._contact_by_holder.get(holder, _NO_CONTACT)
        if contact.is_detached or contact.clock < last.heard.clock:
            return
        keepers = last.keepers
        if contact.keepers is not None:
            keepers = tuple(self.one(keeper) for keeper in contact.keepers)
        heard = self._silences.heard(contact)
        self._contact_by_holder[holder] = ContactRecord(heard, keepers, contact.unseen)

    def forget_contact(self, holder: Holder) -> None:
        """Forget the contacts of a holder that was released."""
        self._contact_by_holder.pop(holder, None)

    def heard_clock(self, holder: Holder) -> float:
        """Return when a holder last told what is kept elsewhere, by its steady clock."""
        return self._contact_by_holder.get(holder, _NO_CONTACT).heard.clock

    def unseen(self, holder: Holder) -> dict[str, int]:
        """Return what was kept elsewhere of each budget as a holder was last heard."""
        return dict(self._contact_by_holder.get(holder, _NO_CONTACT).unseen)

    def older(self, holder: Holder) -> set[Holder]:
        """Return the older runs of a host that were heard, and not released since."""
        host, incarnation = holder
        return {
            one
            for one in self._contact_by_holder
            if one.host == host and one.incarnation < incarnation
        }

    def listen(self, holder: Holder, evidence: Evidence, contact: Contact | None) -> None:
        """Note the clocks that other hosts tell after this one has registered."""
        if contact is not None:
            up_s = contact.clock - evidence.started_clock
            self._silences.begin(holder, up_s)

    def listen_no_more(self, host: str) -> None:
        """Note that nothing is left of the older runs of a host."""
        self._silences.end(host)

    def may_have_spent(
        self, older: Holder, successor: Holder, evidence: Evidence, contact: Contact | None
    ) -> float | None:
        """Return the share of its part that a lost run may have spent unseen; ``None`` unknown.

        It is said once: the next time it would be a share of what that left.
        """
        record = self._contact_by_holder.get(older)
        if record is None or record.is_reduced or contact is None:
            return None
        silent_s = self._silences.bound(successor, record.heard, evidence.started_clock, contact)
        if silent_s is None:
            return None
        self._contact_by_holder[older] = record._replace(is_reduced=True)
        share = unreported_share(silent_s)
        log_event(
            "INFO",
            "lost_run_bounded",
            lost=older.host,
            incarnation=older.incarnation,
            silent_s=silent_s,
            share=share,
        )
        return share

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
                [
                    *holder,
                    *record.heard,
                    _plain(record.keepers),
                    record.unseen,
                    record.is_reduced,
                ]
                for holder, record in self._contact_by_holder.items()
            ],
            self._silences.dump(),
        ]

    def load(self, plain: list[Any]) -> None:
        """Replace the state by one that ``dump`` gave."""
        records, contacts, silences = plain
        self.record_by_host = {host: HostRecord(*record) for host, *record in records}
        self._contact_by_holder = {
            Holder(host, incarnation): ContactRecord(
                Heard(clock, wall, tuple((name, at) for name, at in walls)),
                None if keepers is None else tuple(Holder(*keeper) for keeper in keepers),
                tuple((budget, amount) for budget, amount in unseen),
                is_reduced,
            )
            for host, incarnation, clock, wall, walls, keepers, unseen, is_reduced in contacts
        }
        self._silences.load(silences)
        self._shared = {}


def _plain(keepers: tuple[Holder, ...] | None) -> list[list[Any]] | None:
    return None if keepers is None else [[*keeper] for keeper in keepers]
