"""Restart of a control host's process once its disk accepts writes again, and not before."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest

from cranberrywall.control import StorageMonitor
from cranberrywall.errors import ErrorKind, Refusal
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.storage import FakeStorage

FULL_DURATION_S = 4.5


class TemporarilyFullStorage(FakeStorage):
    """Storage that refuses writes until ``writable_at``."""

    def __init__(self, clock: VirtualClock, writable_at: float) -> None:
        super().__init__(random.Random(1))
        self._clock = clock
        self._writable_at = writable_at

    def replace(self, name: str, data: bytes) -> None:
        if self._clock.now() < self._writable_at:
            raise OSError(28, "No space left on device")
        super().replace(name, data)


@pytest.mark.parametrize(
    ("kind", "is_restarted"),
    [(ErrorKind.STORAGE_FAILED, True), (ErrorKind.CORRUPT, False), (None, False)],
)
def test_a_disk_that_was_full_costs_no_member_for_good(
    kind: ErrorKind | None, is_restarted: bool
) -> None:
    """A control host's disk is full for some seconds, then has free space again.

    Without a restart, the members on this host stay stopped after the first failed write until an
    operator acts, and the next loss of a control host can cost the groups their majority. A
    damaged file causes no restart.
    """

    async def scenario() -> None:
        clock = VirtualClock()
        group: Any = SimpleNamespace(failure=Refusal(kind) if kind else None)
        restarted: list[float] = []
        storage = TemporarilyFullStorage(clock, clock.now() + FULL_DURATION_S)

        def restart() -> None:
            restarted.append(clock.now())
            group.failure = None

        started_at = clock.now()
        monitor = StorageMonitor([group], storage, clock, restart)
        task = asyncio.create_task(monitor.run())
        await clock.sleep(2 * FULL_DURATION_S)
        task.cancel()
        assert bool(restarted) is is_restarted
        if is_restarted:
            assert FULL_DURATION_S <= restarted[0] - started_at < FULL_DURATION_S + 1.0
            assert storage.names("") == []

    run_virtual(scenario())
