"""Deliver what earlier runs of this host left, then let their remainder come back."""

from collections.abc import Awaitable, Callable, Sequence

from result import Err, Ok, Result

from cranberrywall.budgets._charge_replication import ChargeReplicator, Kept, out_of_reach
from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._peer_replication import Emptied
from cranberrywall.budgets.messages import (
    MAX_CHARGES_IN_BATCH,
    ChargeBatch,
    Evidence,
    Holder,
    RegisterHolder,
    RegisterResult,
    Transfer,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

COMMAND_TIMEOUT_S = 1.0
RETRY_FIRST_S = 0.5
RETRY_MOST_S = 10.0


class Registration:
    """Register one holder at the ledger groups, with evidence that older ones are done."""

    def __init__(
        self,
        ledger: LedgerClient,
        keeper: ChargeReplicator,
        delivered_elsewhere: Callable[[Sequence[str]], Awaitable[Emptied | None]] | None,
        clock: Clock,
        started_clock: float,
    ) -> None:
        """``delivered_elsewhere`` asks the peers that it is given.

        ``None`` stands for it where a journal knows it all.
        """
        self._started_clock = started_clock
        self._ledger = ledger
        self._keeper = keeper
        self._delivered_elsewhere = delivered_elsewhere
        self._clock = clock

    async def register(self, queue: ChargeQueue, holder: Holder, left: Sequence[Kept]) -> None:
        """Repeat until the queue's group has all that was left, and released older holders."""
        pause_s = RETRY_FIRST_S
        while not await self._try(queue, holder, left):
            await self._clock.sleep(pause_s)
            pause_s = min(RETRY_MOST_S, pause_s * 2.0)

    async def _try(self, queue: ChargeQueue, holder: Holder, left: Sequence[Kept]) -> bool:
        for kept in left:
            if isinstance(await self._deliver(kept), Err):
                return False
        if queue.successor is not None or queue.unreported:
            # This run still spends as an older holder.
            return False
        if self._delivered_elsewhere is None:
            registered = await self._register(queue, holder, None)
            return registered is not None and registered.held == 0
        # The ledger says who may keep anything. It may also know that there was no time to
        # keep it: where all hosts were lost together, nobody else can tell.
        first = await self._register(queue, holder, Evidence(self._started_clock))
        if first is None:
            return False
        # The peers are asked in any case: from then on they keep nothing more for older runs.
        emptied = await self._delivered_elsewhere(first.keepers)
        if emptied is None or _is_all(first):
            return _is_all(first)
        evidence = Evidence(self._started_clock, True, *emptied)
        second = await self._register(queue, holder, evidence)
        return second is not None and _is_all(second)

    async def _register(
        self, queue: ChargeQueue, holder: Holder, evidence: Evidence | None
    ) -> RegisterResult | None:
        """Return the ledger's answer; ``None`` where there is none."""
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
            empty=",".join(map(_text_of, evidence.empty)) if evidence else "",
            empty_on_disk=",".join(evidence.empty_on_disk) if evidence else "",
        )
        return result

    async def _deliver(self, kept: Kept) -> Result[None, Refusal]:
        left = await self._report(kept.transfers)
        if left:
            return Err(Refusal(ErrorKind.NOT_READY, f"{len(left)} transfers are not reported"))
        for start in range(0, len(kept.charges), MAX_CHARGES_IN_BATCH):
            some = kept.charges[start : start + MAX_CHARGES_IN_BATCH]
            batch = ChargeBatch(kept.holder, some, self._clock.wall())
            billed = await self._ledger.charge(batch, COMMAND_TIMEOUT_S)
            if isinstance(billed, Err):
                return Err(billed.err_value)
        await self._keeper.committed(kept)
        return Ok(None)

    async def _report(self, transfers: Sequence[Transfer]) -> list[Transfer]:
        """Report transfers; return those that have to be reported again."""
        left = []
        for transfer in transfers:
            answer = await self._ledger.transfer(transfer, COMMAND_TIMEOUT_S)
            if isinstance(answer, Err) and out_of_reach(answer.err_value):
                left.append(transfer)
        return left


def of_group(kept: Kept, group: str, ledger: LedgerClient) -> Kept:
    """Return the part of ``kept`` whose budgets are kept by ``group``."""
    return Kept(
        kept.holder,
        tuple(one for one in kept.transfers if ledger.group(one.budget) == group),
        tuple(one for one in kept.charges if ledger.group(one.budget) == group),
    )


def _is_all(result: RegisterResult) -> bool:
    """Say whether older runs hold nothing, nor can anything be found that peers gave them."""
    return result.held == 0 and not result.keepers


def _text_of(run: Holder) -> str:
    return f"{run.host}/{run.incarnation}"
