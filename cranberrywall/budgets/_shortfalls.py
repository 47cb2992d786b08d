"""Find money for requests that an allotment does not cover, and refuse truly.

In order: draw at the ledger; take from other hosts what they do not need; wait for an
open reservation whose release would cover the request; refuse, naming whether the
ledger said that the money is gone, or could not be asked.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._charge_replication import out_of_reach
from cranberrywall.budgets._claims import Claim
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._interfaces import PeerHost, Peers, ReserveRequest
from cranberrywall.budgets._ledger_commands import COMMAND_TIMEOUT_S, LedgerCommands
from cranberrywall.budgets._peer_messages import TakeReply
from cranberrywall.budgets._reservation import HeldReservation
from cranberrywall.budgets._sizing import homes, view_of
from cranberrywall.budgets._transfers import TransferRecipient
from cranberrywall.budgets.messages import BudgetQuery, BudgetResult, HeldAmount
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

# The most hosts that one round asks while the ledger cannot name those that hold money.
PEERS_ASKED = 16
# Nobody is refused for want of the ledger before it was out of reach for so long, in seconds: it
# may only have changed its leader, which takes about a second.
LEADER_CHANGE_S = 1.5
# Rounds that found nothing follow each other at these pauses, in seconds, ever longer:
# an exhausted budget under load costs the ledger little, and each refusal stays fresh.
PAUSE_FIRST_S = 0.02
PAUSE_MOST_S = 0.5
# Those in line are looked at this often between two rounds, in seconds.
SERVE_EVERY_S = 0.05
# A rest so small that it does not move the clock would be a busy loop.
LEAST_WAIT_S = 0.001

Reserved = Result[HeldReservation, Refusal]


class FundingSources(NamedTuple):
    """Bundle what a search for money uses; one for each host."""

    host: str
    place: str
    ledger: LedgerClient
    steps: LedgerCommands
    taker: TransferRecipient
    peers: Peers
    clock: Clock
    wanted: Callable[[Allotment], int]
    is_scarce: Callable[[Allotment], None]


class _Waiter:
    """Stand in line with one request; ``refusal`` is the answer if nothing comes of it."""

    __slots__ = ("answer", "refusal", "request")

    def __init__(self, request: ReserveRequest) -> None:
        self.request = request
        self.answer: asyncio.Future[Reserved] = asyncio.get_running_loop().create_future()
        self.refusal = Refusal(ErrorKind.BUDGET_UNREACHABLE, "the ledger was not asked in time")


class _Found(NamedTuple):
    """Say what a round learnt: the ledger's free sum, and what unreached holders hold.

    ``free`` is ``None`` where the ledger could not be asked.
    """

    free: int | None
    unreached: int


class ShortfallQueue:
    """Serve the requests in line for one allotment, in rounds of one task.

    ``on_over`` is called as a round leaves nobody in line that it could not serve: the
    object need not be kept until the next shortage.
    """

    def __init__(
        self, allotment: Allotment, tools: FundingSources, on_over: Callable[[], object]
    ) -> None:
        self._allotment = allotment
        self._on_over = on_over
        self._tools = tools
        self._waiters: list[_Waiter] = []
        self._task: asyncio.Task[None] | None = None
        self._pause_s = 0.0
        self._next_round_at = 0.0

    async def reserve(self, request: ReserveRequest, now: float) -> Reserved:
        """Wait in line until served, refused, or past the deadline."""
        waiter = _Waiter(request)
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
            self._abandon(waiter, self._tools.clock.now())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def serve(self) -> None:
        """Hold money for those in line whom the allotment covers now.

        A small request may pass a larger one that waits: holding it back would refuse
        one more and help nobody.
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
        """End the search."""
        if self._task is not None:
            self._task.cancel()

    @staticmethod
    def _abandon(waiter: _Waiter, now: float) -> None:
        # The caller went away in the moment in which it was served: its money would stay
        # reserved for ever.
        if waiter.answer.done() and not waiter.answer.cancelled():
            served = waiter.answer.result()
            if isinstance(served, Ok):
                served.ok_value.release(now)

    def _reservation(self, request: ReserveRequest) -> HeldReservation:
        wall = self._tools.clock.wall()
        return HeldReservation(self._allotment, request, wall)

    def _start(self) -> None:
        if self._task is None or self._task.done():
            self._allotment.scarce = self
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        try:
            while self._waiters:
                await self._pause()
                await self._round()
        finally:
            self._allotment.scarce = None
            if not self._waiters and self._pause_s == 0.0:
                self._on_over()

    async def _round(self) -> None:
        present = list(self._waiters)
        found = await self._search()
        self.serve()
        queue, now = self._allotment.queue, self._tools.clock.now()
        if found.free is not None or queue.reach.out_of_reach_s(now) >= LEADER_CHANGE_S:
            self._decide(present, found)
        served = all(_was_served(waiter) for waiter in present)
        longer = min(PAUSE_MOST_S, max(PAUSE_FIRST_S, self._pause_s * 2.0))
        self._pause_s = 0.0 if served else longer
        self._next_round_at = self._tools.clock.now() + self._pause_s

    async def _pause(self) -> None:
        clock = self._tools.clock
        while (wait := self._next_round_at - clock.now()) > LEAST_WAIT_S:
            await clock.sleep(min(wait, SERVE_EVERY_S))
            # Out of the ledger's sight more may be spent with each moment.
            self.serve()

    async def _search(self) -> _Found:
        if not self._allotment.queue.in_reach:
            return await self._take_from_peers()
        if self._is_read_first():
            found = await self._read_and_take()
            if found is not None:
                return found
        is_first = self._allotment.view is None
        free = await self._draw()
        self.serve()
        if is_first and free:
            # Only the first answer tells how much there is to hold a share of.
            await self._draw_share()
        if not self._waiters:
            return _Found(free, 0)
        await self._tools.taker.ask_again(self._tools.peers.alive(), self._allotment)
        self.serve()
        if not self._waiters:
            return _Found(free, 0)
        if free is None:
            return await self._take_from_peers()
        return await self._take_from_holders(free)

    async def _take_from_peers(self) -> _Found:
        """Take from peers alone: the ledger is out of reach, and others ask it when it is back.

        A draw would wait for an answer for as long as callers wait for theirs.
        """
        tools = self._tools
        await tools.taker.ask_again(tools.peers.alive(), self._allotment)
        self.serve()
        peer_by_host = {peer.host: peer for peer in tools.peers.alive() if peer.host != tools.host}
        first = [peer_by_host[host] for host in homes(self._allotment.budget, peer_by_host)]
        begin, count = 0, 1
        while begin < min(len(first), PEERS_ASKED) and self._waiters:
            asked = first[begin : begin + count]
            await asyncio.gather(*(self._take(peer, count == 1) for peer in asked))
            begin += count
            count *= 2
        return _Found(None, 0)

    async def _draw(self) -> int | None:
        """Draw for those in line; gives what is still free, ``None`` out of reach."""
        allotment = self._allotment
        total = sum(waiter.request.bound for waiter in self._waiters)
        amount = max(total - allotment.usable, self._tools.wanted(allotment))
        answer = await self._tools.steps.draw(allotment, amount, self.shortfall())
        if isinstance(answer, Ok):
            return answer.ok_value.free
        refusal = answer.err_value
        if out_of_reach(refusal):
            await self._allotment.queue.lost(refusal)
            return None
        log_event("INFO", "draw_refused", budget=allotment.budget, kind=refusal.kind)
        # A budget that was never credited has nothing. Any other refusal says nothing of
        # the money, as where this holder was succeeded while it was cut off.
        return 0 if refusal.kind is ErrorKind.NOT_FOUND else None

    def _is_read_first(self) -> bool:
        """Say whether the ledger had too little free when it was last heard.

        A draw would then most likely be refused, and the read that follows it tells the
        same and more. One whose answer was lost is finished first: it may have brought all.
        """
        allotment = self._allotment
        if allotment.pending_draw is not None:
            return False
        view = allotment.view
        is_short = view is not None and view.free < self.shortfall()
        return allotment.queue.in_reach and (self._pause_s > 0.0 or is_short)

    async def _read_and_take(self) -> _Found | None:
        """Read the sums and act on them; ``None`` where a draw is to be tried."""
        await self._tools.taker.ask_again(self._tools.peers.alive(), self._allotment)
        self.serve()
        if not self._waiters:
            return _Found(0, 0)
        claim = Claim(self._allotment)
        answer = await self._read()
        if isinstance(answer, Err):
            return None
        sums = answer.ok_value
        if self.shortfall() > self._elsewhere(sums):
            return _Found(0, 0)
        if sums.free >= self.shortfall():
            return None
        return await self._take_as_told(sums, claim)

    async def _read(self) -> Result[BudgetResult, Refusal]:
        tools = self._tools
        answer = await tools.ledger.budget(BudgetQuery(self._allotment.budget), COMMAND_TIMEOUT_S)
        if isinstance(answer, Ok):
            self._allotment.update_view(view_of(answer.ok_value, tools.clock.now()))
        return answer

    def _elsewhere(self, sums: BudgetResult) -> int:
        """Return what is free, held by others, or granted to us without our knowing yet."""
        return sums.free + sums.outstanding - self._allotment.booked

    async def _draw_share(self) -> None:
        wanted = self._tools.wanted(self._allotment)
        if wanted > 0:
            await self._tools.steps.draw(self._allotment, wanted, 1)
            self.serve()

    def shortfall(self) -> int:
        """Return the least amount that would serve one more of those in line."""
        if not self._waiters:
            return 0
        least = min(waiter.request.bound for waiter in self._waiters)
        return max(1, least - self._allotment.usable)

    async def _take_from_holders(self, free: int) -> _Found:
        """Take from the holders that the ledger names, the largest first."""
        claim = Claim(self._allotment)
        answer = await self._read()
        if isinstance(answer, Err):
            if out_of_reach(answer.err_value):
                return _Found(None, 0)
            return _Found(free, 0)
        return await self._take_as_told(answer.ok_value, claim)

    async def _take_as_told(self, sums: BudgetResult, claim: Claim) -> _Found:
        """Take from the holders in ``sums``, which were read after ``claim`` was made."""
        tools = self._tools
        peer_by_host = {peer.host: peer for peer in tools.peers.alive()}
        tools.is_scarce(self._allotment)
        if claim.take_up(sums):
            tools.taker.forget_unanswered(self._allotment.budget)
            self.serve()
        free = sums.free
        others = [held for held in sums.held if held.holder != self._allotment.queue.holder]
        if self.shortfall() > self._elsewhere(sums):
            return _Found(free, 0)
        if 0 < free < self.shortfall():
            await self._tools.steps.draw(self._allotment, free, 1)
            free = 0
        others.sort(key=lambda held: -held.outstanding)
        return _Found(free, await self._take_from_each(others, peer_by_host))

    async def _take_from_each(
        self, others: Sequence[HeldAmount], peer_by_host: Mapping[str, PeerHost]
    ) -> int:
        """Ask one holder, then two at once, then four; gives what unreached ones hold.

        One after the other, many holders take so long that other hosts' searches move the
        money about meanwhile: each finds nothing, though there is enough. All at once
        would give far more than is needed.
        """
        unreached = 0
        begin, count = 0, 1
        while begin < len(others) and self._waiters:
            asked = others[begin : begin + count]
            answered = await asyncio.gather(
                *(self._take_from_holder(held, peer_by_host, count == 1) for held in asked)
            )
            unreached += sum(
                held.outstanding
                for held, is_answer in zip(asked, answered, strict=True)
                if not is_answer
            )
            begin += count
            count *= 2
        return unreached

    async def _take_from_holder(
        self, held: HeldAmount, peer_by_host: Mapping[str, PeerHost], is_alone: bool
    ) -> bool:
        peer = peer_by_host.get(held.holder.host)
        if peer is None:
            return False
        reply = await self._take(peer, is_alone)
        return reply is not None and reply.giver == held.holder

    async def _take(self, peer: PeerHost, is_alone: bool) -> TakeReply | None:
        """Take from one peer; ``None`` where it did not answer.

        Where several are asked at once (not ``is_alone``), no more than the need is asked of each.
        """
        allotment = self._allotment
        minimum = self.shortfall()
        amount = max(minimum, self._tools.wanted(allotment)) if is_alone else minimum
        reply = await self._tools.taker.take(peer, allotment, amount, minimum)
        self.serve()
        return reply

    def _decide(self, present: Sequence[_Waiter], found: _Found) -> None:
        """Refuse those of this round whom nothing that may come free in time could cover."""
        now = self._tools.clock.now()
        promised = 0
        for waiter in present:
            if waiter.answer.done():
                continue
            waiter.refusal = _refusal(waiter.request, found)
            hope = self._allotment.usable_within(waiter.request.deadline - now) - promised
            if waiter.request.bound <= hope:
                promised += waiter.request.bound
                continue
            waiter.answer.set_result(Err(waiter.refusal))
        self._waiters = [waiter for waiter in self._waiters if not waiter.answer.done()]


def _was_served(waiter: _Waiter) -> bool:
    answer = waiter.answer
    return answer.done() and not answer.cancelled() and isinstance(answer.result(), Ok)


def _refusal(request: ReserveRequest, found: _Found) -> Refusal:
    if found.free is None:
        return Refusal(
            ErrorKind.BUDGET_UNREACHABLE,
            "this host's part is spent and the ledger is out of reach",
            "budget",
            "send it again, or to a host of another place",
        )
    if found.free + found.unreached >= request.bound:
        return Refusal(
            ErrorKind.BUDGET_UNREACHABLE,
            f"{found.unreached} are left, on hosts that are out of reach",
            "budget",
            "send it again later",
        )
    return Refusal(
        ErrorKind.BUDGET_EXHAUSTED,
        f"less than {request.bound} are left of the budget",
        "budget",
        "top up the budget, or ask for a shorter answer",
    )
