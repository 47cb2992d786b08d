"""Let a run at a target be ended early."""

import asyncio

from cranberrywall.quarantine._runs import Run


def stoppable(run: Run, seconds: float | None) -> asyncio.Timeout:
    """Return a limit for a run's time, which is over at once when the run is stopped.

    The block that it limits raises ``TimeoutError`` either way; ``run.is_stopped`` tells which.
    """
    limit = asyncio.timeout(seconds)

    def end_now() -> None:
        if not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())

    run.on_stop = end_now
    return limit
