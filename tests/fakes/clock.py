"""Clocks that tests move: by hand, or to the next thing due.

``run_virtual`` runs a coroutine on an event loop whose time jumps to the next timer as soon
as nothing else is left to do, so that hours pass in milliseconds and always alike. Real
sockets and threads do not go with it.
"""

import asyncio
import heapq
import itertools
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

_WALL_AT_START = 1_790_000_000.0
_TURNS_TO_SETTLE = 40


class ManualClock:
    """Stand still until ``advance``; ``wall_offset`` makes the wall clock jump."""

    def __init__(self, now: float = 1000.0) -> None:
        self._now = now
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self.wall_offset = 0.0

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return _WALL_AT_START + self._now + self.wall_offset

    async def sleep(self, seconds: float) -> None:
        sleeper = asyncio.get_running_loop().create_future()
        entry = (self._now + max(0.0, seconds), next(self._numbers), sleeper)
        heapq.heappush(self._sleepers, entry)
        await sleeper

    def step(self, seconds: float) -> None:
        """Move the time alone, for code that only reads it."""
        self._now += seconds

    async def advance(self, seconds: float) -> None:
        """Move the time, waking each sleeper at its moment and letting the tasks run."""
        end = self._now + seconds
        await settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            when, _, sleeper = heapq.heappop(self._sleepers)
            if sleeper.done():
                continue
            self._now = max(self._now, when)
            sleeper.set_result(None)
            await settle()
        self._now = max(self._now, end)


async def settle() -> None:
    """Let the tasks that can run do so."""
    for _ in range(_TURNS_TO_SETTLE):
        await asyncio.sleep(0)


class VirtualClock:
    """Give the time of the loop that ``run_virtual`` runs."""

    def __init__(self) -> None:
        self.wall_offset = 0.0

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return _WALL_AT_START + self.now() + self.wall_offset

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            # With no timer left and no thread at work, a real wait would last for ever.
            raise RuntimeError("every task waits for something that never comes")
        self.time += max(0.0, timeout)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.time


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` in virtual time and return its result."""
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        return runner.run(main)
