"""Timeout that also ends a run when the run is stopped."""

import asyncio

from cranberrywall.quarantine._runs import Run


def stoppable(run: Run, seconds: float | None) -> asyncio.Timeout:
    """Return a timeout for a run, which expires immediately when the run is stopped.

    The block that it limits raises ``TimeoutError`` in both cases; ``run.is_stopped`` is true if
    the run was stopped.
    """
    limit = asyncio.timeout(seconds)

    def end_now() -> None:
        if not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())

    run.on_stop = end_now
    return limit
