"""Background tasks that outlive the call that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any


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

    @property
    def is_empty(self) -> bool:
        """Return whether all tasks have ended."""
        return not self._tasks

    async def wait_empty(self) -> None:
        """Return once all tasks, and all tasks that they spawn, have ended."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def abort(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
