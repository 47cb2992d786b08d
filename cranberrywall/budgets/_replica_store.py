"""Store records that diskless peers replicate to this host, and commit them on their behalf."""

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
# A peer commits its own records if it can; after this time, in seconds, this host commits them.
TAKEOVER_DELAY_S = 60.0


class _Copies:
    """Stored copies of one holder's records."""

    def __init__(self, now: float) -> None:
        self.charge_by_key: dict[tuple[str, int], Charge] = {}
        self.transfer_by_key: dict[tuple[str, Holder, int], Transfer] = {}
        self.stored_at = now

    def __len__(self) -> int:
        return len(self.charge_by_key) + len(self.transfer_by_key)


class _Fence(NamedTuple):
    """Fence of a host: its incarnations below this one have ended."""

    incarnation: int


class ReplicaStore:
    """Handle the keep, forget and deliver calls of peers."""

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
        """Return whether a later incarnation of the host asked for delivery."""
        fence = self._fence_by_host.get(holder.host)
        return fence is not None and holder.incarnation < fence.incarnation

    async def store(self, request: KeepRequest, peer: Peer) -> Result[KeepReply, Refusal]:
        """Store copies for a peer."""
        if peer.host != request.holder.host:
            return Err(
                Refusal(
                    ErrorKind.FORBIDDEN, "the request names a host other than its sender", "holder"
                )
            )
        if self.is_ended(request.holder):
            # A late call of an ended incarnation. Its successor was informed that nothing is left,
            # and its remainder may have been released.
            return Err(
                Refusal(ErrorKind.CONFLICT, "a later incarnation of the host has started", "holder")
            )
        kept = Kept(request.holder, request.transfers, request.charges)
        self.adopt(kept)
        if self._journal is None:
            return Ok(KeepReply(on_disk=False))
        written = await self._journal.persist(kept)
        return Ok(KeepReply(on_disk=isinstance(written, Ok)))

    def adopt(self, kept: Kept) -> None:
        """Store copies that a peer sent, or that the journal has from an earlier incarnation."""
        copies = self._copies_by_holder.get(kept.holder)
        if copies is None:
            copies = self._copies_by_holder[kept.holder] = _Copies(self._clock.now())
        for charge in kept.charges:
            copies.charge_by_key[charge.budget, charge.number] = charge
        for transfer in kept.transfers:
            key = (transfer.budget, transfer.giver, transfer.giver_number)
            copies.transfer_by_key[key] = transfer

    async def discard(self, request: ForgetRequest, peer: Peer) -> Result[ForgetReply, Refusal]:
        """Discard copies of what the ledger has."""
        copies = self._copies_by_holder.get(request.holder)
        if copies is not None and peer.host == request.holder.host:
            charges = [copies.charge_by_key.pop(key, None) for key in request.charges]
            transfers = [copies.transfer_by_key.pop(key, None) for key in request.transfers]
            self._drop_empty(request.holder)
            await self._record_committed(
                Kept(
                    request.holder,
                    tuple(one for one in transfers if one is not None),
                    tuple(one for one in charges if one is not None),
                )
            )
        return Ok(ForgetReply())

    async def deliver(self, request: DeliverRequest, peer: Peer) -> Result[DeliverReply, Refusal]:
        """Commit the copies of a host's ended incarnations; return how many are left."""
        if peer.host != request.host:
            return Err(
                Refusal(
                    ErrorKind.FORBIDDEN, "the request names a host other than its sender", "host"
                )
            )
        fence = self._fence_by_host.get(request.host)
        if fence is None or fence.incarnation < request.incarnation:
            self._fence_by_host[request.host] = _Fence(request.incarnation)
        remaining = 0
        for holder in list(self._copies_by_holder):
            if holder.host == request.host and self.is_ended(holder):
                remaining += await self._commit(holder)
        return Ok(DeliverReply(remaining, self._own, self._journal is not None))

    async def commit_overdue(self, now: float) -> None:
        """Commit copies that their owners have not committed for a long time."""
        for holder, copies in list(self._copies_by_holder.items()):
            if now - copies.stored_at >= TAKEOVER_DELAY_S:
                copies.stored_at = now
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
            await self._record_committed(Kept(holder, (transfer,), ()))
        if not copies.transfer_by_key:
            for group in self._ledger.groups():
                await self._commit_charges(holder, copies, group)
        left = len(copies)
        self._drop_empty(holder)
        return left

    async def _commit_charges(self, holder: Holder, copies: _Copies, group: str) -> None:
        keys = [key for key in copies.charge_by_key if self._ledger.group(key[0]) == group]
        for start in range(0, len(keys), MAX_CHARGES_IN_BATCH):
            batch_keys = keys[start : start + MAX_CHARGES_IN_BATCH]
            charges = tuple(copies.charge_by_key[key] for key in batch_keys)
            batch = ChargeBatch(holder, charges, self._clock.wall())
            answer = await self._ledger.charge(batch, COMMIT_TIMEOUT_S)
            if isinstance(answer, Err):
                return
            for key in batch_keys:
                copies.charge_by_key.pop(key, None)
            await self._record_committed(Kept(holder, (), charges))
            log_event("INFO", "copies_committed", peer=holder.host, charges=len(batch_keys))

    async def _record_committed(self, kept: Kept) -> None:
        if self._journal is not None and (kept.charges or kept.transfers):
            await self._journal.committed(kept)

    def _drop_empty(self, holder: Holder) -> None:
        copies = self._copies_by_holder.get(holder)
        if copies is not None and len(copies) == 0:
            del self._copies_by_holder[holder]
