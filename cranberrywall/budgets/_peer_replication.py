"""Keep the charges of a host without a disk at two of its peers, or on one peer's disk.

Charges are kept so while the ledger is out of reach, transfers at any time. The peers
commit what they hold once they reach the ledger; it bills each charge once, whoever sends it.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.budgets._charge_replication import Allows, Kept
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
from cranberrywall.budgets.messages import Holder
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import log_event

# Copies in the memory of two peers last through the loss of one; one on a disk does too.
COPIES = 2
CALL_TIMEOUT_S = 0.5
# Each keeper must be asked before a lost host's money comes back, so there are no more than the
# copies and a spare for each.
MOST_KEEPERS = 2 * COPIES
# A host that has heard of no peers after this time is taken to be alone, in seconds: peers tell
# each other of newcomers within two.
HEAR_OF_PEERS_S = 10.0
# Who keeps is chosen anew this often, in seconds: it goes through the list of all hosts.
CHOOSE_EVERY_S = 1.0

_ALONE = Refusal(
    ErrorKind.UNREACHABLE,
    f"no peer with a disk and fewer than {COPIES} others keep it: the charge is in memory only",
)


class Mirror:
    """Keep at some peers that ``mirrors_of`` names, once the ledger knows of them."""

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
        self._mirrored = 0
        self._links_of_mirrors: set[str] = set()
        self._chosen: tuple[Holder, ...] = ()
        self._started_at = float("inf")
        self._choose_at = float("-inf")

    def choose(self, now: float) -> tuple[Holder, ...] | None:
        """Return the runs of the first mirrors that are alive.

        ``None`` while there are too few and others may yet be heard of: a host that named
        nobody could not serve in a cut that begins soon after its start.
        """
        self._started_at = min(self._started_at, now)
        if now >= self._choose_at:
            self._choose_at = now + CHOOSE_EVERY_S
            alive = {peer.host: peer for peer in self._peers.alive()}
            known = [one for one in self._entry_hosts() if one.host in (self._host, *alive)]
            mirrors = [alive[name] for name in mirrors_of(self._host, known) if name in alive]
            self._chosen = tuple(
                Holder(peer.host, peer.incarnation) for peer in mirrors[:MOST_KEEPERS]
            )
        is_early = now < self._started_at + HEAR_OF_PEERS_S
        return None if is_early and len(self._chosen) < COPIES else self._chosen

    async def keep(self, kept: Kept, allows: Allows) -> Result[None, Refusal]:
        """Return once two peers hold ``kept``, or one has it on its disk."""
        request = KeepRequest(kept.holder, kept.transfers, kept.charges)
        candidates = self._candidates(allows)
        copies = 0
        while candidates and copies < COPIES:
            asked, candidates = candidates[: COPIES - copies], candidates[COPIES - copies :]
            answers = await asyncio.gather(*(self._keep_at(peer, request) for peer in asked))
            copies += sum(answers)
        if copies < COPIES:
            return Err(_ALONE)
        self._mirrored += len(kept.charges) + len(kept.transfers)
        return Ok(None)

    def can_keep(self, allows: Allows) -> bool:
        """Say whether enough mirrors are in reach."""
        on_disk = self._hosts_with_disk()
        candidates = self._candidates(allows)
        return len(candidates) >= COPIES or any(peer.host in on_disk for peer in candidates)

    async def committed(self, kept: Kept) -> None:
        """Tell the peers what the ledger has, where any of them may hold it."""
        if not self._mirrored:
            return
        count = len(kept.charges) + len(kept.transfers)
        self._mirrored = max(0, self._mirrored - count)
        request = ForgetRequest(
            kept.holder,
            tuple((one.budget, one.giver, one.giver_number) for one in kept.transfers),
            tuple((one.budget, one.number) for one in kept.charges),
        )
        # A peer that does not hear this commits the charges itself, for nothing.
        await asyncio.gather(
            *(
                self._caller.call(links, FORGET, request, CALL_TIMEOUT_S)
                for links in sorted(self._links_of_mirrors)
            )
        )

    async def _keep_at(self, peer: PeerHost, request: KeepRequest) -> int:
        """Return how many copies this peer's answer is worth."""
        answer = await self._caller.call(peer.links, KEEP, request, CALL_TIMEOUT_S)
        if isinstance(answer, Err):
            return 0
        self._links_of_mirrors.add(peer.links)
        return COPIES if answer.ok_value.on_disk else 1

    def _candidates(self, allows: Allows) -> list[PeerHost]:
        """Return the peers in reach that are allowed, those with a disk first.

        Any run of them will do. One that started since the ledger was told of its host costs
        certainty, not money: if this host is lost, nobody can prove that nothing was kept.
        """
        peer_by_host = {peer.host: peer for peer in self._peers.alive()}
        others = by_preference(self._host, self._entry_hosts())
        names = [one.host for one in others if one.host in peer_by_host and allows(one.host)]
        return [peer_by_host[name] for name in names]

    def _hosts_with_disk(self) -> set[str]:
        return {one.host for one in self._entry_hosts() if one.disk}


def by_preference(host: str, entry_hosts: Sequence[EntryHost]) -> list[EntryHost]:
    """Return the other hosts: those with a disk first, then those of the same place.

    Each host begins with the one whose name comes after its own, so that not all keep at the
    same few.
    """
    place = {one.host: one.place for one in entry_hosts}.get(host)
    return sorted(
        (one for one in entry_hosts if one.host != host),
        key=lambda one: (not one.disk, one.place != place, one.host < host, one.host),
    )


def mirrors_of(host: str, entry_hosts: Sequence[EntryHost]) -> list[str]:
    """Return the hosts that should keep charges of ``host``, those with a disk first.

    Those of its own place go first: they stay in reach through most cuts, and bytes between
    places cost. Hosts of other places are spare ones: with two keepers that restart in turn, a
    host refused all that came in the rest of a cut.

    >>> hosts = [EntryHost("a", "p", False), EntryHost("b", "q", False), EntryHost("c", "p", True)]
    >>> mirrors_of("a", hosts), mirrors_of("b", hosts)
    (['c', 'b'], ['c', 'a'])
    """
    return [one.host for one in by_preference(host, entry_hosts)]


class Emptied(NamedTuple):
    """Name who holds nothing more of a host's older incarnations."""

    runs: tuple[Holder, ...]
    hosts_on_disk: tuple[str, ...]


async def deliver_at_mirrors(
    host: str, incarnation: int, keepers: Sequence[str], peers: Peers, caller: Caller
) -> Emptied | None:
    """Have each of ``keepers`` commit what it holds of ``host``'s older incarnations.

    ``None`` where one doesn't answer that nothing is left: it may hold a copy that nobody
    else has.
    """
    answers: list[DeliverReply] = []
    peer_by_host = {peer.host: peer for peer in peers.alive()}
    request = DeliverRequest(host, incarnation)
    for name in keepers:
        peer = peer_by_host.get(name)
        if peer is None:
            log_event("INFO", "remainder_waits", peer=host, waits_for=name)
            return None
        answer = await caller.call(peer.links, DELIVER, request, 4 * CALL_TIMEOUT_S)
        if isinstance(answer, Err) or answer.ok_value.remaining > 0:
            return None
        answers.append(answer.ok_value)
    return Emptied(
        tuple(one.holder for one in answers if not one.on_disk),
        tuple(one.holder.host for one in answers if one.on_disk),
    )
