"""Latest incarnation of each host, and last contact of each holder with the ledger."""

import sys
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from cranberrywall.budgets._ledger_contact_gaps import ContactGaps, LastContact
from cranberrywall.budgets.messages import Contact, Evidence, Holder

MAX_KNOWN_STARTS = 64
"""Maximum number of older incarnations that are recorded of a host.

A late transfer to an incarnation that is no longer recorded stays outstanding instead of free.
"""


class HostRecord(NamedTuple):
    """State of a host's incarnation with the highest number.

    ``delivered`` is true if everything that older incarnations left has been sent, and ``released``
    is the amount that was freed because of it. ``dead`` is true if an operator confirmed that the
    latest incarnation can no longer spend. ``confirmed`` is the incarnation that was confirmed dead
    last, and ``confirmed_released`` is the amount that was freed because of that.

    ``known`` are the lower incarnations that the ledger had heard of before it heard of this one;
    ``None`` if the host's starts are not tracked. ``unordered`` are lower incarnations that it
    first heard of afterwards. Such an incarnation may have started later, by a clock that was set
    back: what older incarnations left says nothing about it.
    """

    incarnation: int
    delivered: bool = False
    released: int = 0
    dead: bool = False
    confirmed: int = -1
    confirmed_released: int = 0
    known: tuple[int, ...] | None = None
    unordered: tuple[int, ...] = ()


class ContactRecord(NamedTuple):
    """What a holder reported at its last contact about data that is replicated to peers.

    ``unreported`` is the amount of each budget that only replica holders had at that time.
    ``replica_holders`` are the peers that may store the holder's data since then; ``None`` if the
    holder has not named any yet. ``is_reduced`` is true if the part that the holder cannot have
    spent was freed after it was lost.
    """

    last: LastContact
    replica_holders: tuple[Holder, ...] | None
    unreported: tuple[tuple[str, int], ...] = ()
    is_reduced: bool = False


class HolderRates(NamedTuple):
    """Maximum rates of unreported spend that a holder declared, in units per second.

    ``clock`` is the time of the latest declaration by the monotonic clock of the holder's machine.
    """

    clock: float
    rate_by_budget: dict[str, int]


_NO_CONTACT = ContactRecord(LastContact(float("-inf"), 0.0), replica_holders=None)
_NO_RATES = HolderRates(float("-inf"), {})


