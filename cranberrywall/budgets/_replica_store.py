"""Hold what peers without a disk keep at this host, and commit it in their stead."""

from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.budgets._charge_replication import Kept
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._journal import Journal
from cranberrywall.budgets._peer_messages import (
    DeliverReply,
    DeliverRequest,
    ForgetReply,
    ForgetRequest,
    KeepReply,
    KeepRequest,
)
from cranberrywall.budgets.messages import (
    MAX_CHARGES_IN_BATCH,
    Charge,
    ChargeBatch,
    Holder,
    Transfer,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Peer
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

COMMIT_TIMEOUT_S = 1.0
# The owner commits what it can itself; after this time the copies are committed anyway.
HELP_AFTER_S = 60.0


class _Copies:
    """Hold the copies of one holder."""

    def __init__(self, now: float) -> None:
        self.charge_by_key: dict[tuple[str, int], Charge] = {}
        self.transfer_by_key: dict[tuple[str, Holder, int], Transfer] = {}
        self.kept_at = now

    def __len__(self) -> int:
        return len(self.charge_by_key) + len(self.transfer_by_key)


class _Fence(NamedTuple):
    """Say that incarnations of a host below this one are ended."""

    incarnation: int


class MirrorStore:
    """Answer the keep, forget and deliver calls of peers."""

    def __init__(
        self, own: Holder, ledger: LedgerClient, journal: Journal | None, clock: Clock
    ) -> None:
        self._own = own
        self._ledger = ledger
        self._journal = journal
        self._clock = clock
        self._copies_by_holder: dict[Holder, _Copies] = {}
        self._fence_by_host: dict[str, _Fence] = {}

    def is_ended(self, holder: Holder) -> bool:
        """Say whether a later incarnation of the host asked for delivery."""
        fence = self._fence_by_host.get(holder.host)
        return fence is not None and holder.incarnation < fence.incarnation

    async def keep(self, request: KeepRequest, peer: Peer) -> Result[KeepReply, Refusal]:
        """Hold copies for a peer."""
        if peer.host != request.holder.host:
            return Err(Refusal(ErrorKind.FORBIDDEN, "names another host", "holder"))
        if self.is_ended(request.holder):
            # A late call of an ended incarnation: its successor was told that nothing is
            # left, and its remainder may have come back.
            return Err(Refusal(ErrorKind.CONFLICT, "a later incarnation is known", "holder"))
        kept = Kept(request.holder, request.transfers, request.charges)
        self.adopt(kept)
        if self._journal is None:
            return Ok(KeepReply(on_disk=False))
        written = await self._journal.keep(kept)
        return Ok(KeepReply(on_disk=isinstance(written, Ok)))

    def adopt(self, kept: Kept) -> None:
        """Hold copies, as a peer asks or as the journal of an earlier run has them."""
        copies = self._copies_by_holder.get(kept.holder)
        if copies is None:
            copies = self._copies_by_holder[kept.holder] = _Copies(self._clock.now())
        for charge in kept.charges:
            copies.charge_by_key[charge.budget, charge.number] = charge
        for transfer in kept.transfers:
            key = (transfer.budget, transfer.giver, transfer.giver_number)
            copies.transfer_by_key[key] = transfer

    async def forget(self, request: ForgetRequest, peer: Peer) -> Result[ForgetReply, Refusal]:
        """Drop copies of what the ledger has."""
        copies = self._copies_by_holder.get(request.holder)
        if copies is not None and peer.host == request.holder.host:
            charges = [copies.charge_by_key.pop(key, None) for key in request.charges]
            transfers = [copies.transfer_by_key.pop(key, None) for key in request.transfers]
            self._drop_empty(request.holder)
            await self._note_committed(
                Kept(
                    request.holder,
                    tuple(one for one in transfers if one is not None),
                    tuple(one for one in charges if one is not None),
                )
            )
        return Ok(ForgetReply())

    async def deliver(self, request: DeliverRequest, peer: Peer) -> Result[DeliverReply, Refusal]:
        """Commit the copies of a host's ended incarnations; say how many are left."""
        if peer.host != request.host:
            return Err(Refusal(ErrorKind.FORBIDDEN, "names another host", "host"))
        fence = self._fence_by_host.get(request.host)
        if fence is None or fence.incarnation < request.incarnation:
            self._fence_by_host[request.host] = _Fence(request.incarnation)
        remaining = 0
        for holder in list(self._copies_by_holder):
            if holder.host == request.host and self.is_ended(holder):
                remaining += await self._commit(holder)
        return Ok(DeliverReply(remaining, self._own, self._journal is not None))

    async def help(self, now: float) -> None:
        """Commit copies that their owners have not taken care of for long."""
        for holder, copies in list(self._copies_by_holder.items()):
            if now - copies.kept_at >= HELP_AFTER_S:
                copies.kept_at = now
                await self._commit(holder)

    async def _commit(self, holder: Holder) -> int:
        """Commit a holder's copies, transfers first; return how many are left."""
        copies = self._copies_by_holder[holder]
        for key, transfer in list(copies.transfer_by_key.items()):
            moved = await self._ledger.transfer(transfer, COMMIT_TIMEOUT_S)
            if isinstance(moved, Err):
                if moved.err_value.kind is ErrorKind.NOT_READY:
                    continue
                return len(copies)
            copies.transfer_by_key.pop(key, None)
            await self._note_committed(Kept(holder, (transfer,), ()))
        if not copies.transfer_by_key:
            for group in self._ledger.groups():
                await self._commit_charges(holder, copies, group)
        left = len(copies)
        self._drop_empty(holder)
        return left

    async def _commit_charges(self, holder: Holder, copies: _Copies, group: str) -> None:
        keys = [key for key in copies.charge_by_key if self._ledger.group(key[0]) == group]
        for start in range(0, len(keys), MAX_CHARGES_IN_BATCH):
            some = keys[start : start + MAX_CHARGES_IN_BATCH]
            charges = tuple(copies.charge_by_key[key] for key in some)
            batch = ChargeBatch(holder, charges, self._clock.wall())
            answer = await self._ledger.charge(batch, COMMIT_TIMEOUT_S)
            if isinstance(answer, Err):
                return
            for key in some:
                copies.charge_by_key.pop(key, None)
            await self._note_committed(Kept(holder, (), charges))
            log_event("INFO", "copies_committed", peer=holder.host, charges=len(some))

    async def _note_committed(self, kept: Kept) -> None:
        if self._journal is not None and (kept.charges or kept.transfers):
            await self._journal.committed(kept)

    def _drop_empty(self, holder: Holder) -> None:
        copies = self._copies_by_holder.get(holder)
        if copies is not None and len(copies) == 0:
            del self._copies_by_holder[holder]
