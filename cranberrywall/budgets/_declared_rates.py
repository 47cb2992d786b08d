"""Maximum rates of unreported spend that a holder has declared to a ledger group."""

from collections.abc import Mapping

MAX_RATE_DEVIATION = 1.25
"""A rate is declared again if it is off by more than this factor.

Rates fluctuate with each request, and each declaration is a command of the group.
"""


class DeclaredRates:
    """Declared rates in units per second, by budget.

    A declaration or its answer may be lost. Until a later one is answered, the lowest rate that the
    ledger may have is observed.
    """

    __slots__ = ("_confirmed", "_unconfirmed")

    def __init__(self) -> None:
        self._confirmed: dict[str, int] = {}
        self._unconfirmed: dict[str, int] = {}

    def rate(self, budget: str) -> int | None:
        """Return the rate that the host may not exceed; ``None`` if it declared none.

        >>> declared = DeclaredRates()
        >>> declared.record_sent({"main": 7})
        >>> declared.rate("main"), declared.rate("other")
        (7, None)
        """
        rates = [
            rate_by_budget[budget]
            for rate_by_budget in (self._confirmed, self._unconfirmed)
            if budget in rate_by_budget
        ]
        return min(rates, default=None)

    def outdated(self, rate_by_budget: Mapping[str, int]) -> dict[str, int]:
        """Return the rates of ``rate_by_budget`` that the ledger does not have, or not closely."""
        return {
            budget: rate
            for budget, rate in rate_by_budget.items()
            if budget in self._unconfirmed or self._is_outdated(budget, rate)
        }

    def _is_outdated(self, budget: str, rate: int) -> bool:
        confirmed = self._confirmed.get(budget)
        if confirmed is None:
            return True
        return max(rate, confirmed) > MAX_RATE_DEVIATION * min(rate, confirmed)

    def record_sent(self, rate_by_budget: Mapping[str, int]) -> None:
        """Record that rates are sent now."""
        for budget, rate in rate_by_budget.items():
            self._unconfirmed[budget] = min(rate, self._unconfirmed.get(budget, rate))

    def record_answer(self, rate_by_budget: Mapping[str, int]) -> None:
        """Record that the ledger has the rates that were sent last."""
        for budget, rate in rate_by_budget.items():
            self._confirmed[budget] = rate
            self._unconfirmed.pop(budget, None)
