"""Credits budgets up to the totals of the configuration."""

from cranberrywall.budgets import BudgetTotal
from cranberrywall.budgets.ledger import CreditUpdater, make_ledger_machine
from cranberrywall.budgets.messages import (
    LEDGER_CODEC,
    BudgetQuery,
    BudgetResult,
    RaiseCredits,
    Rejected,
)
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.groups import FakeGroup


def total(amount: int) -> BudgetTotal:
    return BudgetTotal("main", "desk", "tokens", amount)


def credited(group: FakeGroup) -> int:
    reply = LEDGER_CODEC.decode(group.machine.query(LEDGER_CODEC.encode(BudgetQuery("main"))))
    if isinstance(reply, Rejected):
        return 0
    assert isinstance(reply, BudgetResult)
    return reply.credited


def apply(group: FakeGroup, amount: int) -> None:
    command = RaiseCredits((total(amount),), "configuration", 1.0)
    group.machine.apply(LEDGER_CODEC.encode(command))


def test_a_total_is_credited_once_and_never_taken_back() -> None:
    """The command arrives twice, late, and in a different order than the configurations."""
    group = FakeGroup("ledger-0", make_ledger_machine)
    for amount, expected in ((0, 0), (100, 100), (100, 100), (250, 250), (100, 250), (250, 250)):
        apply(group, amount)
        assert credited(group) == expected


def test_a_new_leader_credits_what_its_predecessor_had_no_time_to() -> None:
    async def scenario() -> None:
        group = FakeGroup("ledger-0", make_ledger_machine)
        totals = [total(100)]
        updater = CreditUpdater([group], lambda: totals, VirtualClock())
        group.is_leader = False
        await updater.credit_missing()
        assert credited(group) == 0
        group.is_leader = True
        await updater.credit_missing()
        assert credited(group) == 100
        commands = len(group.commands)
        await updater.credit_missing()
        assert len(group.commands) == commands
        totals[0] = total(300)
        group.answers_lost = 1
        await updater.credit_missing()
        await updater.credit_missing()
        assert credited(group) == 300

    run_virtual(scenario())
