"""Measure how many requests reach targets that are cold, over all hosts together.

    python -m measurements.cold_targets

Some targets of a service start again at once, or say that they are cold again, while hosts are cut
off, frozen or killed. Real routers of 3 to 300 hosts, in virtual time. ``most`` is the maximum
number of requests in a second at a cold target; ``before`` is the fleet without the limit.
"""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from loguru import logger

from cranberrywall.configuration import ColdStart
from cranberrywall.rates._cold_targets import INITIAL_DISCOVERY_S
from cranberrywall.targets import ColdNotice
from measurements._figures import report_figures
from measurements._rate_fleet import Fault, RateFleet, RateSchedule
from measurements._virtual_time import VirtualLoop

COLD_START: ColdStart = {"duration_s": 3.0, "per_s": 5.2}
BOUND = 1.5 * COLD_START["per_s"] + 5.0
"""Requests in a second that a cold target is promised not to exceed."""

SEEDS = 10
BEAT_S = 1.2
ANNOUNCED_WITHIN_S = 0.1
START_AT_S = INITIAL_DISCOVERY_S + 4.0
AGAIN_AT_S = START_AT_S + 12.0
WINDOW_S = 1.0


class ColdSchedule(NamedTuple):
    """Describe one schedule.

    ``returning`` of the targets start again at once, at ``START_AT_S``, and, where ``is_again``,
    say at ``AGAIN_AT_S`` in their next renewal that they are cold again.
    """

    fleet: RateSchedule
    returning: int
    is_again: bool = True
    keeps: bool = True


class ColdOutcome(NamedTuple):
    """Count what a schedule did: ``most`` in a second at a cold target, and what was served."""

    most: int
    asked: int
    served: int
    refused: int
    late: int


class _ColdFleet(RateFleet):
    def __init__(self, schedule: ColdSchedule) -> None:
        super().__init__(schedule.fleet, COLD_START if schedule.keeps else None)
        self._cold = schedule

    def start_more(self) -> None:
        """Let targets start again, and become cold again."""
        self.spawn(self._start_again())
        if self._cold.is_again:
            self.spawn(self._become_cold_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(START_AT_S)
        loop = asyncio.get_running_loop()
        for target in self.targets[: self._cold.returning]:
            target.announcement = target.announcement._replace(incarnation=2)
        for host in self.hosts:
            wait_s = self.schedule.spread_s * self.random.uniform(0.5, 2.0)
            loop.call_later(wait_s, self._announce_to, host.number)

    def _announce_to(self, number: int) -> None:
        host = self.hosts[number]
        loop = asyncio.get_running_loop()
        if not self.is_up(host):
            loop.call_later(0.2, self._announce_to, number)
            return
        for target in self.targets[: self._cold.returning]:
            host.targets.apply(target.announcement, loop.time())

    async def _become_cold_again(self) -> None:
        await asyncio.sleep(AGAIN_AT_S)
        await asyncio.gather(*(self._renew(number) for number in range(self._cold.returning)))

    async def _renew(self, number: int) -> None:
        waited_s = self.random.uniform(0.0, BEAT_S) + self.random.uniform(0.0, ANNOUNCED_WITHIN_S)
        await asyncio.sleep(waited_s)
        left_s = COLD_START["duration_s"] - waited_s
        target = self.targets[number].announcement
        notice = ColdNotice(target.target, target.incarnation, 2, left_s, 0.0)
        up = [host for host in self.hosts if self.is_up(host)]
        self.random.choice(up).rates.cold.receive(notice)

    def most(self) -> int:
        """Return the most requests in a second at a cold target."""
        spans = [START_AT_S] + [AGAIN_AT_S] * self._cold.is_again
        most = 0
        for target in self.targets[: self._cold.returning]:
            for span in spans:
                end = span + COLD_START["duration_s"]
                times = sorted(at for at in target.arrived_at if span <= at < end)
                counts = (sum(at <= one < at + WINDOW_S for one in times) for at in times)
                most = max(most, *counts, 0)
        return most


def run(schedule: ColdSchedule, seed: int) -> ColdOutcome:
    """Play one schedule in virtual time."""
    seeded = schedule._replace(fleet=schedule.fleet._replace(seed=seed))

    async def play() -> ColdOutcome:
        fleet = _ColdFleet(seeded)
        found = await fleet.play()
        return ColdOutcome(fleet.most(), found.asked, found.served, found.refused, found.late)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(play())


def measure(schedule: ColdSchedule, seeds: Sequence[int]) -> ColdOutcome:
    """Play a schedule with each seed: the worst ``most``, and the sums of the counts."""
    outcomes = [run(schedule, seed) for seed in seeds]
    return ColdOutcome(
        max(one.most for one in outcomes),
        sum(one.asked for one in outcomes),
        sum(one.served for one in outcomes),
        sum(one.refused for one in outcomes),
        sum(one.late for one in outcomes),
    )


FLEET = RateSchedule(
    hosts=10,
    targets=30,
    in_need=0,
    asked_per_s=70.0,
    lasts_s=1.0,
    deadline_s=5.0,
    seconds=AGAIN_AT_S + 6.0,
    named_at=0.0,
)
PLACE = ColdSchedule(FLEET, returning=10)


def _with_faults(*faults: Fault) -> ColdSchedule:
    return PLACE._replace(fleet=FLEET._replace(faults=faults))


BUSY = ColdSchedule(
    FLEET._replace(targets=12, asked_per_s=160.0, lasts_s=0.4, seconds=START_AT_S + 5.0),
    returning=4,
    is_again=False,
)
"""Targets get more requests than a cold one accepts, until some of them start again."""

SCHEDULES = {
    "before": PLACE._replace(keeps=False),
    "busy_before": BUSY._replace(keeps=False),
    "busy": BUSY,
    "hosts_3": PLACE._replace(fleet=FLEET._replace(hosts=3)),
    "hosts_10": PLACE,
    "hosts_74": PLACE._replace(fleet=FLEET._replace(hosts=74, spread_s=0.06)),
    "hosts_300": PLACE._replace(fleet=FLEET._replace(hosts=300, spread_s=0.1)),
    "all_targets": PLACE._replace(returning=30, is_again=False),
    "one_target": PLACE._replace(returning=1),
    "killed": _with_faults(Fault("kill", START_AT_S - 1.0, 3.0, (0, 1, 2))),
    "frozen": _with_faults(
        Fault("freeze", START_AT_S + 0.5, 2.0, (0, 1)), Fault("freeze", AGAIN_AT_S, 2.0, (2, 3))
    ),
    "one_cut_off": _with_faults(Fault("cut", START_AT_S - 3.0, 10.0, (3,))),
    "halves": _with_faults(Fault("cut", START_AT_S - 2.0, 30.0, (0, 1, 2, 3, 4))),
    "cut_as_they_start": _with_faults(Fault("cut", START_AT_S + 0.2, 10.0, (0, 1, 2, 3))),
}


def main() -> None:
    """Print a line for each kind of schedule."""
    logger.remove()
    over = 0
    for name, schedule in SCHEDULES.items():
        found = measure(schedule, range(SEEDS if schedule.fleet.hosts < 50 else 2))
        over += schedule.keeps and found.most > BOUND
        print(
            f"{name}: most={found.most} bound={BOUND:g} share={found.most / BOUND:.2f} "
            f"served_share={found.served / max(1, found.asked):.4f} refused={found.refused} "
            f"late={found.late}",
            flush=True,
        )
    report_figures("cold_targets", {"schedules": len(SCHEDULES), "over_the_bound": over})


if __name__ == "__main__":
    main()
