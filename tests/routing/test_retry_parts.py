"""Test that the retries of all hosts together keep to the limit of the fleet."""

import random
from typing import Any

import pytest

from cranberrywall.routing import RetryLimits
from cranberrywall.routing._pool import Pool
from cranberrywall.routing._retries import RetryBudget
from cranberrywall.runtime import make_clock

SLACK = 156.0
LIMITS = RetryLimits(share=0.2, max_saved=SLACK, interval_s=float("inf"), min_hosts=10)


def spend_all(budgets: list[RetryBudget], now: float) -> int:
    """Retry at each host for as long as its budget allows; return the number of retries."""
    spent = 0
    for budget in budgets:
        while budget.allows(now):
            budget.spend(now)
            spent += 1
    return spent


def make_pool(limits: RetryLimits, hosts: int) -> Pool:
    """Return the pool of a host that has just started, without targets."""
    unused: Any = None
    return Pool(
        make_clock(),
        random.Random(1),
        unused,
        lambda: hosts,
        0.0,
        unused,
        unused,
        unused,
        unused,
        limits,
    )


def test_the_parts_of_many_hosts_add_up_to_the_bound() -> None:
    """All targets fail at the same time, and each of 58 hosts spends its whole retry budget.

    If each host may save a tenth of the fleet's limit, they retry six times that limit together.
    """
    budgets = [RetryBudget(0.0, LIMITS, lambda: 58) for _ in range(58)]
    for budget in budgets:
        for _ in range(500):
            budget.record_first_attempt(1.0)
    assert 0.5 * SLACK <= spend_all(budgets, 2.0) <= SLACK


def test_a_part_does_not_grow_where_fewer_hosts_are_seen() -> None:
    """In a network partition into halves each host sees half of the other hosts.

    The budgets of both sides must not add up to more than the limit of the fleet.
    """
    seen = [58]
    budgets = [RetryBudget(0.0, LIMITS, lambda: seen[0]) for _ in range(58)]
    for budget in budgets:
        budget.record_first_attempt(0.5)
    seen[0] = 29
    for budget in budgets:
        for _ in range(500):
            budget.record_first_attempt(1.0)
    assert spend_all(budgets, 2.0) <= SLACK


def test_a_part_that_shrinks_is_not_spent_as_it_was() -> None:
    """A host discovers the other hosts only after it has saved a tenth of the fleet's limit.

    It must not spend more than its share of the limit from then on.
    """
    seen = [1]
    budgets = [RetryBudget(0.0, LIMITS, lambda: seen[0]) for _ in range(58)]
    for budget in budgets:
        for _ in range(500):
            budget.record_first_attempt(1.0)
    seen[0] = 58
    assert spend_all(budgets, 2.0) <= SLACK


@pytest.mark.parametrize("first_attempts", [1, 2, 5])
def test_hosts_that_start_again_keep_to_the_bound_together(first_attempts: int) -> None:
    """Guards against half of the limit anew with each loss of power of all hosts."""
    hosts, losses, slack = 15, 3, 54.0
    limits = RetryLimits(share=0.16, max_saved=0.8 * slack, interval_s=float("inf"), min_hosts=10)
    pools = [make_pool(limits, hosts) for _ in range(hosts)]
    for pool in pools:
        for _ in range(30):
            pool.retries.record_first_attempt(0.0)
    spent = spend_all([pool.retries for pool in pools], 1.0)
    for _ in range(losses):
        pools = [make_pool(limits, hosts) for _ in range(hosts)]
        for pool in pools:
            for _ in range(first_attempts):
                pool.retries.record_first_attempt(1.0)
        spent += spend_all([pool.retries for pool in pools], 1.0)
    assert spent <= slack + 0.2 * losses * hosts * first_attempts
