"""Keep the charges of a host without a disk at two of its peers, or on one peer's disk.

Charges are kept so while the ledger is out of reach, transfers at any time. The peers
commit what they hold once they reach the ledger; it bills each charge once, whoever sends it.
"""

import asyncio
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from cranberrywall.budgets._interfaces import EntryHost, PeerHost, Peers
from cranberrywall.budgets._keepers import Kept
from cranberrywall.budgets._peer_messages import (
    DELIVER,
    FORGET,
    KEEP,
    DeliverRequest,
    ForgetRequest,
    KeepRequest,
)
from cranberrywall.budgets.messages import Holder, Transfer
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import log_event

# Copies in the memory of two peers last through the loss of one; one on a disk does too.
COPIES = 2
CALL_TIMEOUT_S = 0.5

_ALONE = Refusal(
    ErrorKind.UNREACHABLE,
    f"no peer with a disk and fewer than {COPIES} others answer: the charge is in memory only",
)


class Mirror:
    """Keep at the mirrors of a host, as ``mirrors_of`` names them."""

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

    async def keep(self, kept: Kept) -> Result[None, Refusal]:
        """Return once two peers hold ``kept``, or one has it on its disk."""
        request = KeepRequest(kept.holder, kept.transfers, kept.charges)
        candidates = self._candidates()
        copies = 0
        while candidates and copies < COPIES:
            asked, candidates = candidates[: COPIES - copies], candidates[COPIES - copies :]
            answers = await asyncio.gather(*(self._keep_at(peer, request) for peer in asked))
            copies += sum(answers)
        if copies < COPIES:
            return Err(_ALONE)
        self._mirrored += len(kept.charges) + len(kept.transfers)
        return Ok(None)

    def can_keep(self) -> bool:
        """Say whether enough mirrors are in reach."""
        on_disk = {one.host for one in self._entry_hosts() if one.disk}
        candidates = self._candidates()
        return len(candidates) >= COPIES or any(peer.host in on_disk for peer in candidates)

    async def keep_transfer(self, holder: Holder, transfer: Transfer) -> Result[None, Refusal]:
        """Return once the mirrors hold the transfer, as they hold charges."""
        return await self.keep(Kept(holder, (transfer,), ()))

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

    def _candidates(self) -> list[PeerHost]:
        """Return the mirrors in reach, those with a disk first."""
        peer_by_host = {peer.host: peer for peer in self._peers.alive()}
        mirrors = mirrors_of(self._host, self._entry_hosts())
        return [peer_by_host[name] for name in mirrors if name in peer_by_host]


def mirrors_of(host: str, entry_hosts: Sequence[EntryHost]) -> list[str]:
    """Return the hosts that may keep charges of ``host``, those with a disk first.

    They are those of its own place, where one of them has a disk or there are two: they
    stay in reach through most cuts, and a successor need ask nobody else whether its
    remainder may come back. Else they are all hosts.

    >>> hosts = [EntryHost("a", "p", False), EntryHost("b", "q", False), EntryHost("c", "p", True)]
    >>> mirrors_of("a", hosts), mirrors_of("b", hosts)
    (['c'], ['c', 'a'])
    """
    others = sorted((one for one in entry_hosts if one.host != host), key=_disk_first)
    place = {one.host: one.place for one in entry_hosts}.get(host)
    near = [one for one in others if one.place == place]
    is_enough = len(near) >= COPIES or any(one.disk for one in near)
    return [one.host for one in (near if is_enough else others)]


def _disk_first(entry_host: EntryHost) -> tuple[bool, str]:
    return (not entry_host.disk, entry_host.host)


async def deliver_at_mirrors(
    host: str, incarnation: int, mirrors: Sequence[str], peers: Peers, caller: Caller
) -> tuple[Holder, ...] | None:
    """Have every mirror commit what it holds of ``host``'s older incarnations.

    Return those of them that keep nothing on a disk, and only where each mirror answered
    that nothing is left. A host that does not answer may hold a copy that nobody else has.
    """
    answered: list[Holder] = []
    peer_by_host = {peer.host: peer for peer in peers.alive()}
    request = DeliverRequest(host, incarnation)
    for name in mirrors:
        peer = peer_by_host.get(name)
        if peer is None:
            log_event("INFO", "remainder_waits", peer=host, waits_for=name)
            return None
        answer = await caller.call(peer.links, DELIVER, request, 4 * CALL_TIMEOUT_S)
        if isinstance(answer, Err) or answer.ok_value.remaining > 0:
            return None
        if not answer.ok_value.on_disk:
            answered.append(answer.ok_value.holder)
    return tuple(answered)
