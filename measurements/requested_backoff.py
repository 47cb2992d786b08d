"""Measure how hosts keep to the backoffs that targets ask for, and what is served meanwhile.

    python -m measurements.requested_backoff

Schedules with seeds, each on the real routers of 3 to 78 hosts, in virtual time. ``before`` is the
same fleet where hosts ignore backoffs.
"""

import asyncio
from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

from loguru import logger

from measurements._backoff_fleet import BackoffOutcome, BackoffSchedule, play
from measurements._figures import report_figures
from measurements._virtual_time import VirtualLoop

SEEDS = 3
ALONE = BackoffSchedule()
ANNOUNCED = ALONE._replace(capacity=ALONE.places)
LARGE = ALONE._replace(hosts=78, targets=40, seconds=15.0)
SCHEDULES = {
    "load_0.8_announced": ANNOUNCED._replace(load=0.8),
    "load_1.0_announced": ANNOUNCED,
    "load_1.5_announced": ANNOUNCED._replace(load=1.5),
    "one_sheds_announced": ANNOUNCED._replace(load=0.5, shedding=1, sheds_s=1.0),
    "load_0.8": ALONE._replace(load=0.8),
    "load_1.0": ALONE,
    "load_1.5": ALONE._replace(load=1.5),
    "load_3.0": ALONE._replace(load=3.0),
    "load_1.0_reported": ALONE._replace(reports=True),
    "load_1.0_two_minutes": ALONE._replace(seconds=120.0),
    "load_1.0_8_hosts": ALONE._replace(hosts=8, targets=10, places=8),
    "load_0.8_78_hosts": LARGE._replace(load=0.8),
    "bursts": ALONE._replace(bursts=True),
    "one_sheds": ALONE._replace(load=0.5, shedding=1, sheds_s=1.0),
    "one_sheds_on_and_off": ALONE._replace(load=0.5, shedding=1, sheds_s=3.0, cycle_s=6.0),
    "the_only_one_sheds": ALONE._replace(targets=1, shedding=1, sheds_s=1.0),
    "all_shed": ALONE._replace(load=0.5, shedding=4, sheds_s=1.0),
    "all_shed_short": ALONE._replace(load=0.5, shedding=4, sheds_s=1.0, backoff_s=0.7),
    "all_shed_long": ALONE._replace(load=0.5, shedding=4, sheds_s=1.0, backoff_s=10.0),
    "all_shed_78_hosts": LARGE._replace(load=0.5, shedding=40, sheds_s=1.0),
}


class Figures(NamedTuple):
    """Hold what several seeds of one schedule gave; shares are means, counts are sums."""

    most: int
    served_share: float
    least_served_share: float
    most_served_share: float
    turned_away_share: float
    refused: int
    late_refusals: int
    unanswered: int


def run(schedule: BackoffSchedule) -> BackoffOutcome:
    """Play one schedule in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(play(schedule))


def measure(schedule: BackoffSchedule, seeds: Sequence[int]) -> Figures:
    """Play a schedule with each seed, and put the outcomes together."""
    outcomes = [run(schedule._replace(seed=seed)) for seed in seeds]
    shares = [one.served_share for one in outcomes]
    return Figures(
        max(one.most for one in outcomes),
        fmean(shares),
        min(shares),
        max(shares),
        fmean(one.turned_away_share for one in outcomes),
        sum(one.refused for one in outcomes),
        sum(one.late_refusals for one in outcomes),
        sum(one.unanswered for one in outcomes),
    )


def main() -> None:
    """Print two lines for each kind of schedule."""
    logger.remove()
    most = 0
    for name, schedule in SCHEDULES.items():
        seeds = range(SEEDS if schedule.hosts < LARGE.hosts else 1)
        for keeps in (False, True):
            found = measure(schedule._replace(keeps=keeps), seeds)
            most = max(most, found.most if keeps else 0)
            print(
                f"{name}{'' if keeps else ' before'}: most={found.most} "
                f"served_share={found.served_share:.3f} "
                f"({found.least_served_share:.3f} to {found.most_served_share:.3f}) "
                f"turned_away_share={found.turned_away_share:.3f} refused={found.refused} "
                f"late_refusals={found.late_refusals} unanswered={found.unanswered}",
                flush=True,
            )
    report_figures("requested_backoff", {"schedules": len(SCHEDULES), "most_in_a_backoff": most})


if __name__ == "__main__":
    main()
