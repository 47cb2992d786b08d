"""One budget's ledger that keeps every message for ever and adds everything up anew."""

from collections import defaultdict
from typing import Any

from cranberrywall.budgets.messages import (
    ChargeOutcome,
    ConfirmDead,
    Draw,
    Holder,
    RegisterHolder,
    Return,
    Transfer,
)

Move = tuple[str, Holder | None, int]


class NaiveLedger:
    """Decide from the list of all moves; ``None`` as holder stands for what is free."""

    def __init__(self) -> None:
        self.moves: list[Move] = []
        self.credit_by_change: dict[str, int] = {}
        self.answers: dict[Any, Any] = {}
        self.billed: dict[str, tuple[Holder, int, int]] = {}
        self.doubts: dict[tuple[Holder, int], int] = {}
        self.latest: dict[str, int] = defaultdict(lambda: -1)
        self.dead: set[Holder] = set()
        self.holders: set[Holder] = set()

    def held_by(self, holder: Holder) -> int:
        return sum(amount for _, who, amount in self.moves if who == holder)

    @property
    def credited(self) -> int:
        return sum(self.credit_by_change.values())

    @property
    def charged(self) -> int:
        return sum(amount for _, _, amount in self.billed.values())

    @property
    def outstanding(self) -> int:
        return sum(amount for _, _, amount in self.moves)

    @property
    def in_doubt(self) -> int:
        return sum(self.doubts.values())

    @property
    def free(self) -> int:
        return self.credited - self.charged - self.outstanding - self.in_doubt

    def may_draw(self, holder: Holder) -> bool:
        return holder.incarnation >= self.latest[holder.host] and holder not in self.dead

    def note(self, holder: Holder) -> None:
        self.latest[holder.host] = max(self.latest[holder.host], holder.incarnation)

    def credit(self, change_id: str, amount: int) -> None:
        self.credit_by_change.setdefault(change_id, amount)

    def draw(self, command: Draw) -> int | None:
        """Return what is granted, or ``None`` where the draw is rejected."""
        holder = command.holder
        if not self.may_draw(holder):
            return None
        self.note(holder)
        self.holders.add(holder)
        answered = [key for key in self.answers if key[:2] == ("draw", holder)]
        if any(key[2] > command.number for key in answered):
            return None
        key = ("draw", holder, command.number)
        if key not in self.answers:
            granted = min(command.amount, self.free)
            self.answers[key] = granted if granted >= max(1, command.minimum) else 0
            self.moves.append(("draw", holder, self.answers[key]))
        granted_before: int = self.answers[key]
        return granted_before

    def give_back(self, command: Return) -> bool:
        """Return whether the command is accepted."""
        holder = command.holder
        numbers = [key[2] for key in self.answers if key[:2] == ("return", holder)]
        if holder not in self.holders or command.number <= max(numbers, default=0):
            return True
        if command.amount > self.held_by(holder):
            return False
        self.answers["return", holder, command.number] = True
        self.moves.append(("return", holder, -command.amount))
        return True

    def charge(self, holder: Holder, request: str, number: int, amount: int) -> ChargeOutcome:
        self.note(holder)
        if (holder, number, request) in self.answers:
            outcome: ChargeOutcome = self.answers[holder, number, request]
            return outcome
        outcome = self._first_charge(holder, request, number, amount)
        self.answers[holder, number, request] = outcome
        return outcome

    def _first_charge(
        self, holder: Holder, request: str, number: int, amount: int
    ) -> ChargeOutcome:
        taken = min(amount, max(0, self.held_by(holder)))
        if request in self.answers:
            return ChargeOutcome.DUPLICATE
        self.answers[request] = holder
        if amount > taken + self.free:
            self.doubts[holder, number] = taken + self.free
            self.moves.append(("doubt", holder, -taken))
            return ChargeOutcome.IN_DOUBT
        self.billed[request] = (holder, number, amount)
        self.moves.append(("charge", holder, -taken))
        return ChargeOutcome.BILLED

    def register(self, command: RegisterHolder) -> bool:
        """Return whether the command is accepted."""
        if not self.may_draw(command.holder):
            return False
        self.note(command.holder)
        if command.delivered:
            for holder in list(self.holders):
                older = holder.incarnation < command.holder.incarnation
                if holder.host == command.holder.host and older:
                    self._release(holder)
        return True

    def confirm_dead(self, command: ConfirmDead) -> None:
        self.note(command.holder)
        if command.holder not in self.dead:
            self.dead.add(command.holder)
            self._release(command.holder)

    def _release(self, holder: Holder) -> None:
        self.moves.append(("release", holder, -self.held_by(holder)))
        self.holders.discard(holder)

    def transfer(self, command: Transfer) -> int | None:
        """Return what was moved; ``None`` where the giver lives and has not as much."""
        key = ("transfer", command.giver, command.giver_number)
        if key in self.answers:
            moved_before: int = self.answers[key]
            return moved_before
        from_giver = min(command.amount, max(0, self.held_by(command.giver)))
        lives = command.giver in self.holders or self.may_draw(command.giver)
        if lives and from_giver < command.amount:
            return None
        moved = min(command.amount, from_giver + self.free)
        self.moves.append(("give", command.giver, -from_giver))
        if self.may_draw(command.taker):
            self.note(command.taker)
            self.holders.add(command.taker)
        if command.taker in self.holders:
            self.moves.append(("take", command.taker, moved))
        self.answers[key] = moved
        return moved
