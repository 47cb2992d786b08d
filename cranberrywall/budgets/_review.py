"""Look over a host's allotments now and then: draw ahead, return what is not needed."""

import asyncio
from collections.abc import Callable, Sequence
from functools import partial

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
    Rates,
    homes,
    part_in_place,
    parts_of,
    target,
)
from cranberrywall.budgets._transfers import TransferRecipient
from cranberrywall.budgets.messages import BudgetQuery
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

REVIEW_INTERVAL_S = 5.0
CHECK_TIMEOUT_S = 1.0
# What comes free within this time is returned in one step.
SURPLUS_WAIT_S = 0.05
# The ledger's sums are asked for again after this time, in seconds, where the budget was used.
# Others return and lose money meanwhile, and a cut keeps from all what is free at the ledger.
LEAST_VIEW_AGE_S = 5.0
# Hosts together draw so often a second for it, over all budgets that they hold.
VIEWS_PER_S = 16.0
# A fast path that runs low asks at most this often.
DRAW_AHEAD_GAP_S = 0.5


class Reviewer:
    """Keep each allotment near its target while the ledger is in reach."""

    def __init__(
        self,
        host: str,
        place: str,
        ledger: LedgerClient,
        taker: TransferRecipient,
        steps: LedgerCommands,
        peers: Peers,
        entry_hosts: Callable[[], Sequence[EntryHost]],
        usual_bound: Callable[[], float],
        count_budgets: Callable[[], int],
        clock: Clock,
    ) -> None:
        """``usual_bound`` returns the mean bound of this host's requests, 0 before any.

        ``count_budgets`` returns of how many budgets this host holds anything.
        """
        self._usual_bound = usual_bound
        self._count_budgets = count_budgets
        self._host = host
        self._place = place
        self._entry_hosts = entry_hosts
        self._ledger = ledger
        self._taker = taker
        self._steps = steps
        self._peers = peers
        self._clock = clock
        self._drawing: dict[str, asyncio.Task[None]] = {}
        self._next_draw_at: dict[str, float] = {}

    def wanted(self, allotment: Allotment) -> int:
        """Return how much more this host should hold; not negative."""
        return max(0, self.target(allotment) - allotment.booked)

    def target(self, allotment: Allotment) -> int:
        """Return what this host should hold, open reservations included."""
        view = allotment.view
        if view is None:
            return 0
        now = self._clock.now()
        total = allotment.total_demand.rate()
        left = max(0.0, view.left - total * (now - view.at))
        held_back = allotment.policy.held_back
        hosts = self._hosts()
        parts = parts_of(left, held_back, allotment.mean_bound or self._usual_bound())
        if parts < len(hosts):
            # In equal parts it would serve nobody: a few hosts hold it, and others ask them.
            is_home = self._host in homes(allotment.budget, hosts)[:parts]
            return int(left * (1.0 - held_back) / parts) if is_home else 0
        return target(left, self._rates(allotment.demand.rate(), total), held_back)

    def _view_age_s(self) -> float:
        views = self._count_budgets() * len(self._hosts())
        return max(LEAST_VIEW_AGE_S, views / VIEWS_PER_S)

    def _hosts(self) -> list[str]:
        alive = {peer.host for peer in self._peers.alive()} | {self._host}
        return [one.host for one in self._entry_hosts() if one.host in alive] or [self._host]

    def _rates(self, own: float, total: float) -> Rates:
        alive = {peer.host for peer in self._peers.alive()} | {self._host}
        entry_hosts = [one for one in self._entry_hosts() if one.host in alive]
        near = [one for one in entry_hosts if one.place == self._place]
        return Rates(
            own,
            total,
            max(1, len(entry_hosts)),
            max(1, len(near)),
            part_in_place(self._host, near),
        )

    def draw_ahead(self, allotment: Allotment) -> None:
        """Begin a draw in the background, unless one was begun a moment ago."""
        now = self._clock.now()
        budget = allotment.budget
        if budget in self._drawing or now < self._next_draw_at.get(budget, 0.0):
            return
        self._next_draw_at[budget] = now + DRAW_AHEAD_GAP_S
        task = asyncio.create_task(self._draw(allotment))
        self._drawing[budget] = task
        task.add_done_callback(lambda _: self._drawing.pop(budget, None))

    async def review(self, allotment: Allotment) -> None:
        """Bring one allotment near its target."""
        now = self._clock.now()
        allotment.demand.add(allotment.settled_since_review, now)
        allotment.settled_since_review = 0
        if not allotment.queue.in_reach or allotment.scarce is not None:
            return
        if isinstance(await self._steps.resend_pending(allotment), Err):
            return
        if now < allotment.checked_until:
            await self._check(allotment)
        view = allotment.view
        used = allotment.used_since_view
        if view is None or (used and now - view.at >= self._view_age_s()):
            self.draw_ahead(allotment)
            return
        aim = self.target(allotment)
        self._watch_surplus(allotment, aim)
        if self._is_low(allotment) and view.free > 0:
            self.draw_ahead(allotment)
        elif allotment.booked > HIGH_BAND * aim:
            await self._give_back(allotment, allotment.booked - aim)

    def _watch_surplus(self, allotment: Allotment, aim: int) -> None:
        """Have money that comes free returned at once, where nothing should be held.

        The last of a budget would else lie in parts too small for any request, on as many
        hosts as there are.
        """
        if aim == 0 and allotment.mean_bound > 0.0:
            allotment.on_surplus = partial(self._return_surplus, allotment)
        else:
            allotment.on_surplus = None

    def note_scarce(self, allotment: Allotment) -> None:
        """Look anew, as the ledger has nothing free, whether anything should be held."""
        self._watch_surplus(allotment, self.target(allotment))

    def _return_surplus(self, allotment: Allotment) -> None:
        if allotment.budget in self._drawing or not allotment.queue.in_reach:
            return
        task = asyncio.create_task(self._return_all(allotment))
        self._drawing[allotment.budget] = task
        task.add_done_callback(lambda _: self._drawing.pop(allotment.budget, None))

    async def _return_all(self, allotment: Allotment) -> None:
        await self._clock.sleep(SURPLUS_WAIT_S)
        if allotment.scarce is None and allotment.on_surplus is not None:
            await self._give_back(allotment, allotment.spendable)

    async def _check(self, allotment: Allotment) -> None:
        """Take up what peers gave without this host hearing of it."""
        await self._taker.ask_again(self._peers.alive(), allotment)
        claim = Claim(allotment)
        answer = await self._ledger.budget(BudgetQuery(allotment.budget), CHECK_TIMEOUT_S)
        if isinstance(answer, Ok) and claim.take_up(answer.ok_value):
            self._taker.forget_unanswered(allotment.budget)

    def stop(self) -> None:
        """End the draws that are under way; each is repeated by its number later."""
        for task in list(self._drawing.values()):
            task.cancel()

    def _is_low(self, allotment: Allotment) -> bool:
        return allotment.booked < LOW_BAND * self.target(allotment)

    async def _draw(self, allotment: Allotment) -> None:
        if allotment.scarce is not None:
            return
        queue = allotment.queue
        if not queue.in_reach:
            return
        answer = await self._steps.draw(allotment, self.wanted(allotment), 1)
        if isinstance(answer, Ok) and answer.ok_value.free and self._is_low(allotment):
            # Only the answer tells how much there is now to hold a share of.
            answer = await self._steps.draw(allotment, self.wanted(allotment), 1)
        if isinstance(answer, Err):
            if out_of_reach(answer.err_value):
                await queue.lost(answer.err_value)
            return
        self._watch_surplus(allotment, self.target(allotment))
        allotment.low = allotment.spendable // 4
        if answer.ok_value.free == 0:
            # Nothing more can be drawn: running low is for the search to handle.
            allotment.low = 0

    async def _give_back(self, allotment: Allotment, amount: int) -> None:
        answer = await self._steps.give_back(allotment, amount)
        if isinstance(answer, Err):
            log_event("INFO", "return_failed", budget=allotment.budget, kind=answer.err_value.kind)
