"""Find money for requests that an allotment does not cover, or refuse them accurately.

A search takes these steps in order: draw from the ledger; take from other hosts what they do not
need; wait for an open reservation whose release would cover the request; refuse. The refusal
states whether the ledger reported that the budget is spent, or did not answer.
"""

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from functools import partial
from typing import NamedTuple

import xxhash
from result import Err, Ok, Result

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._charge_replication import out_of_reach
from cranberrywall.budgets._claims import Claim
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._interfaces import PeerHost, Peers, ReserveRequest
from cranberrywall.budgets._ledger_commands import LedgerCommands
from cranberrywall.budgets._peer_messages import TakeReply
from cranberrywall.budgets._refusals import SearchResult, log_refusal, make_refusal
from cranberrywall.budgets._reservation import HeldReservation
from cranberrywall.budgets._sizing import preferred_holders, view_of
from cranberrywall.budgets._transfers import TransferRecipient
from cranberrywall.budgets.messages import BudgetQuery, BudgetResult, HeldAmount
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

# Maximum number of hosts that one round asks while the ledger cannot name those that hold money.
MAX_PEERS_PER_ROUND = 16
# No request is refused because of an unreachable ledger before it was unreachable for this long,
# in seconds: the ledger may only have changed its leader, which takes about a second.
LEADER_CHANGE_TIMEOUT_S = 1.5
# A request waits this long for the credit of a new or raised total, in seconds. The ledger's leader
# looks for missing credits once a second.
CREDIT_TIMEOUT_S = 1.5
# Pauses between rounds that found nothing, in seconds; they grow from the first value to the
# second. So an exhausted budget under load costs the ledger little, and each refusal is still
# based on recent figures.
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 0.5
# Queued requests are checked at this interval between two rounds, in seconds.
SERVE_INTERVAL_S = 0.05
# A shorter sleep might not advance the clock, and the loop would be busy.
MIN_WAIT_S = 0.001

Reserved = Result[HeldReservation, Refusal]


class FundingSources(NamedTuple):
    """Sources of money and other objects that a search uses; one instance per host."""

    host: str
    place: str
    ledger: LedgerClient
    steps: LedgerCommands
    recipient: TransferRecipient
    peers: Peers
    clock: Clock
    configured_total: Callable[[str], int]
    missing_amount: Callable[[Allotment], int]
    wanted_amount: Callable[[Allotment, int], int]
    on_shortfall: Callable[[Allotment], None]
    holder_count: Callable[[Allotment], int]


class _Waiter:
    """Queued request; ``refusal`` is its answer if the search fails.

    ``queued_at`` is in monotonic seconds.
    """

    __slots__ = ("answer", "queued_at", "refusal", "request")

    def __init__(self, request: ReserveRequest, queued_at: float) -> None:
        self.request = request
        self.queued_at = queued_at
        self.answer: asyncio.Future[Reserved] = asyncio.get_running_loop().create_future()
        self.refusal = Refusal(
            ErrorKind.BUDGET_UNREACHABLE, "the search for money did not finish before the deadline"
        )


