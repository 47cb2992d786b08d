"""Replicate a diskless host's charges to the memory of two peers, or to the disk of one.

Charges are replicated while the ledger is out of reach, transfers at any time. The peers commit
their copies once they reach the ledger. The ledger bills each charge once, whichever host sends it.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.budgets._charge_replication import HostFilter, Kept
from cranberrywall.budgets._interfaces import EntryHost, PeerHost, Peers
from cranberrywall.budgets._peer_messages import (
    DELIVER,
    FORGET,
    KEEP,
    DeliverReply,
    DeliverRequest,
    ForgetRequest,
    KeepRequest,
)
from cranberrywall.budgets.messages import Holder, NamedReplicaHolders
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import log_event

# Two copies in the memory of peers survive the loss of one peer; a copy on a disk does so, too.
REQUIRED_COPIES = 2
CALL_TIMEOUT_S = 0.5
# Each replica holder must be asked before a lost host's money is released. Their number is
# therefore limited to the copies, with one spare for each.
MAX_REPLICA_HOLDERS = 2 * REQUIRED_COPIES
# A host that has not discovered any peers after this time, in seconds, assumes that it is alone:
# peers announce new hosts to each other within two seconds.
PEER_DISCOVERY_TIMEOUT_S = 10.0
# Replica holders are chosen again at this interval, in seconds: a choice scans the list of all
# hosts.
CHOICE_INTERVAL_S = 1.0

_TOO_FEW_COPIES = Refusal(
    ErrorKind.UNREACHABLE,
    f"no peer with a disk and fewer than {REQUIRED_COPIES} others stored the charge; "
    "it is only in the memory of this host",
)


class PeerReplicator:
    """Replicate to preferred peers, once the ledger has their names."""

    def __init__(
        self,
        host: str,
        entry_hosts: Callable[[], Sequence[EntryHost]],
        peers: Peers,
        caller: Caller,
    ) -> None:
        self._host = host
        self._entry_hosts = entry_hosts
        self._peers = peers
        self._caller = caller
        self._stored_count = 0
        self._links_of_replica_holders: set[str] = set()
        self._chosen: tuple[Holder, ...] = ()
        self._started_at = float("inf")
        self._choose_at = float("-inf")

    def choose_replica_holders(self, now: float) -> tuple[Holder, ...] | None:
        """Return the incarnations of the first listed peers that are alive.

        Return ``None`` while there are too few and more may be discovered: a host that announced no
        replica holders could not serve in a network partition that starts soon after the host.
        """
        self._started_at = min(self._started_at, now)
        if now >= self._choose_at:
            self._choose_at = now + CHOICE_INTERVAL_S
            alive = {peer.host: peer for peer in self._peers.alive()}
            reachable = [one for one in self._entry_hosts() if one.host in (self._host, *alive)]
            preferred = [
                alive[name]
                for name in preferred_replica_hosts(self._host, reachable)
                if name in alive
            ]
            self._chosen = tuple(
                Holder(peer.host, peer.incarnation) for peer in preferred[:MAX_REPLICA_HOLDERS]
            )
        is_early = now < self._started_at + PEER_DISCOVERY_TIMEOUT_S
        return None if is_early and len(self._chosen) < REQUIRED_COPIES else self._chosen

    async def persist(self, kept: Kept, is_allowed: HostFilter) -> Result[None, Refusal]:
        """Return once two peers store ``kept`` in memory, or one has written it to its disk."""
        request = KeepRequest(kept.holder, kept.transfers, kept.charges)
        candidates = self._candidates(is_allowed)
        copies = 0
        while candidates and copies < REQUIRED_COPIES:
            asked, candidates = (
                candidates[: REQUIRED_COPIES - copies],
                candidates[REQUIRED_COPIES - copies :],
            )
            answers = await asyncio.gather(*(self._store_at(peer, request) for peer in asked))
            copies += sum(answers)
        if copies < REQUIRED_COPIES:
            return Err(_TOO_FEW_COPIES)
        self._stored_count += len(kept.charges) + len(kept.transfers)
        return Ok(None)

    def can_persist(self, is_allowed: HostFilter) -> bool:
        """Return whether enough allowed peers are in reach."""
        on_disk = self._hosts_with_disk()
        candidates = self._candidates(is_allowed)
        return len(candidates) >= REQUIRED_COPIES or any(
            peer.host in on_disk for peer in candidates
        )

    async def committed(self, kept: Kept) -> None:
        """Notify the peers that may store copies of what the ledger has."""
        if not self._stored_count:
            return
        count = len(kept.charges) + len(kept.transfers)
        self._stored_count = max(0, self._stored_count - count)
        request = ForgetRequest(
            kept.holder,
            tuple((one.budget, one.giver, one.giver_number) for one in kept.transfers),
            tuple((one.budget, one.number) for one in kept.charges),
        )
        # A peer that does not receive this commits the charges itself, which has no effect.
        await asyncio.gather(
            *(
                self._caller.call(links, FORGET, request, CALL_TIMEOUT_S)
                for links in sorted(self._links_of_replica_holders)
            )
        )

    async def _store_at(self, peer: PeerHost, request: KeepRequest) -> int:
        """Return the number of copies that this peer's answer counts for."""
        answer = await self._caller.call(peer.links, KEEP, request, CALL_TIMEOUT_S)
        if isinstance(answer, Err):
            return 0
        self._links_of_replica_holders.add(peer.links)
        return REQUIRED_COPIES if answer.ok_value.on_disk else 1

    def _candidates(self, is_allowed: HostFilter) -> list[PeerHost]:
        """Return the peers in reach that are allowed, those with a disk first.

        Any incarnation of them is suitable. If one started after the ledger was given the name of
        its host, no money is lost, only certainty: if this host is lost, no evidence can show that
        nothing was stored there.
        """
        peer_by_host = {peer.host: peer for peer in self._peers.alive()}
        others = by_preference(self._host, self._entry_hosts())
        names = [one.host for one in others if one.host in peer_by_host and is_allowed(one.host)]
        return [peer_by_host[name] for name in names]

    def _hosts_with_disk(self) -> set[str]:
        return {one.host for one in self._entry_hosts() if one.disk}


