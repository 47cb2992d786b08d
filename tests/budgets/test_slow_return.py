"""A partition of all hosts from the ledger ends, and the ledger answers slowly from then on."""

import random

from cranberrywall.budgets import BudgetAssignment, SpendPolicy
from cranberrywall.budgets.ledger import make_ledger_machine
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.money import LEDGER, MoneyFleet

HOSTS = {f"h{number}": f"p{number % 4}" for number in range(9)}
CREDIT = 900_000
SETTLE_S = 10.0
CUT_S = 5.0
QUEUE_S = 0.3
MAX_RETURN_S = 3.0
"""The users' bound on the time without contact (``contact_ms``)."""


def test_hosts_come_back_to_a_ledger_that_answers_slowly() -> None:
    """Guards against money that is taken for spent: no answer came within the usual time limit."""

    async def main() -> None:
        fleet = MoneyFleet(
            HOSTS,
            make_ledger_machine(),
            VirtualClock(),
            random.Random(1),
            SpendPolicy(held_back=0.02),
        )
        fleet.budget_assignments = [BudgetAssignment("main", "clerks", CREDIT)]
        fleet.credit("main", CREDIT)
        await fleet.start()
        await fleet.clock.sleep(SETTLE_S)
        fleet.net.cut(dict.fromkeys(HOSTS, 1))
        await fleet.clock.sleep(CUT_S)
        assert not any(is_in_reach(fleet, host) for host in HOSTS)
        fleet.net.queue_s_by_node[LEDGER] = QUEUE_S
        fleet.net.heal()
        await fleet.clock.sleep(MAX_RETURN_S)
        assert all(is_in_reach(fleet, host) for host in HOSTS)
        await fleet.stop()

    run_virtual(main())


def is_in_reach(fleet: MoneyFleet, host: str) -> bool:
    state = fleet.host_by_name[host].allotments.state()
    return all(group["in_reach"] for group in state["groups"].values())
