"""Measure how many targets a request, or a part of prompts, ends, and who else is refused.

    python -m measurements.fatal_requests

Schedules with seeds, each on the real quarantine of seven hosts before 18 targets, in virtual time.
``before`` is the same fleet without it.
"""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from loguru import logger

from measurements._fatal_fleet import FatalOutcome, FatalSchedule, play
from measurements._virtual_time import VirtualLoop

SEEDS = 4
QUIET = FatalSchedule(seconds=25.0)
PARTS = QUIET._replace(fatal=0, fatal_parts=1, fatal_per_s=2.8, rare_per_s=0.5)
SCHEDULES = {
    "none": QUIET._replace(fatal=0),
    "before": QUIET._replace(has_quarantine=False),
    "one": QUIET,
    "five": QUIET._replace(fatal=5),
    "one_unseen": QUIET._replace(hides=True),
    "racks_lost": QUIET._replace(fatal=0, crash_every_s=4.0, crash_share=0.33),
    "one_and_racks_lost": QUIET._replace(crash_every_s=4.0, crash_share=0.33),
    "one_and_broken_answers": QUIET._replace(garbled=0.05),
    "part": PARTS,
    "part_first": PARTS._replace(fatal_part_place=0),
    "part_last_but_one": PARTS._replace(fatal_part_place=2),
    "part_at_all_hosts": PARTS._replace(at_all_hosts=True),
    "part_of_five_workspaces": PARTS._replace(workspaces=5),
    "two_parts": PARTS._replace(fatal_parts=2),
    "ten_parts": PARTS._replace(fatal_parts=10, fatal_per_s=0.8),
    "part_and_racks_lost": PARTS._replace(crash_every_s=4.0, crash_share=0.33),
    "parts_shared_and_half_lost": PARTS._replace(fatal_parts=0, crash_every_s=4.0, crash_share=0.5),
}


class Figures(NamedTuple):
    """Hold what several seeds of one schedule gave."""

    innocent: int
    wrongly_held: int
    served_share: float
    ended_each: float
    sent_late: int
    bytes_told: int


def run(schedule: FatalSchedule) -> FatalOutcome:
    """Play one schedule in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(play(schedule))


def measure(schedule: FatalSchedule, seeds: Sequence[int]) -> Figures:
    """Play a schedule with each seed, and put the outcomes together."""
    outcomes = [run(schedule._replace(seed=seed)) for seed in seeds]
    innocent = sum(one.innocent for one in outcomes)
    return Figures(
        innocent,
        sum(one.innocent_held for one in outcomes),
        sum(one.innocent_served for one in outcomes) / innocent,
        sum(one.ended_each for one in outcomes) / len(outcomes),
        max(one.sent_late for one in outcomes),
        sum(one.item_bytes for one in outcomes),
    )


def main() -> None:
    """Print a line for each kind of schedule."""
    logger.remove()
    for name, schedule in SCHEDULES.items():
        found = measure(schedule, range(SEEDS))
        print(
            f"{name}: innocent={found.innocent} wrongly_held={found.wrongly_held} "
            f"served_share={found.served_share:.4f} ended_each={found.ended_each:.2f} "
            f"sent_late={found.sent_late} bytes_told={found.bytes_told}"
        )


if __name__ == "__main__":
    main()
