"""Measure how hosts keep to the rates that targets name, together, and how far they use them.

    python -m measurements.named_rates

Schedules with seeds, each on the real routers of 3 to 1,700 hosts, in virtual time. ``before`` is
the same fleet without it.
"""

import asyncio
from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

from loguru import logger

from measurements._figures import report_figures
from measurements._rate_fleet import Fault, RateOutcome, RateSchedule, play
from measurements._virtual_time import VirtualLoop

SEEDS = 3
ALONE = RateSchedule()
LARGE = ALONE._replace(hosts=78, spread_s=0.06)
HUGE = ALONE._replace(hosts=1700, spread_s=0.15, asked_per_s=200.0, seconds=35.0)
SCHEDULES = {
    "before": ALONE._replace(keeps=False),
    "hosts_3": ALONE._replace(hosts=3),
    "hosts_8": ALONE,
    "hosts_78": LARGE,
    "hosts_1700": HUGE,
    "tenth": ALONE._replace(per_s=0.1, seconds=90.0),
    "ten": ALONE._replace(per_s=10.0),
    "ten_78": LARGE._replace(per_s=10.0),
    "two_hundred": ALONE._replace(per_s=200.0, asked_per_s=300.0, seconds=35.0),
    "two_hundred_78": LARGE._replace(per_s=200.0, asked_per_s=300.0, seconds=35.0),
    "none": ALONE._replace(per_s=0.0),
    "others_have_room": ALONE._replace(targets=9, asked_per_s=37.0),
    "others_have_room_78": LARGE._replace(targets=9, asked_per_s=37.0),
    "all_in_need": ALONE._replace(targets=9, in_need=9, asked_per_s=37.0),
    "burst_of_one_caller": ALONE._replace(per_s=10.0, burst_share=0.9, asked_per_s=100.0, ranks=1),
    "burst_beside_callers_that_ask_for_more": ALONE._replace(
        per_s=10.0, burst_share=0.8, asked_per_s=100.0, ranks=1
    ),
    "need_over": ALONE._replace(over_at=20.0),
    "killed": ALONE._replace(faults=(Fault("kill", 15.0, 3.0, (0, 1)),)),
    "frozen_each_in_turn": ALONE._replace(
        faults=tuple(Fault("freeze", 12.0 + 8.0 * n, 5.0, (n,)) for n in range(4))
    ),
    "one_cut_off": ALONE._replace(faults=(Fault("cut", 15.0, 20.0, (3,)),)),
    "halves": ALONE._replace(per_s=10.0, faults=(Fault("cut", 15.0, 20.0, (0, 1, 2, 3)),)),
}


class Figures(NamedTuple):
    """Hold what several seeds of one schedule gave, the worst of them where that can be said."""

    most: int
    bound: float
    least_use: float
    served_share: float
    late: int
    held_s: float
    messages_per_s: float
    bytes_per_s: float
    least_part: float
    full_after_s: float


def run(schedule: RateSchedule) -> RateOutcome:
    """Play one schedule in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(play(schedule))


def measure(schedule: RateSchedule, seeds: Sequence[int]) -> Figures:
    """Play a schedule with each seed, and put the outcomes together."""
    outcomes = [run(schedule._replace(seed=seed)) for seed in seeds]
    return Figures(
        max(one.most for one in outcomes),
        outcomes[0].bound,
        min(one.least_use for one in outcomes),
        sum(one.served for one in outcomes) / max(1, sum(one.asked for one in outcomes)),
        sum(one.late for one in outcomes),
        max(one.held_s for one in outcomes),
        fmean(one.messages_per_s for one in outcomes),
        fmean(one.bytes_per_s for one in outcomes),
        min(one.least_part for one in outcomes),
        max(one.full_after_s for one in outcomes),
    )


def _use(schedule: RateSchedule, found: Figures) -> str:
    return f"{found.least_use:.3f}" if schedule.per_s else "-"


def main() -> None:
    """Print a line for each kind of schedule."""
    logger.remove()
    broken = 0
    for name, schedule in SCHEDULES.items():
        seeds = range(SEEDS if schedule.hosts < 1000 else 1)
        found = measure(schedule, seeds)
        broken += schedule.keeps and found.most > found.bound
        print(
            f"{name}: most={found.most} bound={found.bound:g} least_use={_use(schedule, found)} "
            f"served_share={found.served_share:.4f} late={found.late} held_s={found.held_s:.2f} "
            f"messages_per_s={found.messages_per_s:.1f} bytes_per_s={found.bytes_per_s:.0f} "
            f"least_part={found.least_part:.3f} full_after_s={found.full_after_s:.2f}",
            flush=True,
        )
    report_figures("named_rates", {"schedules": len(SCHEDULES), "over_the_bound": broken})


if __name__ == "__main__":
    main()
