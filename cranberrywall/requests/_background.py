"""Background tasks that outlive the call that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from cranberrywall.observability import log_event


class BackgroundTasks:
    """Hold references to tasks until they end.

    The event loop holds only weak references to tasks, so a task without another reference
    may be garbage collected before it ends.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work`` in a task of its own."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def __len__(self) -> int:
        """Return the number of tasks that have not ended."""
        return len(self._tasks)

    async def wait_empty(self, timeout_s: float | None = None) -> None:
        """Return once all tasks, and all tasks that they spawn, have ended, or time is up."""
        try:
            async with asyncio.timeout(timeout_s):
                while self._tasks:
                    await asyncio.wait(list(self._tasks))
        except TimeoutError:
            log_event("WARNING", "background_tasks_left", tasks=len(self._tasks))

    def abort(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
