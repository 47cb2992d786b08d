"""Log the progress of a shutdown, so that a late one can be explained."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

PROGRESS_INTERVAL_S = 1.0

TASK_DUMP_DELAY_S = 20.0
"""Time after the start of a shutdown at which the running tasks are logged once, in seconds."""

MAX_DUMPED_TASKS = 40

NOT_STARTED = "not_started"


class ShutdownLog:
    """Log each step of a shutdown, and once a second what the process still has to finish."""

    def __init__(self, clock: Clock, remaining: Callable[[], Mapping[str, Any]]) -> None:
        """Create the log; ``remaining`` returns what is not finished yet, for the log lines."""
        self._clock = clock
        self._remaining = remaining
        self._step = NOT_STARTED
        self._started_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def start_step(self, step: str) -> None:
        """Log that ``step`` starts; the first step starts the progress lines."""
        self._step = step
        if self._task is None:
            self._started_at = self._clock.now()
            self._task = asyncio.create_task(self._log_progress())
        log_event("INFO", "shutdown_step", **self._progress())

    def end(self) -> None:
        """Stop the progress lines."""
        if self._task is not None:
            self._task.cancel()

    async def _log_progress(self) -> None:
        is_dumped = False
        while True:
            await self._clock.sleep(PROGRESS_INTERVAL_S)
            log_event("INFO", "shutdown_progress", **self._progress())
            if not is_dumped and self._elapsed_s() >= TASK_DUMP_DELAY_S:
                is_dumped = True
                self._dump_tasks()

    def _elapsed_s(self) -> float:
        return self._clock.now() - self._started_at

    def _progress(self) -> dict[str, Any]:
        elapsed_s = round(self._elapsed_s(), 3)
        return {"step": self._step, "elapsed_s": elapsed_s, **self._remaining()}

    def _dump_tasks(self) -> None:
        tasks = sorted(task.get_name() + " " + _describe(task) for task in asyncio.all_tasks())
        for task in tasks[:MAX_DUMPED_TASKS]:
            log_event("WARNING", "shutdown_task", step=self._step, task=task)
        log_event("WARNING", "shutdown_is_late", step=self._step, tasks=len(tasks))


def _describe(task: asyncio.Task[Any]) -> str:
    """Return the function of a task and the line at which it waits."""
    stack = task.get_stack(limit=1)
    where = f"{stack[-1].f_code.co_filename}:{stack[-1].f_lineno}" if stack else "no frame"
    name = getattr(task.get_coro(), "__qualname__", "")
    return f"{name} {where.rpartition('/')[2]}"
