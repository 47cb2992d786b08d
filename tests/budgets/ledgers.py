"""Helper for the ledger's tests: drives a ledger state machine with typed messages."""

from typing import Any

from cranberrywall.budgets.ledger import IdLimits, make_ledger_machine
from cranberrywall.budgets.messages import (
    LEDGER_CODEC,
    BudgetQuery,
    BudgetResult,
    Charge,
    ChargeBatch,
    ChargeOutcome,
    Credit,
    Draw,
    Holder,
)

NOW = 1_793_000_000.0
A1, A2 = Holder("entry-a", 1), Holder("entry-a", 2)
B1, C1 = Holder("entry-b", 1), Holder("entry-c", 1)


class Ledger:
    """A ledger state machine with methods for the usual messages."""

    def __init__(self, limits: IdLimits | None = None) -> None:
        self._limits = limits
        self.machine = make_ledger_machine(limits)

    def apply(self, message: Any) -> Any:
        return LEDGER_CODEC.decode(self.machine.apply(LEDGER_CODEC.encode(message)))

    def query(self, message: Any) -> Any:
        return LEDGER_CODEC.decode(self.machine.query(LEDGER_CODEC.encode(message)))

    def restart(self) -> None:
        snapshot = self.machine.snapshot()
        self.machine = make_ledger_machine(self._limits)
        self.machine.restore(snapshot)

    def credit(self, amount: int, change: str = "c1", budget: str = "desk", at: float = NOW) -> Any:
        return self.apply(Credit(budget, "clerks", "tokens", amount, change, "ann", at))

    def draw(self, holder: Holder, number: int, amount: int, minimum: int = 1) -> Any:
        return self.apply(Draw("desk", holder, number, amount, minimum, NOW))

    def charge(
        self,
        holder: Holder,
        request: str,
        number: int,
        amount: int,
        reserved_at: float = NOW,
        at: float = NOW,
    ) -> ChargeOutcome:
        charge = Charge("desk", "clerks", request, number, amount, reserved_at)
        outcome: ChargeOutcome = self.apply(ChargeBatch(holder, (charge,), at)).outcomes[0]
        return outcome

    def sums(self, budget: str = "desk") -> BudgetResult:
        result = self.query(BudgetQuery(budget))
        assert isinstance(result, BudgetResult), result
        parts = result.charged + result.outstanding + result.in_doubt + result.free
        assert result.credited == parts
        assert min(result.charged, result.outstanding, result.in_doubt, result.free) >= 0
        return result
