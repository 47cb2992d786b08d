"""Deliver the records of this host's earlier incarnations, then release their remainder."""

from collections.abc import Awaitable, Callable, Sequence

from result import Err, Ok, Result

from cranberrywall.budgets._charge_replication import ChargeReplicator, Kept, out_of_reach
from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._peer_replication import (
    EmptiedHolders,
    replaceable_replica_holders,
)
from cranberrywall.budgets.messages import (
    MAX_CHARGES_IN_BATCH,
    ChargeBatch,
    Evidence,
    Holder,
    RegisterHolder,
    RegisterResult,
    ReplicaHoldersQuery,
    TrackStarts,
    Transfer,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

COMMAND_TIMEOUT_S = 1.0
MIN_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 10.0
TRACKING_DELAY_S = 1.0
"""Time after its start at which a host asks for tracking of its starts, in seconds.

What is urgent when many hosts start at the same time comes first.
"""

SUPPORT_RETRY_DELAY_S = 30.0
"""Delay in seconds until a ledger group of an older build is asked again for tracking."""


class Registration:
    """Register one holder at the ledger groups, with evidence that older ones have ended."""

    def __init__(
        self,
        ledger: LedgerClient,
        replicator: ChargeReplicator,
        deliver_at_peers: Callable[[Sequence[str]], Awaitable[EmptiedHolders | None]] | None,
        clock: Clock,
        started_clock: float,
    ) -> None:
        """Create a registration; ``deliver_at_peers`` asks the peers that it is given.

        It is ``None`` if a journal contains all records.
        """
        self._started_clock = started_clock
        self._ledger = ledger
        self._replicator = replicator
        self._deliver_at_peers = deliver_at_peers
        self._clock = clock

    async def register(self, queue: ChargeQueue, holder: Holder, left: Sequence[Kept]) -> None:
        """Repeat until the group has all records in ``left`` and has released the older holders."""
        pause_s = MIN_RETRY_DELAY_S
        while not await self._attempt(queue, holder, left):
            await self._clock.sleep(pause_s)
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2.0)

    async def track_starts(self, group: str, holder: Holder) -> None:
        """Repeat until the group tracks the starts of the holder's host."""
        pause_s = TRACKING_DELAY_S
        while True:
            await self._clock.sleep(pause_s)
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2.0)
            supported = await self._ledger.supports_tracked_starts(group, COMMAND_TIMEOUT_S)
            if isinstance(supported, Err) and out_of_reach(supported.err_value):
                continue
            if not supported.unwrap_or(False):
                pause_s = SUPPORT_RETRY_DELAY_S
                continue
            command = TrackStarts(holder)
            answer = await self._ledger.track_starts(group, command, COMMAND_TIMEOUT_S)
            if isinstance(answer, Ok) or not out_of_reach(answer.err_value):
                return

    async def _attempt(self, queue: ChargeQueue, holder: Holder, left: Sequence[Kept]) -> bool:
        for kept in left:
            if isinstance(await self._deliver(kept), Err):
                return False
        if queue.successor is not None or queue.unreported:
            # This incarnation still spends as an older holder.
            return False
        if self._deliver_at_peers is None:
            registered = await self._register(queue, holder, None)
            return registered is not None and registered.held == 0
        # The ledger reports which peers may store anything. Its records may also show that there
        # was no time to store anything. If all hosts were lost at the same time, no other evidence
        # exists.
        first = await self._register(queue, holder, Evidence(self._started_clock))
        if first is None:
            return False
        # The peers are asked in any case: from then on they store nothing more for older
        # incarnations.
        emptied = await self._deliver_at_peers(first.keepers)
        if emptied is None or _is_released(first):
            return _is_released(first)
        evidence = Evidence(self._started_clock, True, *emptied)
        second = await self._register(queue, holder, evidence)
        if second is None or _is_released(second):
            return second is not None
        replaceable = await self._find_replaceable(queue.group, holder, emptied)
        if not replaceable:
            return False
        evidence = evidence._replace(empty=(*emptied.holders, *replaceable))
        third = await self._register(queue, holder, evidence)
        return third is not None and _is_released(third)

    async def _find_replaceable(
        self, group: str, holder: Holder, emptied: EmptiedHolders
    ) -> Sequence[Holder]:
        """Return the restarted peers whose lost records other peers certainly had as well."""
        query = ReplicaHoldersQuery(holder)
        answer = await self._ledger.replica_holders(group, query, COMMAND_TIMEOUT_S)
        if isinstance(answer, Err):
            log_event("INFO", "replica_holders_unknown", group=group, kind=answer.err_value.kind)
            return ()
        return replaceable_replica_holders(answer.ok_value.rows, emptied)

    async def _register(
        self, queue: ChargeQueue, holder: Holder, evidence: Evidence | None
    ) -> RegisterResult | None:
        """Return the ledger's answer; ``None`` if there is none."""
        group, contact = queue.group, queue.contact()
        command = RegisterHolder(holder, True, self._clock.wall(), evidence, contact)
        answer = await self._ledger.register(group, command, COMMAND_TIMEOUT_S)
        if isinstance(answer, Err):
            log_event("INFO", "register_failed", group=group, kind=answer.err_value.kind)
            return None
        queue.reach.record_answer(contact)
        result = answer.ok_value
        log_event(
            "INFO",
            "registered",
            group=group,
            released=result.released,
            held=result.held,
            started_clock=evidence.started_clock if evidence else "",
            keepers=",".join(result.keepers),
            empty=",".join(map(_format_holder, evidence.empty)) if evidence else "",
            empty_on_disk=",".join(evidence.empty_on_disk) if evidence else "",
        )
        return result

    async def _deliver(self, kept: Kept) -> Result[None, Refusal]:
        left = await self._report(kept.transfers)
        if left:
            return Err(Refusal(ErrorKind.NOT_READY, f"{len(left)} transfers could not be reported"))
        for start in range(0, len(kept.charges), MAX_CHARGES_IN_BATCH):
            batch_charges = kept.charges[start : start + MAX_CHARGES_IN_BATCH]
            batch = ChargeBatch(kept.holder, batch_charges, self._clock.wall())
            billed = await self._ledger.charge(batch, COMMAND_TIMEOUT_S)
            if isinstance(billed, Err):
                return Err(billed.err_value)
        await self._replicator.committed(kept)
        return Ok(None)

    async def _report(self, transfers: Sequence[Transfer]) -> list[Transfer]:
        """Report transfers; return those that have to be reported again."""
        left = []
        for transfer in transfers:
            answer = await self._ledger.transfer(transfer, COMMAND_TIMEOUT_S)
            if isinstance(answer, Err) and out_of_reach(answer.err_value):
                left.append(transfer)
        return left


def part_of_group(kept: Kept, group: str, ledger: LedgerClient) -> Kept:
    """Return the part of ``kept`` whose budgets belong to ``group``."""
    return Kept(
        kept.holder,
        tuple(one for one in kept.transfers if ledger.group(one.budget) == group),
        tuple(one for one in kept.charges if ledger.group(one.budget) == group),
    )


def _is_released(result: RegisterResult) -> bool:
    """Return whether older incarnations hold nothing, and no peer can store records of them."""
    return result.held == 0 and not result.keepers


def _format_holder(holder: Holder) -> str:
    return f"{holder.host}/{holder.incarnation}"
