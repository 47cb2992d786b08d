"""Spend prepaid budgets on an entry host from the amounts that it holds."""

import asyncio
import heapq
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from result import Err, Ok, Result

from cranberrywall.budgets._allotment import Allotment, Numbers
from cranberrywall.budgets._charge_replication import Kept
from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._interfaces import (
    EntryHost,
    HostAllotments,
    Peers,
    Policies,
    Reservation,
    ReserveRequest,
)
from cranberrywall.budgets._journal import Journal, Recovered
from cranberrywall.budgets._ledger_commands import LedgerCommands
from cranberrywall.budgets._peer_messages import (
    DELIVER,
    FORGET,
    KEEP,
    TAKE,
    DeliverReply,
    DeliverRequest,
    TakeReply,
    TakeRequest,
)
from cranberrywall.budgets._peer_replication import (
    CHOOSE_EVERY_S,
    Emptied,
    Mirror,
    deliver_at_mirrors,
)
from cranberrywall.budgets._recovery import checkpoint_of, hand_over, resume
from cranberrywall.budgets._registration import Registration, of_group
from cranberrywall.budgets._replica_store import MirrorStore
from cranberrywall.budgets._reservation import HeldReservation
from cranberrywall.budgets._review import REVIEW_INTERVAL_S, Reviewer
from cranberrywall.budgets._shortfalls import FundingSources, ShortfallQueue
from cranberrywall.budgets._transfers import TransferDonor, TransferRecipient
from cranberrywall.budgets.messages import Holder, Transfer
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Runtime

# An allotment that was not used for this long is returned and forgotten.
FORGET_AFTER_S = 24 * 3600.0
# A holder with nothing else to say is heard by the ledger this often, in seconds: the shorter its
# silence, the more of its part is freed at once where it is lost.
CONTACT_EVERY_S = 0.5
# All idle hosts together send the ledger's leader so many commands a second for it.
CONTACTS_PER_S = 16.0
# The configuration's totals are compared with what the ledger said was credited this often, in
# seconds: a raise is credited within one.
TOTALS_EVERY_S = 1.0
# A host that stops waits this long for the ledger to take its charges.
HAND_BACK_TIMEOUT_S = 10.0
# The state dump names this many budgets, those that hold most.
BUDGETS_DUMPED = 50

_ISOLATED = Refusal(
    ErrorKind.BUDGET_UNREACHABLE,
    "this host has no disk that works, and reaches neither the ledger nor peers to keep charges",
    "budget",
    "send it to another host",
)


def make_allotments(
    holder: Holder,
    place: str,
    ledger: LedgerClient,
    peers: Peers,
    entry_hosts: Callable[[], Sequence[EntryHost]],
    policies: Policies,
    caller: Caller,
    server: Server,
    runtime: Runtime,
    started_clock: float | None = None,
) -> HostAllotments:
    """Return the allotments of this run of this host; ``start`` them before use.

    ``entry_hosts`` lists the entry hosts of the configuration in force: a host without a
    disk keeps charges at some of them.
    ``started_clock`` is the runtime's clock at the start of this process, now where ``None``.
    """
    storage = runtime.storage
    keeper = Journal(storage) if storage else Mirror(holder.host, entry_hosts, peers, caller)
    return _HostAllotments(
        holder,
        place,
        ledger,
        peers,
        entry_hosts,
        policies,
        caller,
        server,
        keeper,
        runtime,
        runtime.clock.now() if started_clock is None else started_clock,
    )


