"""Measure false refusals and overspend through partitions, against simpler schemes."""

import time
from typing import Literal

import click
from loguru import logger

from cranberrywall.budgets import SpendPolicy
from measurements._budget_least import least_false_refusals
from measurements._budget_runs import Outcome, run_allotments, run_scheme
from measurements._budget_trace import ASSOCIATION, BOARD, Deployment, Trace, make_trace
from measurements._figures import report_figures
from tests.fakes.clock import run_virtual
from tests.naive.budget_schemes import Central, FixedShares, TimedLeases

SEEDS = 1
HOURS = 6.0
LEASE_S = 60.0


@click.command()
@click.option("--seeds", default=SEEDS, help="Traces of each user, from seed 1.")
@click.option("--hours", default=HOURS, help="Hours of each trace.")
@click.option("--isolated", type=click.Choice(["refuse", "spend"]), default="refuse")
@click.option("--held-back", default=0.1, help="Share of what is left that stays at the ledger.")
def main(seeds: int, hours: float, isolated: Literal["refuse", "spend"], held_back: float) -> None:
    """Print one line for each user."""
    logger.remove()
    policy = SpendPolicy(held_back, isolated)
    for deployment in (BOARD, ASSOCIATION):
        traces = [make_trace(deployment, seed, hours) for seed in range(1, seeds + 1)]
        _measure(deployment, traces, policy)


def _measure(deployment: Deployment, traces: list[Trace], policy: SpendPolicy) -> None:
    hosts = list(deployment.place_by_host)
    disks = frozenset(f"{place}-1" for place, n in deployment.controls_by_place.items() if n)
    started = time.perf_counter()
    ours = _sum([run_virtual(run_allotments(trace, policy, disks)) for trace in traces])
    took = time.perf_counter() - started
    equal = _sum([run_scheme(trace, FixedShares(dict.fromkeys(hosts, 1.0))) for trace in traces])
    static = _sum([run_scheme(trace, FixedShares(_weights(trace))) for trace in traces])
    central = _sum([run_scheme(trace, Central(hosts)) for trace in traces])
    leases = _sum([run_scheme(trace, TimedLeases(hosts, LEASE_S)) for trace in traces])
    least = [least_false_refusals(trace) for trace in traces]
    best = min(equal.false_refusals, static.false_refusals, central.false_refusals)
    report_figures(
        f"budget_partition_{deployment.name}",
        {
            "user": deployment.name,
            "overspend": ours.overspend,
            "unbilled": ours.unbilled,
            "lost_with_host": ours.lost_with_host,
            "requests": ours.requests,
            "refusals": ours.refusals,
            "false_refusals": ours.false_refusals,
            "equal_split": equal.false_refusals,
            "static": static.false_refusals,
            "central": central.false_refusals,
            "timed_lease": leases.false_refusals,
            "timed_lease_overspend": leases.overspend,
            "least": sum(one.best for one in least),
            "split_by_past": sum(one.by_past for one in least),
            "calls_per_request": ours.calls / ours.requests,
            "seconds": took,
            "ratio": ours.false_refusals / max(1, best),
        },
    )


def _weights(trace: Trace) -> dict[str, float]:
    """Return weights by the place's share of the whole trace: more than anyone could know."""
    deployment = trace.deployment
    return {
        host: trace.demand_by_place[place] / deployment.hosts_by_place[place]
        for host, place in deployment.place_by_host.items()
    }


def _sum(outcomes: list[Outcome]) -> Outcome:
    return Outcome(*(sum(column) for column in zip(*outcomes, strict=True)))


if __name__ == "__main__":
    main()
