"""Declare to the ledger how fast this host spends while it cannot report what it spends."""

from collections.abc import Callable, Sequence
from math import ceil

from result import Err

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._charge_replication import out_of_reach
from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._demand import SHORT_SCALE_S
from cranberrywall.errors import Refusal
from cranberrywall.observability import log_event

DEMAND_FACTOR = 2.0
"""Ratio of the declared rate to the mean rate of spending, for demand that rises in a partition."""

MAX_SPEND_TIME_S = 20.0
"""Time in seconds in which the lowest declared rate spends a holding.

A budget that was used little before a partition can be used in it.
"""

MIN_USED_S = 5.0
"""Minimum time in seconds over which a rate is averaged: one request is no rate."""

URGENT_RISE = 2.0
"""Ratio of a new rate to the declared one from which on a declaration may be urgent."""

SUPPORT_RETRY_DELAY_S = 5.0
"""Delay in seconds until the ledger group is asked again whether it supports declarations."""


def unreported_rate(allotment: Allotment, host_count: int, now: float) -> int | None:
    """Return the maximum rate to declare, in units per second; ``None`` if demand is unknown.

    Half of it follows this host's own spending, and half an even part of what all hosts spend: a
    host may get other hosts' callers in a partition. Together the hosts declare a multiple of what
    they spend. Requests are charged with their full bounds in a partition, so costs are converted.
    """
    total = allotment.total_demand.rate()
    own = allotment.spend_rate(host_count, now)
    if own <= 0.0 and total <= 0.0:
        return None
    demand = (own + total / max(1, host_count)) / 2.0 * allotment.bound_ratio
    demand *= _idle_correction(allotment, now)
    return ceil(max(DEMAND_FACTOR * demand, allotment.booked / MAX_SPEND_TIME_S))


def _idle_correction(allotment: Allotment, now: float) -> float:
    """Return by how much the mean rate is too low because the budget was not used at first."""
    if allotment.first_settled_at is None:
        return 1.0
    used_s = now - allotment.first_settled_at
    if used_s >= SHORT_SCALE_S:
        return 1.0
    return max(1.0, (now - allotment.created_at) / max(MIN_USED_S, used_s))


def is_urgent(allotment: Allotment, rate: int, host_count: int, now: float) -> bool:
    """Return whether ``rate`` should be declared before other hosts' turns are over.

    Only a budget that this host spends far faster than most others can be urgent. Few hosts have
    one, so their declarations are few, however many hosts there are.
    """
    declared = allotment.queue.reach.declared_rates.rate(allotment.budget)
    if declared is not None and rate < URGENT_RISE * declared:
        return False
    return allotment.is_concentrated(host_count, now)


class RateDeclarations:
    """Keep the declared rates of one ledger group up to date."""

    def __init__(self, queue: ChargeQueue, host_count: Callable[[], int]) -> None:
        """Create the declarations; ``host_count`` returns the number of hosts that are alive."""
        self._queue = queue
        self._host_count = host_count
        self._is_supported = False
        self._ask_at = float("-inf")

    async def update(
        self, allotments: Sequence[Allotment], now: float, is_due: bool = True
    ) -> None:
        """Declare the rates of ``allotments`` that changed, if the group supports that.

        Unless it ``is_due``, only urgent rates are declared.
        """
        queue = self._queue
        if not queue.reach.is_bounded or not queue.in_reach:
            return
        rate_by_budget = self._rates(allotments, now, is_due)
        if not rate_by_budget or not await self._check_support(now):
            return
        answer = await queue.declare_rates(rate_by_budget)
        if isinstance(answer, Err):
            await self._record_failure(answer.err_value)
            return
        log_event("INFO", "spend_rates_declared", group=queue.group, budgets=len(rate_by_budget))

    def _rates(self, allotments: Sequence[Allotment], now: float, is_due: bool) -> dict[str, int]:
        host_count = self._host_count()
        wanted = {}
        for allotment in allotments:
            if allotment.queue is not self._queue or allotment.booked <= 0:
                continue
            rate = unreported_rate(allotment, host_count, now)
            if rate is not None and (is_due or is_urgent(allotment, rate, host_count, now)):
                wanted[allotment.budget] = rate
        return self._queue.reach.declared_rates.outdated(wanted)

    async def _check_support(self, now: float) -> bool:
        """Return whether all members of the group store declared rates.

        A member of an older build would free other amounts of a lost holder than the rest.
        """
        if not self._is_supported and now >= self._ask_at:
            self._ask_at = now + SUPPORT_RETRY_DELAY_S
            self._is_supported = await self._queue.supports_declared_rates()
        return self._is_supported

    async def _record_failure(self, refusal: Refusal) -> None:
        log_event("INFO", "declaration_failed", group=self._queue.group, kind=refusal.kind)
        if out_of_reach(refusal):
            await self._queue.mark_out_of_reach(refusal)