class Holders:
    """One record for each host, and the last contact and declared rates of each holder."""

    def __init__(self) -> None:
        self.record_by_host: dict[str, HostRecord] = {}
        self._contact_by_holder: dict[Holder, ContactRecord] = {}
        self._rates_by_holder: dict[Holder, HolderRates] = {}
        self._gaps = ContactGaps()
        self._shared: dict[Holder, Holder] = {}

    def record_incarnation(self, holder: Holder) -> None:
        """Record the holder's incarnation if it is higher than the host's recorded one.

        If it is lower and the host's starts are tracked, record that it was heard of.
        """
        record = self.record_by_host.get(holder.host)
        if record is None:
            self.record_by_host[holder.host] = HostRecord(holder.incarnation)
        elif holder.incarnation > record.incarnation:
            self.record_by_host[holder.host] = HostRecord(
                holder.incarnation,
                confirmed=record.confirmed,
                confirmed_released=record.confirmed_released,
                known=_known_to_successor(record),
            )
        elif self.is_unordered(holder) and holder.incarnation not in record.unordered:
            unordered = (*record.unordered, holder.incarnation)
            self.record_by_host[holder.host] = record._replace(unordered=unordered)

    def track_starts(self, host: str, known: Iterable[int]) -> None:
        """Record from now on which incarnations of the host the ledger has heard of.

        ``known`` are the lower incarnations that it has heard of until now.
        """
        record = self.record_by_host[host]
        if record.known is None:
            self.record_by_host[host] = record._replace(known=tuple(sorted(known)))

    @property
    def has_tracked_starts(self) -> bool:
        """Return whether starts of any host are tracked; older builds cannot load them."""
        return any(record.known is not None for record in self.record_by_host.values())

    def is_unordered(self, holder: Holder) -> bool:
        """Return whether the holder may have started after a higher incarnation of its host.

        That is so if the ledger heard of the higher incarnation first. It is unknown, and the
        result false, if the host's starts are not tracked.
        """
        record = self.record_by_host.get(holder.host)
        if record is None or record.known is None or holder.incarnation >= record.incarnation:
            return False
        return holder.incarnation not in record.known

    def is_current(self, holder: Holder) -> bool:
        """Return whether the holder may still get new allotments.

        It may not if a later incarnation is recorded or if it was confirmed dead.
        """
        record = self.record_by_host.get(holder.host)
        if record is None:
            return True
        return holder.incarnation > record.incarnation or (
            holder.incarnation == record.incarnation and not record.dead
        )

    def is_released(self, holder: Holder) -> bool:
        """Return whether the incarnation has ended and all that it spent is accounted for."""
        record = self.record_by_host.get(holder.host)
        if record is None or self.is_current(holder):
            return False
        is_dead = record.dead and holder.incarnation == record.incarnation
        if is_dead or holder.incarnation == record.confirmed:
            return True
        return record.delivered and not self.is_unordered(holder)

    def update(self, host: str, record: HostRecord) -> None:
        """Replace a host's record."""
        self.record_by_host[host] = record

    def record_contact(self, holder: Holder, contact: Contact | None) -> None:
        """Record a contact of the holder itself.

        A network partition may delay a command, so that it arrives after later ones. What such a
        command reports about the holder is out of date and is ignored.
        """
        if contact is None:
            return
        self._gaps.record_wall(holder.host, contact.wall)
        previous = self._contact_by_holder.get(holder, _NO_CONTACT)
        if contact.is_detached or contact.clock < previous.last.clock:
            return
        replica_holders = previous.replica_holders
        if contact.keepers is not None:
            replica_holders = tuple(self.intern_holder(peer) for peer in contact.keepers)
        last = self._gaps.last_contact(contact)
        self._contact_by_holder[holder] = ContactRecord(last, replica_holders, contact.unseen)

    @property
    def has_declared_rates(self) -> bool:
        """Return whether any holder has declared rates; older builds cannot load them."""
        return bool(self._rates_by_holder)

    def record_rates(self, holder: Holder, contact: Contact, rates: Mapping[str, int]) -> None:
        """Record declared rates and the contact that they came with.

        A declaration that arrives after a later one is out of date and is ignored.
        """
        self.record_contact(holder, contact)
        previous = self._declared(holder)
        if contact.clock <= previous.clock:
            return
        rate_by_budget = {
            **previous.rate_by_budget,
            **{sys.intern(budget): rate for budget, rate in rates.items()},
        }
        self._rates_by_holder[holder] = HolderRates(contact.clock, rate_by_budget)

    def declared_rate(self, holder: Holder, budget: str) -> int | None:
        """Return the maximum rate that the holder declared for the budget."""
        return self._declared(holder).rate_by_budget.get(budget)

    def declared_count(self, holder: Holder) -> int:
        """Return the number of budgets for which the holder declared a rate."""
        return len(self._declared(holder).rate_by_budget)

    def _declared(self, holder: Holder) -> HolderRates:
        return self._rates_by_holder.get(holder, _NO_RATES)

    def remove_contact(self, holder: Holder) -> None:
        """Remove the contact record and the declared rates of a released holder."""
        self._contact_by_holder.pop(holder, None)
        self._rates_by_holder.pop(holder, None)

    def last_contact_clock(self, holder: Holder) -> float:
        """Return the time of the holder's last contact by its machine's monotonic clock."""
        return self._contact_by_holder.get(holder, _NO_CONTACT).last.clock

    def unreported(self, holder: Holder) -> dict[str, int]:
        """Return the unreported amount of each budget at the holder's last contact."""
        return dict(self._contact_by_holder.get(holder, _NO_CONTACT).unreported)

    def older_incarnations(self, holder: Holder) -> set[Holder]:
        """Return a host's older incarnations that had a contact and are not released yet."""
        host, incarnation = holder
        return {
            contacted
            for contacted in self._contact_by_holder
            if contacted.host == host and contacted.incarnation < incarnation
        }

    def start_recording_clocks(
        self, holder: Holder, evidence: Evidence, contact: Contact | None
    ) -> None:
        """Start recording other hosts' wall clocks, after a successor has registered."""
        if contact is not None:
            uptime_s = contact.clock - evidence.started_clock
            self._gaps.start_recording(holder, uptime_s)

    def stop_recording_clocks(self, host: str) -> None:
        """Stop recording other hosts' wall clocks: the older incarnations are released."""
        self._gaps.stop_recording(host)

    def bound_unreported_gap(
        self, older: Holder, successor: Holder, evidence: Evidence, contact: Contact | None
    ) -> float | None:
        """Return for how long a lost incarnation may have spent unreported; ``None`` if unknown.

        The time is returned only once for each lost incarnation: a second reduction would apply
        the bound to the remainder of the first.
        """
        record = self._contact_by_holder.get(older)
        if record is None or record.is_reduced or contact is None:
            return None
        gap_s = self._gaps.bound_gap(successor, record.last, evidence.started_clock, contact)
        if gap_s is None:
            return None
        self._contact_by_holder[older] = record._replace(is_reduced=True)
        return gap_s

    def is_proven_empty(self, older: Holder, evidence: Evidence) -> bool:
        """Return whether ``evidence`` shows that no peer stores data of ``older`` any more.

        Each incarnation that was named as replica holder must be listed as empty. A later
        incarnation of the same peer proves nothing by itself, because what the earlier one stored
        in memory is lost. If the holder has named no replica holders yet, the result is false: any
        peer that it received money from may store its data.
        """
        replica_holders = self._contact_by_holder.get(older, _NO_CONTACT).replica_holders
        if replica_holders is None or not evidence.has_asked:
            return False
        return all(
            peer in evidence.empty or peer.host in evidence.empty_on_disk
            for peer in replica_holders
        )

    def replica_holders(self, holder: Holder) -> tuple[Holder, ...] | None:
        """Return the replica holders that the holder named last; ``None`` if it named none."""
        return self._contact_by_holder.get(holder, _NO_CONTACT).replica_holders

    def replica_hosts(self, holders: Iterable[Holder]) -> tuple[str, ...]:
        """Return the hosts that may store data of ``holders``, sorted."""
        contacts = [self._contact_by_holder.get(holder, _NO_CONTACT) for holder in holders]
        peers = [peer for contact in contacts for peer in contact.replica_holders or ()]
        return tuple(sorted({peer.host for peer in peers}))

    def intern_holder(self, holder: Holder) -> Holder:
        """Return the shared copy of an equal holder, which saves memory in allotments."""
        return self._shared.setdefault(holder, holder)

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        plain = [
            [_dump_record(host, record) for host, record in self.record_by_host.items()],
            [
                [
                    *holder,
                    *record.last,
                    _dump_holders(record.replica_holders),
                    record.unreported,
                    record.is_reduced,
                ]
                for holder, record in self._contact_by_holder.items()
            ],
            self._gaps.dump(),
        ]
        if self.has_declared_rates:
            plain.append([[*holder, *rates] for holder, rates in self._rates_by_holder.items()])
        return plain

    def load(self, plain: list[Any]) -> None:
        """Replace the state with one that ``dump`` returned."""
        records, contacts, gaps, *rates = plain
        self.record_by_host = {host: _load_record(record) for host, *record in records}
        self._contact_by_holder = {
            Holder(host, incarnation): ContactRecord(
                LastContact(clock, wall, tuple((name, at) for name, at in walls)),
                None if peers is None else tuple(Holder(*peer) for peer in peers),
                tuple((budget, amount) for budget, amount in unreported),
                is_reduced,
            )
            for host, incarnation, clock, wall, walls, peers, unreported, is_reduced in contacts
        }
        self._gaps.load(gaps)
        self._rates_by_holder = {
            Holder(host, incarnation): HolderRates(clock, rate_by_budget)
            for host, incarnation, clock, rate_by_budget in (rates[0] if rates else ())
        }
        self._shared = {}


def _dump_holders(peers: tuple[Holder, ...] | None) -> list[list[Any]] | None:
    return None if peers is None else [[*peer] for peer in peers]


def _known_to_successor(record: HostRecord) -> tuple[int, ...] | None:
    """Return the incarnations that the ledger has heard of when a higher one follows."""
    if record.known is None:
        return None
    known = sorted({*record.known, *record.unordered, record.incarnation})
    return tuple(known[-MAX_KNOWN_STARTS:])


def _dump_record(host: str, record: HostRecord) -> list[Any]:
    *plain, known, unordered = record
    return [host, *plain] if known is None else [host, *plain, known, unordered]


def _load_record(plain: list[Any]) -> HostRecord:
    record = HostRecord(*plain)
    known = None if record.known is None else tuple(record.known)
    return record._replace(known=known, unordered=tuple(record.unordered))