class ShortfallQueue:
    """Serve the queued reservations of one allotment, in rounds that one task runs.

    ``on_empty`` is called when a round ends with an empty queue and had served every request. The
    object can be discarded until the next shortfall.
    """

    def __init__(
        self, allotment: Allotment, sources: FundingSources, on_empty: Callable[[], object]
    ) -> None:
        self._allotment = allotment
        self._on_empty = on_empty
        self._funding_sources = sources
        self._waiters: list[_Waiter] = []
        self._task: asyncio.Task[None] | None = None
        self._pause_s = 0.0
        self._next_round_at = float("-inf")

    async def reserve(self, request: ReserveRequest, now: float) -> Reserved:
        """Wait in the queue until the request is served, refused, or past its deadline."""
        waiter = _Waiter(request, now)
        self._waiters.append(waiter)
        self._start()
        try:
            async with asyncio.timeout(max(0.0, request.deadline - now)):
                return await waiter.answer
        except TimeoutError:
            if waiter.answer.done() and not waiter.answer.cancelled():
                return waiter.answer.result()
            return Err(waiter.refusal)
        except asyncio.CancelledError:
            self._abandon(waiter, self._funding_sources.clock.now())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def serve(self) -> None:
        """Reserve money for the queued requests that the allotment now covers.

        A small request may overtake a larger one that waits: holding it back would cause one more
        refusal and help no request.
        """
        left: list[_Waiter] = []
        for waiter in self._waiters:
            if waiter.answer.done():
                continue
            if self._allotment.try_hold(waiter.request.bound):
                waiter.answer.set_result(Ok(self._reservation(waiter.request)))
            else:
                left.append(waiter)
        self._waiters = left

    def stop(self) -> None:
        """Stop the search."""
        if self._task is not None:
            self._task.cancel()

    @staticmethod
    def _abandon(waiter: _Waiter, now: float) -> None:
        # The caller disconnected just when its request was served. Without this release its money
        # would stay reserved forever.
        if waiter.answer.done() and not waiter.answer.cancelled():
            served = waiter.answer.result()
            if isinstance(served, Ok):
                served.ok_value.release(now)

    def _reservation(self, request: ReserveRequest) -> HeldReservation:
        wall = self._funding_sources.clock.wall()
        return HeldReservation(self._allotment, request, wall)

    def _start(self) -> None:
        if self._task is None or self._task.done():
            self._allotment.reservation_queue = self
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        try:
            while self._waiters:
                await self._pause()
                await self._round()
        finally:
            self._allotment.reservation_queue = None
            if not self._waiters and self._pause_s == 0.0:
                self._on_empty()

    async def _round(self) -> None:
        present = list(self._waiters)
        found = await self._search()
        found = found._replace(uncredited=self._uncredited())
        self.serve()
        queue, now = self._allotment.queue, self._funding_sources.clock.now()
        if found.free is not None or queue.reach.out_of_reach_s(now) >= LEADER_CHANGE_TIMEOUT_S:
            self._refuse_uncoverable(present, found)
        served = all(_was_served(waiter) for waiter in present)
        next_pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, self._pause_s * 2.0))
        self._pause_s = 0.0 if served else next_pause_s
        self._next_round_at = self._funding_sources.clock.now() + self._pause_s

    async def _pause(self) -> None:
        clock = self._funding_sources.clock
        while (wait := self._next_round_at - clock.now()) > MIN_WAIT_S:
            await clock.sleep(min(wait, SERVE_INTERVAL_S))
            # While the ledger is unreachable, the bound on unreported spend rises with time.
            self.serve()

    async def _search(self) -> SearchResult:
        if not self._allotment.queue.in_reach:
            return await self._take_from_peers()
        if self._should_read_first():
            found = await self._read_and_take()
            if found is not None:
                return found
        is_first = self._allotment.view is None
        free = await self._draw()
        self.serve()
        if is_first and free:
            # Only the first answer has the total. This host should hold a share of it.
            await self._draw_share()
        if not self._waiters:
            return SearchResult(free, 0)
        await self._funding_sources.recipient.repeat_unanswered(
            self._funding_sources.peers.alive(), self._allotment
        )
        self.serve()
        if not self._waiters:
            return SearchResult(free, 0)
        if free is None:
            return await self._take_from_peers()
        return await self._take_from_holders(free)

    async def _take_from_peers(self) -> SearchResult:
        """Take only from peers, because the ledger is unreachable.

        A draw would wait for an answer for as long as callers wait for theirs. Other tasks detect
        when the ledger is reachable again.
        """
        sources = self._funding_sources
        await sources.recipient.repeat_unanswered(sources.peers.alive(), self._allotment)
        self.serve()
        peer_by_host = {
            peer.host: peer for peer in sources.peers.alive() if peer.host != sources.host
        }
        holders = self._expected_holders(peer_by_host)
        start, count = 0, 1
        while start < min(len(holders), MAX_PEERS_PER_ROUND) and self._waiters:
            asked = holders[start : start + count]
            await asyncio.gather(*(self._take(peer_by_host[host], len(asked)) for host in asked))
            start += count
            count *= 2
        return SearchResult(None, 0)

    def _expected_holders(self, hosts: Collection[str]) -> list[str]:
        """Return the hosts that probably hold money, in the order in which to ask them.

        If only some hosts hold parts, and they are more than one round asks, each host begins with
        others of them. Otherwise all hosts would ask the same few, and the rest of the parts would
        be of no use until the ledger is in reach.
        """
        sources, budget = self._funding_sources, self._allotment.budget
        order = preferred_holders(budget, hosts)
        count = sources.holder_count(self._allotment)
        if not MAX_PEERS_PER_ROUND < count < len(order):
            return order
        start = xxhash.xxh64_intdigest(f"{sources.host}\n{budget}".encode()) % count
        return order[start:count] + order[:start]

    async def _draw(self) -> int | None:
        """Draw for the queued requests; return what is still free, ``None`` if out of reach."""
        allotment = self._allotment
        total = sum(waiter.request.bound for waiter in self._waiters)
        amount = max(total - allotment.usable, self._funding_sources.missing_amount(allotment))
        answer = await self._funding_sources.steps.draw(allotment, amount, self.shortfall())
        if isinstance(answer, Ok):
            return answer.ok_value.free
        refusal = answer.err_value
        if out_of_reach(refusal):
            await self._allotment.queue.mark_out_of_reach(refusal)
            return None
        log_event("INFO", "draw_refused", budget=allotment.budget, kind=refusal.kind)
        # A budget that was never credited has nothing. Other refusals say nothing about the
        # balance; for example, this holder may have been replaced by its successor while it was
        # isolated.
        return 0 if refusal.kind is ErrorKind.NOT_FOUND else None

    def _should_read_first(self) -> bool:
        """Return whether the ledger had too little free at the last contact.

        The ledger would then probably refuse a draw, and the read that follows returns the same
        figures and more. A draw whose answer was lost is finished first: it may have brought all
        that was free.
        """
        allotment = self._allotment
        if allotment.pending_draw is not None:
            return False
        view = allotment.view
        is_short = view is not None and view.free < self.shortfall()
        return allotment.queue.in_reach and (self._pause_s > 0.0 or is_short)

    async def _read_and_take(self) -> SearchResult | None:
        """Read the ledger's sums and act on them; return ``None`` if a draw should be tried."""
        await self._funding_sources.recipient.repeat_unanswered(
            self._funding_sources.peers.alive(), self._allotment
        )
        self.serve()
        if not self._waiters:
            return SearchResult(0, 0)
        claim = Claim(self._allotment)
        answer = await self._read()
        if isinstance(answer, Err):
            return None
        sums = answer.ok_value
        if self.shortfall() > self._available_elsewhere(sums):
            return SearchResult(0, 0)
        if sums.free >= self.shortfall():
            return None
        return await self._take_from_listed(sums, claim)

    async def _read(self) -> Result[BudgetResult, Refusal]:
        sources = self._funding_sources
        query = BudgetQuery(self._allotment.budget)
        answer = await self._allotment.queue.call(partial(sources.ledger.budget, query))
        if isinstance(answer, Ok):
            self._allotment.update_view(view_of(answer.ok_value, sources.clock.now()))
        return answer

    def _available_elsewhere(self, sums: BudgetResult) -> int:
        """Return what is free, held by others, or granted to this host but not received yet."""
        return sums.free + sums.outstanding - self._allotment.booked

    async def _draw_share(self) -> None:
        missing_amount = self._funding_sources.missing_amount(self._allotment)
        if missing_amount > 0:
            await self._funding_sources.steps.draw(self._allotment, missing_amount, 1)
            self.serve()

    def _uncredited(self) -> int:
        """Return what the ledger had not credited of the configured total at the last contact."""
        view = self._allotment.view
        total = self._funding_sources.configured_total(self._allotment.budget)
        return max(0, total - (view.credited if view is not None else 0))

    def shortfall(self) -> int:
        """Return the smallest amount that would serve one more queued request; 0 if none waits."""
        if not self._waiters:
            return 0
        least = min(waiter.request.bound for waiter in self._waiters)
        return max(1, least - self._allotment.usable)

    async def _take_from_holders(self, free: int) -> SearchResult:
        """Take from the holders that the ledger lists, the largest first."""
        claim = Claim(self._allotment)
        answer = await self._read()
        if isinstance(answer, Err):
            if out_of_reach(answer.err_value):
                return SearchResult(None, 0)
            return SearchResult(free, 0)
        return await self._take_from_listed(answer.ok_value, claim)

    async def _take_from_listed(self, sums: BudgetResult, claim: Claim) -> SearchResult:
        """Take from the holders in ``sums``, which were read after ``claim`` was made."""
        sources = self._funding_sources
        peer_by_host = {peer.host: peer for peer in sources.peers.alive()}
        sources.on_shortfall(self._allotment)
        if claim.add_missing(sums):
            sources.recipient.discard_unanswered(self._allotment.budget)
            self.serve()
        free = sums.free
        others = [held for held in sums.held if held.holder != self._allotment.queue.holder]
        if self.shortfall() > self._available_elsewhere(sums):
            return SearchResult(free, 0)
        if free >= self.shortfall():
            # It was credited or freed after the draw.
            left = await self._draw()
            self.serve()
            if left is None:
                return SearchResult(None, 0)
            free = left
        elif free > 0:
            await self._funding_sources.steps.draw(self._allotment, free, 1)
            free = 0
        others.sort(key=lambda held: -held.outstanding)
        return await self._take_from_each(free, others, peer_by_host)

    async def _take_from_each(
        self, free: int, others: Sequence[HeldAmount], peer_by_host: Mapping[str, PeerHost]
    ) -> SearchResult:
        """Ask one holder, then two at a time, then four.

        Asking many holders one after the other takes so long that other hosts' searches move the
        money meanwhile: each search finds nothing, although there is enough. Asking all at the
        same time would collect far more than is needed.
        """
        unreached = withheld = in_use = 0
        start, count = 0, 1
        while start < len(others) and self._waiters:
            asked = others[start : start + count]
            replies = await asyncio.gather(
                *(self._take_from_holder(held, peer_by_host, len(asked)) for held in asked)
            )
            for held, reply in zip(asked, replies, strict=True):
                if reply is None:
                    unreached += held.outstanding
                else:
                    withheld += reply.spendable
                    in_use += reply.booked - reply.spendable
            start += count
            count *= 2
        return SearchResult(free, unreached, withheld, in_use)

    async def _take_from_holder(
        self, held: HeldAmount, peer_by_host: Mapping[str, PeerHost], asked_count: int
    ) -> TakeReply | None:
        """Return the holder's own answer; ``None`` if it gave none, or has ended."""
        peer = peer_by_host.get(held.holder.host)
        if peer is None:
            return None
        reply = await self._take(peer, asked_count)
        return reply if reply is not None and reply.giver == held.holder else None

    async def _take(self, peer: PeerHost, asked_count: int) -> TakeReply | None:
        """Take from one of ``asked_count`` peers; return ``None`` if it did not answer.

        Each is asked for what this host wants of it, and for the shortfall at least.
        """
        allotment = self._allotment
        minimum = self.shortfall()
        amount = max(minimum, self._funding_sources.wanted_amount(allotment, asked_count))
        reply = await self._funding_sources.recipient.take(peer, allotment, amount, minimum)
        self.serve()
        return reply

    def _refuse_uncoverable(self, present: Sequence[_Waiter], found: SearchResult) -> None:
        """Refuse the requests of this round that no amount freed by their deadline can cover.

        What searching hosts withhold from each other is enough for one of them at least. It is
        counted as available, or all would refuse while the budget is not spent.
        """
        now = self._funding_sources.clock.now()
        promised = -found.withheld
        for waiter in present:
            if waiter.answer.done():
                continue
            waiter.refusal = make_refusal(waiter.request, found)
            expected = self._allotment.usable_within(waiter.request.deadline - now) - promised
            if waiter.request.bound <= expected or self._awaits_credit(waiter, found, now):
                promised += waiter.request.bound
                continue
            log_refusal(waiter.request, waiter.refusal, found, self._allotment, now)
            waiter.answer.set_result(Err(waiter.refusal))
        self._waiters = [waiter for waiter in self._waiters if not waiter.answer.done()]

    def _awaits_credit(self, waiter: _Waiter, found: SearchResult, now: float) -> bool:
        """Return whether the missing credit would cover the request and may still come."""
        if found.free is None or now - waiter.queued_at >= CREDIT_TIMEOUT_S:
            return False
        return found.uncredited > 0 and found.free + found.uncredited >= waiter.request.bound


def _was_served(waiter: _Waiter) -> bool:
    answer = waiter.answer
    return answer.done() and not answer.cancelled() and isinstance(answer.result(), Ok)
