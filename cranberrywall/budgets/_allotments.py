"""Spend prepaid budgets on an entry host from the allotments that it holds."""

import asyncio
import heapq
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from result import Err, Ok, Result

from cranberrywall.budgets._allotment import Allotment, StepNumbers
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
    CHOICE_INTERVAL_S,
    EmptiedHolders,
    PeerReplicator,
    deliver_at_replica_holders,
)
from cranberrywall.budgets._recovery import checkpoint_of, hand_over, resume
from cranberrywall.budgets._registration import Registration, part_of_group
from cranberrywall.budgets._replica_store import ReplicaStore
from cranberrywall.budgets._reservation import HeldReservation
from cranberrywall.budgets._review import REVIEW_INTERVAL_S, Reviewer
from cranberrywall.budgets._shortfalls import FundingSources, ShortfallQueue
from cranberrywall.budgets._spend_rates import RateDeclarations
from cranberrywall.budgets._transfers import TransferDonor, TransferRecipient
from cranberrywall.budgets.messages import Holder, Transfer
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Runtime

# An allotment that was idle for this long is returned to the ledger and removed.
IDLE_EVICTION_DELAY_S = 24 * 3600.0
# A holder with nothing else to send contacts the ledger at this interval, in seconds. The shorter
# the time since its last contact, the more of its money is freed immediately if it is lost.
CONTACT_INTERVAL_S = 0.5
# Contacts that are due within this time of each other, in seconds, share one wake-up.
MIN_CONTACT_WAIT_S = 0.02
# All idle hosts together send the ledger's leader this many contact commands a second.
MAX_CONTACTS_PER_S = 16.0
# The configured totals are compared with the credits that the ledger reported at this interval, in
# seconds. A host draws from a raised total within one interval.
TOTALS_CHECK_INTERVAL_S = 1.0
# Changed rates of spending are declared to the ledger at this interval, in seconds.
DECLARATION_INTERVAL_S = 2.0
# All hosts together send the ledger's leader this many declarations a second, besides urgent ones.
MAX_DECLARATIONS_PER_S = 8.0
# A host that stops waits this long for the ledger to commit its charges.
HAND_BACK_TIMEOUT_S = 10.0
# The state dump lists this many budgets, those with the largest amounts.
MAX_DUMPED_BUDGETS = 50