def by_preference(host: str, entry_hosts: Sequence[EntryHost]) -> list[EntryHost]:
    """Return the other hosts: those with a disk first, then those of the same place.

    Each host's list starts with the name after its own, so that not all hosts choose the same few.
    """
    place = {one.host: one.place for one in entry_hosts}.get(host)
    return sorted(
        (one for one in entry_hosts if one.host != host),
        key=lambda one: (not one.disk, one.place != place, one.host < host, one.host),
    )


def preferred_replica_hosts(host: str, entry_hosts: Sequence[EntryHost]) -> list[str]:
    """Return the hosts that should store charges of ``host``, those with a disk first.

    Hosts of its own place come before others: they stay reachable in most network partitions, and
    traffic between places costs money. Hosts of other places are spares: with only two replica
    holders that restarted in turn, a host refused all requests for the rest of a partition.

    >>> hosts = [EntryHost("a", "p", False), EntryHost("b", "q", False), EntryHost("c", "p", True)]
    >>> preferred_replica_hosts("a", hosts), preferred_replica_hosts("b", hosts)
    (['c', 'b'], ['c', 'a'])
    """
    return [one.host for one in by_preference(host, entry_hosts)]


class EmptiedHolders(NamedTuple):
    """Peers that no longer store anything of a host's older incarnations."""

    holders: tuple[Holder, ...]
    hosts_on_disk: tuple[str, ...]


async def deliver_at_replica_holders(
    host: str, incarnation: int, replica_holders: Sequence[str], peers: Peers, caller: Caller
) -> EmptiedHolders | None:
    """Ask each of ``replica_holders`` to commit what it stores of ``host``'s older incarnations.

    Return ``None`` if one of them does not confirm that nothing is left: it may store the only copy
    of a record.
    """
    answers: list[DeliverReply] = []
    peer_by_host = {peer.host: peer for peer in peers.alive()}
    request = DeliverRequest(host, incarnation)
    for name in replica_holders:
        peer = peer_by_host.get(name)
        if peer is None:
            log_event("INFO", "remainder_waits", peer=host, waits_for=name)
            return None
        answer = await caller.call(peer.links, DELIVER, request, 4 * CALL_TIMEOUT_S)
        if isinstance(answer, Err) or answer.ok_value.remaining > 0:
            return None
        answers.append(answer.ok_value)
    return EmptiedHolders(
        tuple(one.holder for one in answers if not one.on_disk),
        tuple(one.holder.host for one in answers if one.on_disk),
    )


def replaceable_replica_holders(
    rows: Sequence[NamedReplicaHolders], emptied: EmptiedHolders
) -> Sequence[Holder]:
    """Return the replica holders that lost their records with their memory, if others had these.

    Each record is on the disk of one peer or in the memory of ``REQUIRED_COPIES`` peers. If fewer
    replica holders of an incarnation have restarted without a disk since they were named, each of
    its records was also stored at one of the others, and these have nothing left. A host that is
    not in ``emptied`` was not asked, and may have the only copy on its disk.

    >>> a, b, c = Holder("a", 1), Holder("b", 1), Holder("c", 1)
    >>> emptied = EmptiedHolders((a, Holder("b", 2), Holder("c", 2)), ())
    >>> replaceable_replica_holders([NamedReplicaHolders(Holder("d", 1), (a, b))], emptied)
    [Holder(host='b', incarnation=1)]
    >>> replaceable_replica_holders([NamedReplicaHolders(Holder("d", 1), (a, b, c))], emptied)
    []
    >>> not_asked = Holder("e", 1)
    >>> replaceable_replica_holders([NamedReplicaHolders(Holder("d", 1), (a, not_asked))], emptied)
    []
    """
    answered_hosts = {holder.host for holder in emptied.holders}
    lost_by_row = [
        {
            peer
            for peer in row.replica_holders or ()
            if peer not in emptied.holders and peer.host not in emptied.hosts_on_disk
        }
        for row in rows
    ]
    replaceable: set[Holder] = set()
    irreplaceable: set[Holder] = set()
    for lost in lost_by_row:
        was_asked = all(peer.host in answered_hosts for peer in lost)
        is_replaceable = was_asked and len(lost) < REQUIRED_COPIES
        (replaceable if is_replaceable else irreplaceable).update(lost)
    return sorted(replaceable - irreplaceable)
