"""Keep the tasks that outlive the call that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Own tasks until they end; the event loop itself holds only weak references."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work`` in a task of its own."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def empty(self) -> bool:
        """Say whether all tasks have ended."""
        return not self._tasks

    async def wait_empty(self) -> None:
        """Return once all tasks, and those that they start, have ended."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def abort(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
