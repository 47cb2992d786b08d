"""Credits budgets up to the totals that the configuration sets."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from result import Ok

from cranberrywall.budgets.messages import LEDGER_CODEC, BudgetTotal, RaiseCredits
from cranberrywall.control import ledger_group
from cranberrywall.observability import log_event
from cranberrywall.replication import Group
from cranberrywall.runtime import Clock

CHECK_INTERVAL_S = 1.0
"""Interval in seconds between a leader's checks for totals that are not credited yet.

A check also follows each new configuration. The periodic checks are needed because a host may
become leader after the last configuration arrived.
"""

CREDIT_TIMEOUT_S = 2.0

OPERATOR = "configuration"

ReadTotals = Callable[[], Iterable[BudgetTotal]]

MAX_LOGGED_TOTALS = 20
"""Maximum number of totals in one log line."""


class CreditUpdater:
    """Task that credits budgets in the ledger groups that this control host leads.

    The totals come from this host's copy of the configuration. If the copy lags behind, a later
    check credits what is new. If two hosts lead a group for a short time, the second one finds
    nothing missing.
    """

    def __init__(self, groups: Sequence[Group], read: ReadTotals, clock: Clock) -> None:
        self._groups = groups
        self._read = read
        self._clock = clock
        self._changed = asyncio.Event()
        self._credited_by_budget: dict[str, int] = {}
        self._led_groups: set[str] = set()

    def on_configuration_change(self, revision: int) -> None:
        """Start a check immediately, because a new configuration is active."""
        self._changed.set()

    async def run(self) -> None:
        """Credit missing amounts until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            await self.credit_missing()

    async def credit_missing(self) -> None:
        """Credit what the budgets of the groups led by this host lack of their totals."""
        for group in self._groups:
            if not group.is_leader:
                self._led_groups.discard(group.name)
                continue
            if group.name not in self._led_groups:
                # Another host led the group before, so what this host credited in an earlier term
                # may be out of date.
                self._led_groups.add(group.name)
                self._credited_by_budget.clear()
            await self._credit_group(group)

    async def _credit_group(self, group: Group) -> None:
        missing = tuple(
            total
            for total in self._read()
            if ledger_group(total.budget, len(self._groups)) == group.name
            and self._credited_by_budget.get(total.budget, -1) < total.total
        )
        if not missing:
            return
        command = RaiseCredits(missing, OPERATOR, self._clock.wall())
        answer = await group.propose(LEDGER_CODEC.encode(command), CREDIT_TIMEOUT_S)
        is_credited = isinstance(answer, Ok)
        log_event(
            "INFO",
            "credits_raised",
            group=group.name,
            budgets=len(missing),
            totals=",".join(f"{item.budget}:{item.total}" for item in missing[:MAX_LOGGED_TOTALS]),
            ok=is_credited,
        )
        if is_credited:
            self._credited_by_budget.update((item.budget, item.total) for item in missing)
