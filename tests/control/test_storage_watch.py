"""End a control host's process once its disk takes writes again, and no sooner."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest

from cranberrywall.control import StorageMonitor
from cranberrywall.errors import ErrorKind, Refusal
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.storage import FakeStorage

FULL_FOR_S = 4.5


class FullFor(FakeStorage):
    """Refuse writes until ``room_at``."""

    def __init__(self, clock: VirtualClock, room_at: float) -> None:
        super().__init__(random.Random(1))
        self._clock = clock
        self._room_at = room_at

    def replace(self, name: str, data: bytes) -> None:
        if self._clock.now() < self._room_at:
            raise OSError(28, "No space left on device")
        super().replace(name, data)


@pytest.mark.parametrize(
    ("kind", "is_restarted"),
    [(ErrorKind.STORAGE_FAILED, True), (ErrorKind.CORRUPT, False), (None, False)],
)
def test_a_disk_that_was_full_costs_no_member_for_good(
    kind: ErrorKind | None, is_restarted: bool
) -> None:
    """A control host's disk is full for some seconds, and empties.

    Its members had stopped at the first failed write and waited for an operator: the next loss of
    a control host could take the groups' majority. A damaged file is another matter.
    """

    async def story() -> None:
        clock = VirtualClock()
        group: Any = SimpleNamespace(failure=Refusal(kind) if kind else None)
        restarted: list[float] = []
        storage = FullFor(clock, clock.now() + FULL_FOR_S)

        def restart() -> None:
            restarted.append(clock.now())
            group.failure = None

        started_at = clock.now()
        watch = StorageMonitor([group], storage, clock, restart)
        task = asyncio.create_task(watch.run())
        await clock.sleep(2 * FULL_FOR_S)
        task.cancel()
        assert bool(restarted) is is_restarted
        if is_restarted:
            assert FULL_FOR_S <= restarted[0] - started_at < FULL_FOR_S + 1.0
            assert storage.names("") == []

    run_virtual(story())
