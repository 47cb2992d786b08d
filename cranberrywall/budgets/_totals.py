"""Credit budgets up to the totals that the configuration names."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from result import Ok

from cranberrywall.budgets.messages import LEDGER_CODEC, BudgetTotal, RaiseCredits
from cranberrywall.control import ledger_group
from cranberrywall.observability import log_event
from cranberrywall.replication import Group
from cranberrywall.runtime import Clock

LOOK_EVERY_S = 1.0
"""A leader looks for totals that are not credited this often, in seconds, besides at once
after each new configuration: it may have been elected since the last one."""

RAISE_TIMEOUT_S = 2.0

OPERATOR = "configuration"

ReadTotals = Callable[[], Iterable[BudgetTotal]]


TOTALS_LOGGED = 20
"""Totals in one log line at most."""


class CreditUpdater:
    """Raise the credits of the ledger groups that this control host leads.

    The copy of the configuration on the same host tells the totals. Where it lags behind,
    the next look finds what came since; where two leaders overlap for a moment, the second
    finds nothing missing.
    """

    def __init__(self, groups: Sequence[Group], read: ReadTotals, clock: Clock) -> None:
        self._groups = groups
        self._read = read
        self._clock = clock
        self._changed = asyncio.Event()
        self._raised_by_budget: dict[str, int] = {}
        self._led: set[str] = set()

    def on_configuration_change(self, revision: int) -> None:
        """Look at once: a new configuration is in force."""
        self._changed.set()

    async def run(self) -> None:
        """Raise what is missing, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(LOOK_EVERY_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            await self.raise_missing()

    async def raise_missing(self) -> None:
        """Credit what the groups led here lack."""
        for group in self._groups:
            if not group.is_leader:
                self._led.discard(group.name)
                continue
            if group.name not in self._led:
                # Another host led meanwhile: what this one raised before says nothing.
                self._led.add(group.name)
                self._raised_by_budget.clear()
            await self._raise_in(group)

    async def _raise_in(self, group: Group) -> None:
        missing = tuple(
            total
            for total in self._read()
            if ledger_group(total.budget, len(self._groups)) == group.name
            and self._raised_by_budget.get(total.budget, -1) < total.total
        )
        if not missing:
            return
        command = RaiseCredits(missing, OPERATOR, self._clock.wall())
        answer = await group.propose(LEDGER_CODEC.encode(command), RAISE_TIMEOUT_S)
        is_raised = isinstance(answer, Ok)
        log_event(
            "INFO",
            "credits_raised",
            group=group.name,
            budgets=len(missing),
            totals=",".join(f"{one.budget}:{one.total}" for one in missing[:TOTALS_LOGGED]),
            ok=is_raised,
        )
        if is_raised:
            self._raised_by_budget.update((one.budget, one.total) for one in missing)
