"""Deliver what earlier runs of this host left, then let their remainder come back."""

from collections.abc import Awaitable, Callable, Sequence

from result import Err, Ok, Result

from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._keepers import Keeper, Kept, out_of_reach
from cranberrywall.budgets.messages import (
    MAX_CHARGES_IN_BATCH,
    ChargeBatch,
    Evidence,
    Holder,
    RegisterHolder,
    Transfer,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

STEP_TIMEOUT_S = 1.0
RETRY_FIRST_S = 0.5
RETRY_MOST_S = 10.0


class Registration:
    """Register one holder at the ledger groups, with evidence that older ones are done."""

    def __init__(
        self,
        ledger: LedgerClient,
        keeper: Keeper,
        delivered_elsewhere: Callable[[], Awaitable[tuple[Holder, ...] | None]] | None,
        clock: Clock,
        started_clock: float,
    ) -> None:
        """``delivered_elsewhere`` asks the peers; ``None`` where a journal knows it all."""
        self._started_clock = started_clock
        self._ledger = ledger
        self._keeper = keeper
        self._delivered_elsewhere = delivered_elsewhere
        self._clock = clock

    async def register(
        self, group: str, holder: Holder, left: Sequence[Kept], is_ready: Callable[[], bool]
    ) -> None:
        """Repeat until the group has all that was left, and released the older holders.

        ``is_ready`` says whether this run has stopped spending as an older holder.
        """
        pause_s = RETRY_FIRST_S
        while not await self._try(group, holder, left, is_ready):
            await self._clock.sleep(pause_s)
            pause_s = min(RETRY_MOST_S, pause_s * 2.0)

    async def _try(
        self, group: str, holder: Holder, left: Sequence[Kept], is_ready: Callable[[], bool]
    ) -> bool:
        for kept in left:
            if isinstance(await self._deliver(kept), Err):
                return False
        if not is_ready():
            return False
        if self._delivered_elsewhere is None:
            return await self._register(group, holder, None)
        # The ledger may know that there was no time to keep anything at peers: where all
        # were lost together, nobody else can tell.
        is_released = await self._register(group, holder, Evidence(self._started_clock))
        # The peers are asked in any case: from then on they keep nothing more for older runs.
        peers = await self._delivered_elsewhere()
        if is_released or peers is None:
            return is_released
        return await self._register(group, holder, Evidence(self._started_clock, True, peers))

    async def _register(self, group: str, holder: Holder, evidence: Evidence | None) -> bool:
        """Return whether nothing is left with older holders."""
        command = RegisterHolder(holder, True, self._clock.wall(), evidence)
        answer = await self._ledger.register(group, command, STEP_TIMEOUT_S)
        if isinstance(answer, Err):
            log_event("INFO", "register_failed", group=group, kind=answer.err_value.kind)
            return False
        result = answer.ok_value
        log_event(
            "INFO",
            "registered",
            group=group,
            released=result.released,
            held=result.held,
            started_clock=evidence.started_clock if evidence else "",
            peers=len(evidence.peers) if evidence else "",
        )
        return result.held == 0

    async def _deliver(self, kept: Kept) -> Result[None, Refusal]:
        left = await self._report(kept.transfers)
        if left:
            return Err(Refusal(ErrorKind.NOT_READY, f"{len(left)} transfers are not reported"))
        for start in range(0, len(kept.charges), MAX_CHARGES_IN_BATCH):
            some = kept.charges[start : start + MAX_CHARGES_IN_BATCH]
            batch = ChargeBatch(kept.holder, some, self._clock.wall())
            billed = await self._ledger.charge(batch, STEP_TIMEOUT_S)
            if isinstance(billed, Err):
                return Err(billed.err_value)
        await self._keeper.committed(kept)
        return Ok(None)

    async def _report(self, transfers: Sequence[Transfer]) -> list[Transfer]:
        """Report transfers; return those that have to be reported again."""
        left = []
        for transfer in transfers:
            answer = await self._ledger.transfer(transfer, STEP_TIMEOUT_S)
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
