"""Build routers over targets, for tests."""

import asyncio
import random

from cranberrywall.routing import Outcome, OutcomeKind, TargetRouter, make_router
from cranberrywall.targets import Announcement, Targets, make_targets
from tests.routing.clocks import ManualClock
from tests.routing.configurations import FixedConfiguration

ANSWERED = Outcome(OutcomeKind.ANSWERED, 0.1, 10)
FAILED = Outcome(OutcomeKind.FAILED_AFTER)


def make(
    *announcements: Announcement, concurrent: int = 1000, queue_bound: int = 1024
) -> tuple[TargetRouter, Targets, ManualClock]:
    targets = make_targets()
    clock = ManualClock()
    for announcement in announcements:
        targets.apply(announcement, 0.0)
    router = make_router(
        targets,
        FixedConfiguration(concurrent),
        clock,
        random.Random(1),
        "entry-1",
        "kranj",
        max_waiting=queue_bound,
    )
    return router, targets, clock


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)