_ISOLATED = Refusal(
    ErrorKind.BUDGET_UNREACHABLE,
    "this host has no working disk, and can reach neither the ledger nor enough peers",
    "budget",
    "send the request to another host",
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
    """Return the allotments of this incarnation of the host; call ``start`` before use.

    ``entry_hosts`` lists the entry hosts of the active configuration: a host without a disk
    replicates its charges to some of them. ``started_clock`` is the runtime's clock at the start
    of this process; ``None`` stands for now.
    """
    storage = runtime.storage
    replicator = (
        Journal(storage) if storage else PeerReplicator(holder.host, entry_hosts, peers, caller)
    )
    return _HostAllotments(
        holder,
        place,
        ledger,
        peers,
        entry_hosts,
        policies,
        caller,
        server,
        replicator,
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
        replicator: Journal | PeerReplicator,
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
        self._replicator = replicator
        self._clock = runtime.clock
        self._by_budget: dict[str, Allotment] = {}
        self._numbers_by_budget: dict[str, StepNumbers] = {}
        self._shortfall_queue_by_budget: dict[str, ShortfallQueue] = {}
        self._queue_by_group = {group: self._make_queue(group) for group in ledger.groups()}
        self._steps = LedgerCommands(ledger, self._clock)
        self._store = ReplicaStore(
            holder, ledger, replicator if isinstance(replicator, Journal) else None, self._clock
        )
        self._donor = TransferDonor(ledger, replicator, self._clock)
        recipient = TransferRecipient(
            caller, replicator, self._store.is_ended, self._clock, runtime.random
        )
        self._reviewer = Reviewer(
            holder.host,
            place,
            ledger,
            recipient,
            self._steps,
            peers,
            entry_hosts,
            self._host_mean_bound,
            lambda: len(self._by_budget),
            self._clock,
        )
        self._funding_sources = FundingSources(
            holder.host,
            place,
            ledger,
            self._steps,
            recipient,
            peers,
            self._clock,
            policies.configured_total,
            self._reviewer.missing_amount,
            self._reviewer.wanted_amount,
            self._reviewer.recheck_surplus,
            self._reviewer.holder_count,
        )
        self._rate_declarations = [
            RateDeclarations(queue, self._count_hosts) for queue in self._queue_by_group.values()
        ]
        self._tasks: list[asyncio.Task[None]] = []
        server.register(TAKE, self._handle_take)
        server.register(KEEP, self._store.store)
        server.register(FORGET, self._store.discard)
        server.register(DELIVER, self._handle_deliver)

    def _make_queue(self, group: str) -> ChargeQueue:
        # A journal outlives its process; copies in the memory of peers may be lost.
        is_bounded = not isinstance(self._replicator, Journal)
        queue = ChargeQueue(
            group, self._holder, self._ledger, self._replicator, self._clock, is_bounded
        )
        queue.on_reach = partial(self._handle_reach_change, queue)
        queue.on_handover = partial(self._hand_over, queue)
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
        return await self._shortfall_queue(allotment).reserve(request, now)

    async def start(self) -> Result[None, Refusal]:
        recovered = Recovered((), ())
        if isinstance(self._replicator, Journal):
            opened = await self._replicator.open()
            if isinstance(opened, Err):
                return Err(opened.err_value)
            recovered = opened.ok_value
        self._resume(recovered)
        has_journal = isinstance(self._replicator, Journal)
        registration = Registration(
            self._ledger,
            self._replicator,
            None if has_journal else self._deliver_at_peers,
            self._clock,
            self._started_clock,
        )
        for queue in self._queue_by_group.values():
            queue.start()
            left = [part_of_group(kept, queue.group, self._ledger) for kept in recovered.kept]
            left = [one for one in left if one.holder != queue.holder and self._is_own(one)]
            register = registration.register(queue, self._holder, left)
            self._tasks.append(asyncio.create_task(register))
            track = registration.track_starts(queue.group, self._holder)
            self._tasks.append(asyncio.create_task(track))
        self._tasks.append(asyncio.create_task(self._announce_loop()))
        self._tasks.append(asyncio.create_task(self._review_loop()))
        self._tasks.append(asyncio.create_task(self._contact_loop()))
        self._tasks.append(asyncio.create_task(self._totals_loop()))
        self._tasks.append(asyncio.create_task(self._declare_loop()))
        return Ok(None)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._reviewer.stop()
        for shortfall_queue in self._shortfall_queue_by_budget.values():
            shortfall_queue.stop()
        for queue in self._queue_by_group.values():
            await queue.stop()

    async def hand_back(self) -> Result[None, Refusal]:
        try:
            async with asyncio.timeout(HAND_BACK_TIMEOUT_S):
                for queue in self._queue_by_group.values():
                    await queue.drained()
        except TimeoutError:
            # An isolated host must still be able to stop. Its charges are durable; its next
            # incarnation delivers them, and the remainder is then released.
            return Err(Refusal(ErrorKind.UNREACHABLE, "the ledger did not commit all charges"))
        for allotment in list(self._by_budget.values()):
            returned = await self._steps.give_back(allotment, allotment.spendable)
            if isinstance(returned, Err):
                return Err(returned.err_value)
        return Ok(None)

    @property
    def uncommitted(self) -> int:
        return sum(queue.uncommitted for queue in self._queue_by_group.values())

    def state(self) -> dict[str, Any]:
        queues = self._queue_by_group.values()
        largest = heapq.nlargest(
            MAX_DUMPED_BUDGETS, self._by_budget.values(), key=lambda allotment: allotment.booked
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
            "Budgets for which requests wait on this host.",
            lambda: len(self._shortfall_queue_by_budget),
        )
        metrics.gauge_of(
            "charges_waiting",
            "Charges and transfers that the ledger has not confirmed.",
            lambda: self.uncommitted,
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
            allotment.resume_numbers(self._numbers_by_budget.pop(budget, StepNumbers()))
            allotment.on_low = partial(self._reviewer.draw_ahead, allotment)
            self._by_budget[budget] = allotment
        return allotment

    def _host_mean_bound(self) -> float:
        allotments = self._by_budget.values()
        count = sum(one.settled_count for one in allotments)
        return sum(one.settled_bounds for one in allotments) / count if count else 0.0

    def _shortfall_queue(self, allotment: Allotment) -> ShortfallQueue:
        shortfall_queue = self._shortfall_queue_by_budget.get(allotment.budget)
        if shortfall_queue is None:
            on_empty = partial(self._shortfall_queue_by_budget.pop, allotment.budget, None)
            shortfall_queue = ShortfallQueue(allotment, self._funding_sources, on_empty)
            self._shortfall_queue_by_budget[allotment.budget] = shortfall_queue
        return shortfall_queue

    def _resume(self, recovered: Recovered) -> None:
        """Resume as the holder of each checkpoint; store other holders' records for delivery."""
        for kept in recovered.kept:
            if not self._is_own(kept):
                self._store.adopt(kept)
        for checkpoint in recovered.checkpoints:
            queue = self._queue_by_group.get(checkpoint.group)
            if queue is None:
                continue
            mine = [kept for kept in recovered.kept if kept.holder == checkpoint.holder]
            kept = mine[0] if mine else Kept(checkpoint.holder, (), ())
            resume(
                checkpoint, part_of_group(kept, queue.group, self._ledger), queue, self._allotment
            )
            queue.successor = self._holder
            log_event(
                "INFO",
                "resumed_from_journal",
                group=checkpoint.group,
                incarnation=checkpoint.holder.incarnation,
                budgets=len(checkpoint.rows),
            )

    def _is_own(self, kept: Kept) -> bool:
        return kept.holder.host == self._holder.host

    def _hand_over(self, queue: ChargeQueue) -> list[tuple[Transfer, Allotment]]:
        return hand_over(list(self._by_budget.values()), queue, self._clock.wall())

    async def _handle_reach_change(self, queue: ChargeQueue, in_reach: bool) -> None:
        if not isinstance(self._replicator, Journal):
            return
        if in_reach:
            await self._replicator.in_reach(queue.group)
            return
        checkpoint = checkpoint_of(queue, list(self._by_budget.values()))
        await self._replicator.out_of_reach(checkpoint, queue.unreported)

    async def _deliver_at_peers(self, replica_holders: Sequence[str]) -> EmptiedHolders | None:
        if self._policies.allows_isolated_spend():
            # An earlier incarnation may have spent while isolated; the records of that were lost
            # with it.
            return None
        host, incarnation = self._holder
        return await deliver_at_replica_holders(
            host, incarnation, replica_holders, self._peers, self._caller
        )

    async def _handle_take(self, request: TakeRequest, peer: Peer) -> Result[TakeReply, Refusal]:
        if peer.host != request.taker.host:
            return Err(
                Refusal(
                    ErrorKind.FORBIDDEN,
                    "the request names a recipient other than its sender",
                    "taker",
                )
            )
        if request.giver != self._holder:
            # An earlier incarnation may have answered this request. A second answer would give two
            # transfers the same number at the recipient, and the ledger would take them for one.
            message = f"the host is now at incarnation {self._holder.incarnation}"
            return Err(Refusal(ErrorKind.CONFLICT, message, "giver"))
        allotment = self._by_budget.get(request.budget)
        if allotment is None:
            return Ok(TakeReply(self._holder, None, False, 0, 0))
        return await self._donor.give(request, allotment)

    async def _handle_deliver(
        self, request: DeliverRequest, peer: Peer
    ) -> Result[DeliverReply, Refusal]:
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
            await self._clock.sleep(CHOICE_INTERVAL_S)
            for queue in self._queue_by_group.values():
                await queue.announce_replica_holders()

    async def _totals_loop(self) -> None:
        """Draw from raised totals early: a network partition may start before the next review."""
        while True:
            await self._clock.sleep(TOTALS_CHECK_INTERVAL_S)
            for budget, _, total in self._policies.budget_assignments():
                allotment = self._by_budget.get(budget)
                view = allotment.view if allotment is not None else None
                if allotment is not None and view is not None and view.credited < total:
                    self._reviewer.draw_ahead(allotment)

    async def _contact_loop(self) -> None:
        """Contact each group of which this host holds money at the end of each interval.

        The interval counts from the last command of any kind. Checked only once per interval, a
        contact could come almost a whole interval late.
        """
        while True:
            interval_s = max(CONTACT_INTERVAL_S, len(self._entry_hosts()) / MAX_CONTACTS_PER_S)
            queues = [queue for queue in self._queues_with_money() if queue.in_reach]
            due_in_s = min(
                (queue.reach.contact_due_in_s(interval_s) for queue in queues), default=interval_s
            )
            await self._clock.sleep(max(MIN_CONTACT_WAIT_S, due_in_s))
            for queue in queues:
                await queue.maintain_contact(interval_s)

    async def _declare_loop(self) -> None:
        due_at = self._clock.now() + self._declaration_interval_s()
        while True:
            await self._clock.sleep(DECLARATION_INTERVAL_S)
            now = self._clock.now()
            is_due = now >= due_at
            if is_due:
                due_at = now + self._declaration_interval_s()
            for declarations in self._rate_declarations:
                await declarations.update(list(self._by_budget.values()), now, is_due)

    def _declaration_interval_s(self) -> float:
        return max(DECLARATION_INTERVAL_S, len(self._entry_hosts()) / MAX_DECLARATIONS_PER_S)

    def _count_hosts(self) -> int:
        return len(self._peers.alive())

    async def _review_loop(self) -> None:
        while True:
            await self._clock.sleep(REVIEW_INTERVAL_S)
            await self._review_all()

    async def _review_all(self) -> None:
        now = self._clock.now()
        # A host that is isolated before its first request of a budget would have nothing to spend,
        # and neither would its peers.
        for budget, workspace, _ in self._policies.budget_assignments():
            self._allotment(budget, workspace)
        await self._store.commit_overdue(now)
        for allotment in list(self._by_budget.values()):
            await self._reviewer.review(allotment)
            if allotment.booked == 0 and now - allotment.used_at >= IDLE_EVICTION_DELAY_S:
                self._evict(allotment)

    def _queues_with_money(self) -> list[ChargeQueue]:
        held = {one.queue.group for one in self._by_budget.values() if one.booked > 0}
        return [queue for group, queue in self._queue_by_group.items() if group in held]

    def _evict(self, allotment: Allotment) -> None:
        # The ledger has recorded the used numbers. If they were reused, it would treat new charges
        # as duplicates and never bill them.
        self._numbers_by_budget[allotment.budget] = allotment.numbers()
        del self._by_budget[allotment.budget]
        self._shortfall_queue_by_budget.pop(allotment.budget, None)