class _HostAllotments:
    def __init__(
        self,
        holder: Holder,
        place: str,
        ledger: LedgerClient,
        peers: Peers,
        entry_hosts: Callable[[], Sequence[EntryHost]],
        policies: Policies,
        caller: Caller,
        server: Server,
        keeper: Journal | Mirror,
        runtime: Runtime,
        started_clock: float,
    ) -> None:
        self._started_clock = started_clock
        self._holder = holder
        self._ledger = ledger
        self._peers = peers
        self._entry_hosts = entry_hosts
        self._policies = policies
        self._caller = caller
        self._keeper = keeper
        self._clock = runtime.clock
        self._by_budget: dict[str, Allotment] = {}
        self._numbers_by_budget: dict[str, Numbers] = {}
        self._shortfall_queue_by_budget: dict[str, ShortfallQueue] = {}
        self._queue_by_group = {group: self._make_queue(group) for group in ledger.groups()}
        self._steps = LedgerCommands(ledger, self._clock)
        self._store = MirrorStore(
            holder, ledger, keeper if isinstance(keeper, Journal) else None, self._clock
        )
        self._giver = TransferDonor(ledger, keeper, self._clock)
        taker = TransferRecipient(caller, keeper, self._store.is_ended, self._clock, runtime.random)
        self._reviewer = Reviewer(
            holder.host,
            place,
            ledger,
            taker,
            self._steps,
            peers,
            entry_hosts,
            self._usual_bound,
            lambda: len(self._by_budget),
            self._clock,
        )
        self._tools = FundingSources(
            holder.host,
            place,
            ledger,
            self._steps,
            taker,
            peers,
            self._clock,
            self._reviewer.wanted,
            self._reviewer.note_scarce,
        )
        self._tasks: list[asyncio.Task[None]] = []
        server.register(TAKE, self._give)
        server.register(KEEP, self._store.keep)
        server.register(FORGET, self._store.forget)
        server.register(DELIVER, self._deliver)

    def _make_queue(self, group: str) -> ChargeQueue:
        # A journal outlives its process; what peers keep in memory may not.
        is_bounded = not isinstance(self._keeper, Journal)
        queue = ChargeQueue(
            group, self._holder, self._ledger, self._keeper, self._clock, is_bounded
        )
        queue.on_reach = partial(self._reach_changed, queue)
        queue.on_succeed = partial(self._hand_over, queue)
        return queue

    def try_reserve(self, request: ReserveRequest, now: float) -> Reservation | None:
        allotment = self._by_budget.get(request.budget)
        if allotment is None or not allotment.queue.accepts(allotment.policy):
            return None
        if not allotment.try_hold(request.bound):
            return None
        allotment.used_at = now
        return HeldReservation(allotment, request, self._clock.wall())

    async def reserve(self, request: ReserveRequest, now: float) -> Result[Reservation, Refusal]:
        reservation = self.try_reserve(request, now)
        if reservation is not None:
            return Ok(reservation)
        if request.bound < 1:
            return Err(
                Refusal(ErrorKind.BAD_REQUEST, "must be positive", "bound", "give at least 1")
            )
        allotment = self._allotment(request.budget, request.workspace)
        if not allotment.queue.accepts(allotment.policy):
            return Err(_ISOLATED)
        allotment.used_at = now
        return await self._shortage(allotment).reserve(request, now)

    async def start(self) -> Result[None, Refusal]:
        recovered = Recovered((), ())
        if isinstance(self._keeper, Journal):
            opened = await self._keeper.open()
            if isinstance(opened, Err):
                return Err(opened.err_value)
            recovered = opened.ok_value
        self._resume(recovered)
        has_journal = isinstance(self._keeper, Journal)
        registration = Registration(
            self._ledger,
            self._keeper,
            None if has_journal else self._delivered_elsewhere,
            self._clock,
            self._started_clock,
        )
        for queue in self._queue_by_group.values():
            queue.start()
            left = [of_group(kept, queue.group, self._ledger) for kept in recovered.kept]
            left = [one for one in left if one.holder != queue.holder and self._is_mine(one)]
            register = registration.register(queue, self._holder, left)
            self._tasks.append(asyncio.create_task(register))
        self._tasks.append(asyncio.create_task(self._announce_loop()))
        self._tasks.append(asyncio.create_task(self._review_loop()))
        self._tasks.append(asyncio.create_task(self._contact_loop()))
        self._tasks.append(asyncio.create_task(self._totals_loop()))
        return Ok(None)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._reviewer.stop()
        for shortage in self._shortfall_queue_by_budget.values():
            shortage.stop()
        for queue in self._queue_by_group.values():
            await queue.stop()

    async def hand_back(self) -> Result[None, Refusal]:
        try:
            async with asyncio.timeout(HAND_BACK_TIMEOUT_S):
                for queue in self._queue_by_group.values():
                    await queue.drained()
        except TimeoutError:
            # Cut off, a host must still be able to stop: its charges are kept, and its next
            # run delivers them and lets the remainder come back.
            return Err(Refusal(ErrorKind.UNREACHABLE, "the ledger does not take the charges"))
        for allotment in list(self._by_budget.values()):
            returned = await self._steps.give_back(allotment, allotment.spendable)
            if isinstance(returned, Err):
                return Err(returned.err_value)
        return Ok(None)

    def state(self) -> dict[str, Any]:
        queues = self._queue_by_group.values()
        largest = heapq.nlargest(
            BUDGETS_DUMPED, self._by_budget.values(), key=lambda allotment: allotment.booked
        )
        return {
            "groups": {queue.group: queue.state() for queue in queues},
            "budgets": len(self._by_budget),
            "waiting": sorted(self._shortfall_queue_by_budget),
            "largest": {allotment.budget: allotment.state() for allotment in largest},
        }

    def export(self, metrics: Metrics) -> None:
        queues = self._queue_by_group.values()
        metrics.gauge_of(
            "budgets_held", "Budgets of which this host holds money.", lambda: len(self._by_budget)
        )
        metrics.gauge_of(
            "budgets_short",
            "Budgets for which requests wait here.",
            lambda: len(self._shortfall_queue_by_budget),
        )
        metrics.gauge_of(
            "charges_waiting",
            "Charges and transfers that the ledger has not confirmed.",
            lambda: sum(queue.uncommitted for queue in queues),
        )
        metrics.gauge_of(
            "ledger_groups_out_of_reach",
            "Ledger groups that do not answer this host.",
            lambda: sum(not queue.in_reach for queue in queues),
        )

    def _allotment(self, budget: str, workspace: str) -> Allotment:
        allotment = self._by_budget.get(budget)
        if allotment is None:
            policy = self._policies.spend_policy(workspace)
            queue = self._queue_by_group[self._ledger.group(budget)]
            allotment = Allotment(budget, workspace, policy, queue, self._clock.now())
            allotment.number_from(self._numbers_by_budget.pop(budget, Numbers()))
            allotment.on_low = partial(self._reviewer.draw_ahead, allotment)
            self._by_budget[budget] = allotment
        return allotment

    def _usual_bound(self) -> float:
        allotments = self._by_budget.values()
        count = sum(one.settled_count for one in allotments)
        return sum(one.settled_bounds for one in allotments) / count if count else 0.0

    def _shortage(self, allotment: Allotment) -> ShortfallQueue:
        shortage = self._shortfall_queue_by_budget.get(allotment.budget)
        if shortage is None:
            over = partial(self._shortfall_queue_by_budget.pop, allotment.budget, None)
            shortage = ShortfallQueue(allotment, self._tools, over)
            self._shortfall_queue_by_budget[allotment.budget] = shortage
        return shortage

    def _resume(self, recovered: Recovered) -> None:
        """Go on as the holder of each checkpoint; the others' remains are delivered."""
        for kept in recovered.kept:
            if not self._is_mine(kept):
                self._store.adopt(kept)
        for checkpoint in recovered.checkpoints:
            queue = self._queue_by_group.get(checkpoint.group)
            if queue is None:
                continue
            mine = [kept for kept in recovered.kept if kept.holder == checkpoint.holder]
            kept = mine[0] if mine else Kept(checkpoint.holder, (), ())
            resume(checkpoint, of_group(kept, queue.group, self._ledger), queue, self._allotment)
            queue.successor = self._holder
            log_event(
                "INFO",
                "resumed_from_journal",
                group=checkpoint.group,
                incarnation=checkpoint.holder.incarnation,
                budgets=len(checkpoint.rows),
            )

    def _is_mine(self, kept: Kept) -> bool:
        return kept.holder.host == self._holder.host

    def _hand_over(self, queue: ChargeQueue) -> list[tuple[Transfer, Allotment]]:
        return hand_over(list(self._by_budget.values()), queue, self._clock.wall())

    async def _reach_changed(self, queue: ChargeQueue, in_reach: bool) -> None:
        if not isinstance(self._keeper, Journal):
            return
        if in_reach:
            await self._keeper.in_reach(queue.group)
            return
        checkpoint = checkpoint_of(queue, list(self._by_budget.values()))
        await self._keeper.out_of_reach(checkpoint, queue.unreported)

    async def _delivered_elsewhere(self, keepers: Sequence[str]) -> Emptied | None:
        if self._policies.allows_isolated_spend():
            # An earlier run may have spent alone, and taken what it knew of that with it.
            return None
        host, incarnation = self._holder
        return await deliver_at_mirrors(host, incarnation, keepers, self._peers, self._caller)

    async def _give(self, request: TakeRequest, peer: Peer) -> Result[TakeReply, Refusal]:
        if peer.host != request.taker.host:
            return Err(Refusal(ErrorKind.FORBIDDEN, "names another host", "taker"))
        if request.giver != self._holder:
            # An earlier run may have answered it. Answered twice, two transfers would have the
            # same number at the taker, and the ledger would take them for one.
            message = f"this is incarnation {self._holder.incarnation}"
            return Err(Refusal(ErrorKind.CONFLICT, message, "giver"))
        allotment = self._by_budget.get(request.budget)
        if allotment is None:
            return Ok(TakeReply(self._holder, None, False, 0, 0))
        return await self._giver.give(request, allotment)

    async def _deliver(self, request: DeliverRequest, peer: Peer) -> Result[DeliverReply, Refusal]:
        answer = await self._store.deliver(request, peer)
        if isinstance(answer, Err):
            return answer
        unreported = [
            transfer
            for queue in self._queue_by_group.values()
            for transfer in queue.unreported
            if self._store.is_ended(transfer.giver) and transfer.giver.host == request.host
        ]
        remaining = answer.ok_value.remaining + len(unreported)
        return Ok(answer.ok_value._replace(remaining=remaining))

    async def _announce_loop(self) -> None:
        while True:
            await self._clock.sleep(CHOOSE_EVERY_S)
            for queue in self._queue_by_group.values():
                await queue.announce_keepers()

    async def _totals_loop(self) -> None:
        """Draw of totals that were raised: a cut may come before the next review."""
        while True:
            await self._clock.sleep(TOTALS_EVERY_S)
            for budget, _, total in self._policies.budget_assignments():
                allotment = self._by_budget.get(budget)
                view = allotment.view if allotment is not None else None
                if allotment is not None and view is not None and view.credited < total:
                    self._reviewer.draw_ahead(allotment)

    async def _contact_loop(self) -> None:
        while True:
            every_s = max(CONTACT_EVERY_S, len(self._entry_hosts()) / CONTACTS_PER_S)
            await self._clock.sleep(every_s)
            for queue in self._queues_with_money():
                await queue.keep_in_contact(every_s)

    async def _review_loop(self) -> None:
        while True:
            await self._clock.sleep(REVIEW_INTERVAL_S)
            await self._review_all()

    async def _review_all(self) -> None:
        now = self._clock.now()
        # Cut off before its first request of a budget, a host would have nothing to serve
        # it from, and nor would its peers.
        for budget, workspace, _ in self._policies.budget_assignments():
            self._allotment(budget, workspace)
        await self._store.help(now)
        for allotment in list(self._by_budget.values()):
            await self._reviewer.review(allotment)
            if allotment.booked == 0 and now - allotment.used_at >= FORGET_AFTER_S:
                self._forget(allotment)

    def _queues_with_money(self) -> list[ChargeQueue]:
        held = {one.queue.group for one in self._by_budget.values() if one.booked > 0}
        return [queue for group, queue in self._queue_by_group.items() if group in held]

    def _forget(self, allotment: Allotment) -> None:
        # The ledger knows the numbers that were used: were they used again, new charges
        # would pass for old ones that arrive twice, and never be billed.
        self._numbers_by_budget[allotment.budget] = allotment.numbers()
        del self._by_budget[allotment.budget]
        self._shortfall_queue_by_budget.pop(allotment.budget, None)
