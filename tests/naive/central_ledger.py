"""A ledger group as simple as can be: dictionaries, no retention, no closing."""

from typing import Any

from cranberrywall.budgets import messages as m


class NaiveLedger:
    """Apply the commands that entry hosts send; check the invariant after each."""

    def __init__(self) -> None:
        self.credited: dict[str, int] = {}
        self.held: dict[str, dict[m.Holder, int]] = {}
        self.charges: dict[str, dict[tuple[str, str], int]] = {}
        self.charge_by_number: dict[tuple[m.Holder, str, int], m.ChargeOutcome] = {}
        self.answer_by_step: dict[tuple[Any, ...], Any] = {}
        self.incarnation: dict[str, int] = {}
        self.applied: dict[str, int] = {}

    def charged(self, budget: str) -> int:
        return sum(self.charges.get(budget, {}).values())

    def outstanding(self, budget: str) -> int:
        return sum(self.held.get(budget, {}).values())

    def free(self, budget: str) -> int:
        return self.credited.get(budget, 0) - self.charged(budget) - self.outstanding(budget)

    def apply(self, command: bytes) -> bytes:
        message = m.LEDGER_CODEC.decode(command)
        name = type(message).__name__
        self.applied[name] = self.applied.get(name, 0) + 1
        result = getattr(self, f"_{name.lower()}")(message)
        for budget in self.credited:
            assert self.free(budget) >= 0, f"{budget} is overspent by {message}"
        return m.LEDGER_CODEC.encode(result)

    def query(self, query: bytes) -> bytes:
        message = m.LEDGER_CODEC.decode(query)
        if isinstance(message, m.RecallsQuery):
            return m.LEDGER_CODEC.encode(m.RecallsResult(()))
        budget = message.budget
        held = tuple(
            m.HeldAmount(holder, amount, 0.0)
            for holder, amount in self.held.get(budget, {}).items()
            if amount > 0
        )
        sums = (self.credited.get(budget, 0), self.charged(budget), self.outstanding(budget), 0)
        result = m.BudgetResult(budget, "tokens", *sums, self.free(budget), held)
        return m.LEDGER_CODEC.encode(result)

    def snapshot(self) -> bytes:
        raise NotImplementedError

    def restore(self, snapshot: bytes) -> None:
        raise NotImplementedError

    def _credit(self, credit: m.Credit) -> Any:
        key = ("credit", credit.change_id)
        if key not in self.answer_by_step:
            self.answer_by_step[key] = m.Accepted()
            self.credited[credit.budget] = self.credited.get(credit.budget, 0) + credit.amount
            self.held.setdefault(credit.budget, {})
            self.charges.setdefault(credit.budget, {})
        return m.Accepted()

    def _draw(self, draw: m.Draw) -> Any:
        if draw.budget not in self.credited:
            return m.Rejected("not_found", "no such budget", "budget")
        if self._is_old(draw.holder):
            return m.Rejected("conflict", "a later incarnation is registered", "holder")
        key = ("draw", draw.budget, draw.holder, draw.number)
        if key not in self.answer_by_step:
            granted = min(draw.amount, self.free(draw.budget))
            granted = granted if granted >= draw.minimum else 0
            held = self.held[draw.budget]
            held[draw.holder] = held.get(draw.holder, 0) + granted
            self.answer_by_step[key] = m.DrawResult(
                granted,
                self.free(draw.budget),
                self.outstanding(draw.budget),
                self.credited[draw.budget],
                self.charged(draw.budget),
                len(held),
            )
        return self.answer_by_step[key]

    def _return(self, step: m.Return) -> Any:
        key = ("return", step.budget, step.holder, step.number)
        if key not in self.answer_by_step:
            self.answer_by_step[key] = m.Accepted()
            self.held[step.budget][step.holder] -= step.amount
            assert self.held[step.budget][step.holder] >= 0
        return m.Accepted()

    def _chargebatch(self, batch: m.ChargeBatch) -> Any:
        return m.ChargeBatchResult(
            tuple(self._charge(batch.holder, charge) for charge in batch.charges)
        )

    def _charge(self, holder: m.Holder, charge: m.Charge) -> m.ChargeOutcome:
        key = (holder, charge.budget, charge.number)
        if key not in self.charge_by_number:
            self.charge_by_number[key] = self._first(holder, charge)
        return self.charge_by_number[key]

    def _first(self, holder: m.Holder, charge: m.Charge) -> m.ChargeOutcome:
        billed = self.charges[charge.budget]
        if (charge.workspace, charge.request_id) in billed:
            return m.ChargeOutcome.DUPLICATE
        held = self.held[charge.budget]
        from_holder = min(charge.amount, held.get(holder, 0))
        if charge.amount > from_holder + self.free(charge.budget):
            return m.ChargeOutcome.IN_DOUBT
        held[holder] = held.get(holder, 0) - from_holder
        billed[charge.workspace, charge.request_id] = charge.amount
        return m.ChargeOutcome.BILLED

    def _transfer(self, transfer: m.Transfer) -> Any:
        key = ("transfer", transfer.budget, transfer.giver, transfer.giver_number)
        if key not in self.answer_by_step:
            held = self.held[transfer.budget]
            from_giver = min(transfer.amount, held.get(transfer.giver, 0))
            held[transfer.giver] = held.get(transfer.giver, 0) - from_giver
            moved = min(transfer.amount, from_giver + self.free(transfer.budget))
            if not self._is_old(transfer.taker):
                held[transfer.taker] = held.get(transfer.taker, 0) + moved
            self.answer_by_step[key] = m.TransferResult(moved)
        return self.answer_by_step[key]

    def _registerholder(self, register: m.RegisterHolder) -> Any:
        host, incarnation = register.holder
        self.incarnation[host] = max(incarnation, self.incarnation.get(host, 0))
        released = 0
        for held in self.held.values():
            for holder in [one for one in held if one.host == host]:
                if holder.incarnation < incarnation and register.delivered:
                    released += held.pop(holder)
        return m.RegisterResult(released, 0)

    def _is_old(self, holder: m.Holder) -> bool:
        return holder.incarnation < self.incarnation.get(holder.host, 0)
