"""Batch attempts continuously: each step gives one word to each running attempt."""

import asyncio
import heapq
from collections.abc import Callable
from typing import NamedTuple

from standins._attempts import Attempt


class _Waiting(NamedTuple):
    rank: int
    number: int
    attempt: Attempt


class Batch:
    """Run at most ``slots`` attempts; those that wait go by rank, then by arrival."""

    def __init__(
        self, slots: int, step_s: Callable[[], float], on_end: Callable[[Attempt], None]
    ) -> None:
        self._slots = slots
        self._step_s = step_s
        self._on_end = on_end
        self._running: list[Attempt] = []
        self._waiting: list[_Waiting] = []
        self._number = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Return how many attempts run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return how many attempts wait for a slot."""
        return len(self._waiting)

    def add(self, attempt: Attempt) -> None:
        """Queue an attempt; it starts at the next step that has a free slot."""
        self._number += 1
        heapq.heappush(self._waiting, _Waiting(attempt.plan.rank, self._number, attempt))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run(), name="stand-in batch")

    def stop(self) -> None:
        """Stop at once; every attempt in the batch is cancelled."""
        if self._task is not None:
            self._task.cancel()
        for attempt in [*self._running, *(waiting.attempt for waiting in self._waiting)]:
            attempt.cancel()

    async def _run(self) -> None:
        while self._running or self._waiting:
            self._fill()
            await asyncio.sleep(self._step_s())
            self._step()

    def _fill(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            self._running.append(heapq.heappop(self._waiting).attempt)

    def _step(self) -> None:
        for attempt in self._running:
            if not attempt.cancelled:
                attempt.advance()
            if attempt.finished or attempt.cancelled:
                self._on_end(attempt)
        self._running = [
            attempt for attempt in self._running if not (attempt.finished or attempt.cancelled)
        ]
