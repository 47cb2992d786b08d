"""Spend prepaid budgets on an entry host from the amounts that it holds."""

import asyncio
from functools import partial

from result import Err, Ok, Result

from cranberrywall.budgets._allotment import Allotment, Numbers
from cranberrywall.budgets._charges import ChargeQueue, Keeper
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._interfaces import (
    HostAllotments,
    Peers,
    Policies,
    Reservation,
    ReserveRequest,
)
from cranberrywall.budgets._keepers import MemoryKeeper
from cranberrywall.budgets._ledger_steps import LedgerSteps
from cranberrywall.budgets._peer_messages import TAKE, TakeReply, TakeRequest
from cranberrywall.budgets._reservation import HeldReservation
from cranberrywall.budgets._review import REVIEW_INTERVAL_S, Reviewer
from cranberrywall.budgets._scarcity import Shortage, Tools
from cranberrywall.budgets._transfers import Giver, Taker
from cranberrywall.budgets.messages import Holder
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.runtime import Runtime

# An allotment that was not used for this long is returned and forgotten.
FORGET_AFTER_S = 24 * 3600.0


def make_allotments(
    holder: Holder,
    place: str,
    ledger: LedgerClient,
    peers: Peers,
    policies: Policies,
    caller: Caller,
    server: Server,
    runtime: Runtime,
) -> HostAllotments:
    """Return the allotments of this run of this host; ``start`` them before use."""
    keeper = MemoryKeeper()
    return _HostAllotments(holder, place, ledger, peers, policies, caller, server, keeper, runtime)


_ISOLATED = Refusal(
    ErrorKind.BUDGET_UNREACHABLE,
    "this host reaches neither the ledger nor two peers, and has no disk",
    "budget",
    "send it to another host",
)


class _HostAllotments:
    def __init__(
        self,
        holder: Holder,
        place: str,
        ledger: LedgerClient,
        peers: Peers,
        policies: Policies,
        caller: Caller,
        server: Server,
        keeper: Keeper,
        runtime: Runtime,
    ) -> None:
        self._holder = holder
        self._ledger = ledger
        self._policies = policies
        self._keeper = keeper
        self._clock = runtime.clock
        self._by_budget: dict[str, Allotment] = {}
        self._numbers_by_budget: dict[str, Numbers] = {}
        self._shortage_by_budget: dict[str, Shortage] = {}
        self._queue_by_group = {
            group: ChargeQueue(group, holder, ledger, keeper, self._clock)
            for group in ledger.groups()
        }
        self._steps = LedgerSteps(holder, ledger, self._clock)
        self._giver = Giver(holder, keeper, self._clock)
        self._taker = Taker(holder, caller, keeper, self._clock)
        self._reviewer = Reviewer(self._steps, peers, self._clock)
        self._tools = Tools(
            holder,
            place,
            ledger,
            self._steps,
            self._taker,
            peers,
            self._clock,
            self._reviewer.wanted,
        )
        self._tasks: list[asyncio.Task[None]] = []
        server.register(TAKE, self._give)

    def try_reserve(self, request: ReserveRequest, now: float) -> Reservation | None:
        allotment = self._by_budget.get(request.budget)
        if allotment is None or not allotment.queue.accepts(allotment.policy):
            return None
        if not allotment.try_hold(request.bound):
            return None
        allotment.used_at = now
        return HeldReservation(allotment, request, self._clock.wall())

    async def reserve(self, request: ReserveRequest, now: float) -> Result[Reservation, Refusal]:
        if request.bound < 1:
            return Err(
                Refusal(ErrorKind.BAD_REQUEST, "must be positive", "bound", "give at least 1")
            )
        allotment = self._allotment(request.budget, request.workspace, now)
        if not allotment.queue.accepts(allotment.policy):
            return Err(_ISOLATED)
        reservation = self.try_reserve(request, now)
        if reservation is not None:
            return Ok(reservation)
        shortage = self._shortage(allotment)
        return await shortage.reserve(request, now)

    async def start(self) -> None:
        for queue in self._queue_by_group.values():
            queue.start()
        self._tasks = [asyncio.create_task(self._review_loop())]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._reviewer.stop()
        for shortage in self._shortage_by_budget.values():
            shortage.stop()
        for queue in self._queue_by_group.values():
            await queue.stop()

    async def hand_back(self) -> Result[None, Refusal]:
        for queue in self._queue_by_group.values():
            await queue.drained()
        for allotment in list(self._by_budget.values()):
            returned = await self._steps.give_back(allotment, allotment.spendable)
            if isinstance(returned, Err):
                return Err(returned.err_value)
        return Ok(None)

    def _allotment(self, budget: str, workspace: str, now: float) -> Allotment:
        allotment = self._by_budget.get(budget)
        if allotment is None:
            policy = self._policies.spend_policy(workspace)
            queue = self._queue_by_group[self._ledger.group(budget)]
            allotment = Allotment(budget, workspace, policy, queue, now)
            allotment.number_from(self._numbers_by_budget.pop(budget, Numbers()))
            allotment.on_low = partial(self._reviewer.draw_ahead, allotment)
            self._by_budget[budget] = allotment
        return allotment

    def _shortage(self, allotment: Allotment) -> Shortage:
        shortage = self._shortage_by_budget.get(allotment.budget)
        if shortage is None:
            shortage = Shortage(allotment, self._tools)
            self._shortage_by_budget[allotment.budget] = shortage
        return shortage

    async def _give(self, request: TakeRequest, peer: Peer) -> Result[TakeReply, Refusal]:
        if peer.host != request.taker.host:
            return Err(Refusal(ErrorKind.FORBIDDEN, "names another host", "taker"))
        allotment = self._by_budget.get(request.budget)
        if allotment is None:
            return Ok(TakeReply(self._holder, None, 0, 0))
        return await self._giver.give(request, allotment)

    async def _review_loop(self) -> None:
        while True:
            await self._clock.sleep(REVIEW_INTERVAL_S)
            now = self._clock.now()
            for allotment in list(self._by_budget.values()):
                await self._reviewer.review(allotment)
                if allotment.booked == 0 and now - allotment.used_at >= FORGET_AFTER_S:
                    self._forget(allotment)

    def _forget(self, allotment: Allotment) -> None:
        # The ledger knows the numbers that were used: were they used again, new charges
        # would pass for old ones that arrive twice, and never be billed.
        self._numbers_by_budget[allotment.budget] = allotment.numbers()
        del self._by_budget[allotment.budget]
        self._shortage_by_budget.pop(allotment.budget, None)
