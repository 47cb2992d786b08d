"""Run asyncio code over virtual time: a wait costs no time, and each run is the same.

It replaces the clock of one event loop; there is no network in it.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

WALL_AT_START = 1_790_000_000.0


class _InstantSelector(selectors.SelectSelector):
    """Advance the time by what the loop would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, which is nothing, after ``timeout`` virtual seconds."""
        if timeout is None:
            raise RuntimeError("all tasks wait for something that will not happen")
        self.time += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run callbacks in the order of virtual time."""

    def __init__(self) -> None:
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        """Return virtual seconds since the loop was made."""
        return self._instant.time


class VirtualClock:
    """Give the virtual time of the running loop."""

    def now(self) -> float:
        """Return virtual seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return virtual wall seconds."""
        return WALL_AT_START + self.now()

    async def sleep(self, seconds: float) -> None:
        """Wait for virtual seconds."""
        await asyncio.sleep(seconds)


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` on a loop of its own, cancel what is left, and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
