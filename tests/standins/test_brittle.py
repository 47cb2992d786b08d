"""Stand-ins for brittle targets."""

import asyncio
from unittest.mock import Mock

from standins._common import FaultSwitch
from standins._faults import Faults


async def test_a_brittle_stand_in_ends_once_it_rejects_too_many_in_a_second() -> None:
    """Guards against a stand-in that takes any number of rejections, so that no test fails."""
    ended = asyncio.Event()

    async def end() -> None:
        ended.set()

    switch = FaultSwitch(Faults(max_rejections=2.0))
    switch.on_death = end
    for at in (0.0, 0.9, 1.5, 1.8):
        switch.record_rejection(Mock(), at)
        await asyncio.sleep(0)
        assert ended.is_set() == (at > 1.7)
