"""Review a host's allotments at intervals: draw ahead, and return what is not needed."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from functools import partial
from typing import Any

from result import Err, Ok

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._charge_replication import out_of_reach
from cranberrywall.budgets._claims import Claim
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._interfaces import EntryHost, Peers
from cranberrywall.budgets._ledger_commands import LedgerCommands
from cranberrywall.budgets._sizing import (
    HIGH_BAND,
    LOW_BAND,
    MAX_FIRST_PARTS,
    SpendRates,
    max_parts,
    preferred_holders,
    share_of_place,
    target_amount,
    view_of,
)
from cranberrywall.budgets._transfers import TransferRecipient
from cranberrywall.budgets.messages import BudgetQuery
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

REVIEW_INTERVAL_S = 5.0
CHECK_TIMEOUT_S = 1.0
# Amounts that become spendable within this time, in seconds, are returned in one step.
SURPLUS_RETURN_DELAY_S = 0.05
# The ledger's sums of a budget in use are requested again after this time, in seconds. Other hosts
# return and lose money meanwhile, and in a network partition no isolated host can get what is free
# at the ledger.
MIN_VIEW_AGE_S = 5.0
# For this, all hosts together send the ledger this many draws a second, over all budgets.
MAX_VIEWS_PER_S = 16.0
# Minimum interval between draws that reservations trigger when an allotment runs low, in seconds.
MIN_DRAW_AHEAD_INTERVAL_S = 0.5
# Minimum number of settled requests after which a host's rate of spending is trusted so far that it
# takes money from others.
MIN_SETTLED_TO_COLLECT = 20
# Maximum number of hosts that are asked at the same time.
MAX_ASKED_AT_ONCE = 8


class Reviewer:
    """Keep each allotment near its target amount while the ledger is in reach."""

    def __init__(
        self,
        host: str,
        place: str,
        ledger: LedgerClient,
        recipient: TransferRecipient,
        steps: LedgerCommands,
        peers: Peers,
        entry_hosts: Callable[[], Sequence[EntryHost]],
        host_mean_bound: Callable[[], float],
        count_budgets: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Create a reviewer; ``host_mean_bound`` returns the mean bound of this host's requests.

        It returns 0 before any request. ``count_budgets`` returns the number of budgets of which
        this host holds anything.
        """
        self._host_mean_bound = host_mean_bound
        self._count_budgets = count_budgets
        self._host = host
        self._place = place
        self._entry_hosts = entry_hosts
        self._ledger = ledger
        self._recipient = recipient
        self._steps = steps
        self._peers = peers
        self._clock = clock
        self._task_by_budget: dict[str, asyncio.Task[None]] = {}
        self._next_draw_at: dict[str, float] = {}
        self._ranked_hosts: list[str] = []
        self._rank_by_budget: dict[str, int] = {}

    def missing_amount(self, allotment: Allotment) -> int:
        """Return how much more this host should hold; never negative."""
        return max(0, self.target_amount(allotment) - allotment.booked)

    def wanted_amount(self, allotment: Allotment, asked_count: int) -> int:
        """Return how much to take from each of ``asked_count`` hosts if this host runs short now.

        Hosts that ask for more than they are short of use up what the others may give in a
        partition. Only a host that spends far more than an even part takes ahead of its need, and
        at least as much as its requests in progress use.
        """
        missing = self.missing_amount(allotment)
        if self._is_concentrated(allotment):
            return max(missing, allotment.reserved + allotment.charging) // asked_count
        return missing if asked_count == 1 else 0

    def _is_concentrated(self, allotment: Allotment) -> bool:
        return allotment.is_concentrated(len(self._hosts()), self._clock.now())

    def _left(self, allotment: Allotment) -> float:
        """Return the estimated amount that is not charged yet."""
        view = allotment.view
        if view is None:
            return 0.0
        return max(0.0, view.left - allotment.total_demand.rate() * (self._clock.now() - view.at))

    def holder_count(self, allotment: Allotment) -> int:
        """Return how many hosts should hold a part of the budget."""
        return min(len(self._hosts()), self._parts(allotment, self._left(allotment)))

    def _parts(self, allotment: Allotment, left: float) -> int:
        request = allotment.mean_bound or self._host_mean_bound()
        return max_parts(left, allotment.policy.held_back, request)

    def target_amount(self, allotment: Allotment) -> int:
        """Return the amount that this host should hold, including open reservations."""
        if allotment.view is None:
            return 0
        left = self._left(allotment)
        held_back = allotment.policy.held_back
        hosts = self._hosts()
        parts = self._parts(allotment, left)
        if parts < len(hosts):
            # Equal parts would be too small to serve any request. A few hosts hold all, and the
            # others ask them.
            is_preferred = self._is_preferred(allotment.budget, hosts, parts)
            return int(left * (1.0 - held_back) / parts) if is_preferred else 0
        own = allotment.spend_rate(len(hosts), self._clock.now())
        rates = self._rates(own, allotment.total_demand.rate())
        return target_amount(left, rates, held_back)

    def _is_preferred(self, budget: str, hosts: list[str], parts: int) -> bool:
        """Return whether this host is among the first ``parts`` holders of a budget."""
        if hosts != self._ranked_hosts:
            self._ranked_hosts = hosts
            self._rank_by_budget.clear()
        rank = self._rank_by_budget.get(budget)
        if rank is None:
            order = preferred_holders(budget, hosts)
            rank = order.index(self._host) if self._host in order else len(order)
            self._rank_by_budget[budget] = rank
        return rank < parts

    def _holds_first_part(self, allotment: Allotment) -> bool:
        """Return whether this host should hold a part of a budget before any request of it."""
        hosts = self._hosts()
        return len(hosts) <= MAX_FIRST_PARTS or self._is_preferred(
            allotment.budget, hosts, MAX_FIRST_PARTS
        )

    def _view_age_s(self) -> float:
        views = self._count_budgets() * len(self._hosts())
        return max(MIN_VIEW_AGE_S, views / MAX_VIEWS_PER_S)

    def _hosts(self) -> list[str]:
        alive = {peer.host for peer in self._peers.alive()} | {self._host}
        return [one.host for one in self._entry_hosts() if one.host in alive] or [self._host]

    def _rates(self, own: float, total: float) -> SpendRates:
        alive = {peer.host for peer in self._peers.alive()} | {self._host}
        entry_hosts = [one for one in self._entry_hosts() if one.host in alive]
        same_place = [one for one in entry_hosts if one.place == self._place]
        return SpendRates(
            own,
            total,
            max(1, len(entry_hosts)),
            max(1, len(same_place)),
            share_of_place(self._host, same_place),
        )

    def draw_ahead(self, allotment: Allotment) -> None:
        """Start a draw in the background, unless one is in flight or started a moment ago."""
        now = self._clock.now()
        budget = allotment.budget
        if budget in self._task_by_budget or now < self._next_draw_at.get(budget, now):
            return
        self._next_draw_at[budget] = now + MIN_DRAW_AHEAD_INTERVAL_S
        self._start(allotment, self._draw(allotment))

    def _start(self, allotment: Allotment, step: Coroutine[Any, Any, None]) -> None:
        """Run a step of the budget in the background; there must be none in flight."""
        task = asyncio.create_task(step)
        self._task_by_budget[allotment.budget] = task
        task.add_done_callback(lambda _: self._task_by_budget.pop(allotment.budget, None))

    async def review(self, allotment: Allotment) -> None:
        """Bring one allotment near its target amount."""
        now = self._clock.now()
        if allotment.settled_since_review and allotment.first_settled_at is None:
            allotment.first_settled_at = allotment.demand.updated_at
        allotment.demand.add(allotment.settled_since_review, now)
        allotment.settled_since_review = 0
        if not allotment.queue.in_reach:
            return
        if allotment.reservation_queue is not None:
            self._collect_in_background(allotment)
            return
        if isinstance(await self._steps.resend_pending(allotment), Err):
            return
        if now < allotment.checked_until:
            await self._check(allotment)
        view = allotment.view
        if view is None and not self._holds_first_part(allotment):
            # With hundreds of hosts, each of them drawing a part of each budget as it starts takes
            # the ledger thousands of commands, most of which are returns of what was drawn.
            return
        used = allotment.used_since_view
        if view is None or (used and now - view.at >= self._view_age_s()):
            self.draw_ahead(allotment)
            return
        desired_amount = self.target_amount(allotment)
        self._update_surplus_return(allotment, desired_amount)
        if self._is_low(allotment) and view.free > 0:
            self.draw_ahead(allotment)
        elif allotment.booked > HIGH_BAND * desired_amount:
            await self._give_back(allotment, allotment.booked - desired_amount)
        else:
            self._collect_in_background(allotment)

    def _update_surplus_return(self, allotment: Allotment, desired_amount: int) -> None:
        """Return money to the ledger as soon as it is spendable, if this host should hold none."""
        if desired_amount == 0 and allotment.mean_bound > 0.0:
            allotment.on_surplus = partial(self._return_surplus, allotment)
        else:
            allotment.on_surplus = None

    def recheck_surplus(self, allotment: Allotment) -> None:
        """Check again whether this host should hold anything, since the ledger has nothing free."""
        self._update_surplus_return(allotment, self.target_amount(allotment))

    def _return_surplus(self, allotment: Allotment) -> None:
        if allotment.budget in self._task_by_budget or not allotment.queue.in_reach:
            return
        self._start(allotment, self._return_all(allotment))

    async def _return_all(self, allotment: Allotment) -> None:
        await self._clock.sleep(SURPLUS_RETURN_DELAY_S)
        if allotment.reservation_queue is None and allotment.on_surplus is not None:
            await self._give_back(allotment, allotment.spendable)

    def _collect_in_background(self, allotment: Allotment) -> None:
        if self._holds_too_little(allotment) and allotment.budget not in self._task_by_budget:
            self._start(allotment, self._collect(allotment))

    def _holds_too_little(self, allotment: Allotment) -> bool:
        """Return whether this host holds so little that it should take from others."""
        if allotment.settled_count < MIN_SETTLED_TO_COLLECT:
            return False
        return (
            self._is_concentrated(allotment) and self.missing_amount(allotment) > allotment.booked
        )

    async def _collect(self, allotment: Allotment) -> None:
        """Take from the other holders what this host should hold, as the ledger has nothing free.

        No host may run short before a partition, or it would collect during it from hosts that may
        give little then.
        """
        answer = await self._ledger.budget(BudgetQuery(allotment.budget), CHECK_TIMEOUT_S)
        if isinstance(answer, Err):
            return
        sums = answer.ok_value
        allotment.update_view(view_of(sums, self._clock.now()))
        missing = self.missing_amount(allotment)
        if missing <= allotment.booked:
            return
        alive = {peer.host: peer for peer in self._peers.alive()}
        holders = [
            alive[held.holder.host]
            for held in sorted(sums.held, key=lambda held: -held.outstanding)
            if held.holder.host != self._host and held.holder.host in alive
        ]
        part = missing // max(1, len(holders))
        log_event("INFO", "collection_started", budget=allotment.budget, amount=missing)
        for start in range(0, len(holders), MAX_ASKED_AT_ONCE):
            batch = holders[start : start + MAX_ASKED_AT_ONCE]
            if not allotment.queue.in_reach:
                return
            await asyncio.gather(
                *(self._recipient.take(peer, allotment, part, 1) for peer in batch)
            )

    async def _check(self, allotment: Allotment) -> None:
        """Claim amounts that peers gave but whose answers this host did not receive."""
        await self._recipient.repeat_unanswered(self._peers.alive(), allotment)
        claim = Claim(allotment)
        answer = await self._ledger.budget(BudgetQuery(allotment.budget), CHECK_TIMEOUT_S)
        if isinstance(answer, Ok) and claim.add_missing(answer.ok_value):
            self._recipient.discard_unanswered(allotment.budget)

    def stop(self) -> None:
        """Cancel draws in flight; each is repeated under its number later."""
        for task in list(self._task_by_budget.values()):
            task.cancel()

    def _is_low(self, allotment: Allotment) -> bool:
        return allotment.booked < LOW_BAND * self.target_amount(allotment)

    async def _draw(self, allotment: Allotment) -> None:
        queue = allotment.queue
        if not queue.in_reach:
            return
        if allotment.reservation_queue is not None:
            # The search for money draws what is free.
            if self._holds_too_little(allotment):
                await self._collect(allotment)
            return
        answer = await self._steps.draw(allotment, self.missing_amount(allotment), 1)
        if isinstance(answer, Ok) and answer.ok_value.free and self._is_low(allotment):
            # Only the answer has the current total. This host should hold a share of it.
            answer = await self._steps.draw(allotment, self.missing_amount(allotment), 1)
        if isinstance(answer, Err):
            if out_of_reach(answer.err_value):
                await queue.mark_out_of_reach(answer.err_value)
            return
        self._update_surplus_return(allotment, self.target_amount(allotment))
        allotment.low_watermark = allotment.spendable // 4
        if answer.ok_value.free == 0:
            # Nothing more can be drawn. If money runs short, the search for money handles that.
            allotment.low_watermark = 0
            if self._holds_too_little(allotment):
                await self._collect(allotment)

    async def _give_back(self, allotment: Allotment, amount: int) -> None:
        answer = await self._steps.give_back(allotment, amount)
        if isinstance(answer, Err):
            log_event("INFO", "return_failed", budget=allotment.budget, kind=answer.err_value.kind)
