"""Measure how often targets fall over that cannot reject much, and what is served meanwhile."""

import sys
from statistics import fmean

from loguru import logger

from measurements._brittle_fleet import BrittleFleet, BrittleOutcome, BrittleSchedule
from measurements._figures import report_figures
from measurements._virtual_time import run_virtual

SCHEDULE_BY_NAME = {
    "3 hosts": BrittleSchedule(hosts=3),
    "7 hosts": BrittleSchedule(),
    "7 hosts, 2 rejections": BrittleSchedule(rejections=2.0),
    "7 hosts, bursts": BrittleSchedule(has_bursts=True, load=0.8),
    "10 hosts, engines": BrittleSchedule(
        hosts=10, targets=9, slots=64, waiting=4, work_s=0.7, deadline_s=6.0, rejections=5.0
    ),
    "74 hosts": BrittleSchedule(hosts=74, targets=20, rejections=10.0, seconds=8.0),
    "300 hosts": BrittleSchedule(hosts=300, targets=40, rejections=10.0, seconds=6.0),
}


async def play(schedule: BrittleSchedule) -> BrittleOutcome:
    """Play one schedule."""
    return await BrittleFleet(schedule).play()


def main() -> None:
    """Print falls and what was served, for hosts that ignore brittleness and those that do not."""
    logger.remove()
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
    names = sys.argv[2:] or list(SCHEDULE_BY_NAME)
    most_beyond = 0.0
    for name in names:
        for is_told in (False, True):
            schedule = SCHEDULE_BY_NAME[name]._replace(is_told=is_told)
            outcomes = [run_virtual(play(schedule._replace(seed=seed))) for seed in seeds]
            if is_told:
                beyond = max(outcome.falls - outcome.max_falls for outcome in outcomes)
                most_beyond = max(most_beyond, beyond)
            print(
                f"{name}{'' if is_told else ', ignored'}: "
                f"falls={','.join(str(outcome.falls) for outcome in outcomes)} "
                f"allowed={outcomes[0].max_falls:g} "
                f"served_share={fmean(outcome.served_share for outcome in outcomes):.3f} "
                f"rejected={fmean(outcome.rejected for outcome in outcomes):.0f}",
                flush=True,
            )
    report_figures("brittle", {"schedules": len(names), "falls_beyond_allowed": most_beyond})


if __name__ == "__main__":
    main()
