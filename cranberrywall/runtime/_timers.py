"""Timers and timeouts on the clock of the runtime.

``asyncio.timeout`` uses the clock of the event loop. Tests and benches that replace ``Clock``
do not control that clock.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

from cranberrywall.runtime._interfaces import Clock

_COMPACTION_THRESHOLD = 256
"""The heap is compacted only if it has more cancelled timers than this number."""


class Timer:
    """Scheduled call of one callback; ``cancel`` prevents it."""

    __slots__ = ("_owner", "callback")

    def __init__(self, owner: "Timers", callback: Callable[[], object]) -> None:
        self._owner = owner
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Cancel the callback; do nothing if it has run or is cancelled already."""
        if self.callback is not None:
            self.callback = None
            self._owner.note_cancelled()


class Timers:
    """Scheduler that runs callbacks from one task, which exists only while timers are pending."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence_numbers = itertools.count()
        self._cancelled = 0
        self._task: asyncio.Task[None] | None = None
        self._sleeping_until = 0.0

    def call_at(self, when: float, callback: Callable[[], object]) -> Timer:
        """Schedule ``callback`` for the time ``when``, in monotonic seconds."""
        timer = Timer(self, callback)
        heapq.heappush(self._heap, (when, next(self._sequence_numbers), timer))
        if self._task is None or when < self._sleeping_until:
            self._restart()
        return timer

    def limit(self, seconds: float) -> AbstractAsyncContextManager[None]:
        """Return an ``async with`` block that raises ``TimeoutError`` after ``seconds``."""
        return _TimeLimit(self, self._clock.now() + seconds)

    def note_cancelled(self) -> None:
        """Count a cancelled timer; remove all cancelled timers if most timers are cancelled."""
        self._cancelled += 1
        if self._cancelled > _COMPACTION_THRESHOLD and self._cancelled * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def close(self) -> None:
        """Discard all timers."""
        self._heap.clear()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _restart(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._sleeping_until = self._heap[0][0]
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._drop_cancelled():
            self._sleeping_until = self._heap[0][0]
            wait = self._sleeping_until - self._clock.now()
            if wait > 0:
                await self._clock.sleep(wait)
            self._run_due(self._clock.now())
        self._task = None

    def _drop_cancelled(self) -> bool:
        """Remove cancelled timers that would be next; return whether any timer is left.

        Most timers are time limits of calls that end in time. Waking up at each of them would cost
        as much as the calls.
        """
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
            self._cancelled = max(0, self._cancelled - 1)
        return bool(self._heap)

    def _run_due(self, now: float) -> None:
        # Callbacks may add timers. With -inf here they do not restart the task: it computes its
        # next sleep after all due callbacks have run.
        self._sleeping_until = float("-inf")
        while self._heap and self._heap[0][0] <= now:
            timer = heapq.heappop(self._heap)[2]
            if timer.callback is None:
                self._cancelled = max(0, self._cancelled - 1)
                continue
            callback, timer.callback = timer.callback, None
            callback()


class _TimeLimit:
    """Cancel the block at a given time and convert that cancellation to ``TimeoutError``."""

    def __init__(self, timers: Timers, when: float) -> None:
        self._timers = timers
        self._when = when
        self._expired = False

    async def __aenter__(self) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._task = task
        self._cancelling = task.cancelling()
        self._timer = self._timers.call_at(self._when, self._expire)

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: object
    ) -> None:
        self._timer.cancel()
        if not self._expired:
            return
        # If another caller cancels the task at the same time, that cancellation must not be
        # lost. In this case the task counts more cancellations than at the start of the block.
        if self._task.uncancel() <= self._cancelling and kind is asyncio.CancelledError:
            raise TimeoutError from error

    def _expire(self) -> None:
        self._expired = True
        self._task.cancel()
