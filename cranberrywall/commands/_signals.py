"""Run a service until the first signal to stop."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Protocol

import uvloop

from cranberrywall.observability import log_event

EXIT_SHUTDOWN_TIMED_OUT = 70
"""Exit status of a process whose shutdown was aborted, as in ``sysexits.h``."""

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Service(Protocol):
    """Define what runs in a process until a signal."""

    async def start(self) -> None:
        """Start the work; raise ``OSError`` where it cannot start."""
        ...

    async def stop(self) -> None:
        """End the work."""
        ...


def run_until_stop_signal(service: Service, on_reload: Callable[[], None]) -> None:
    """Run ``service`` until SIGTERM or SIGINT, and stop it.

    Only the first of these signals has an effect: ending a process that already stops would cut
    its requests. ``on_reload`` is called on SIGHUP. Errors of the service's start are raised.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        is_requested = asyncio.Event()
        for number in _STOP_SIGNALS:
            _call_on_signal(runner.get_loop(), number, partial(_request_stop, number, is_requested))
        _call_on_signal(runner.get_loop(), signal.SIGHUP, on_reload)
        runner.run(service.start())
        try:
            runner.run(_wait(is_requested))
        finally:
            runner.run(service.stop())


async def _wait(event: asyncio.Event) -> None:
    await event.wait()


async def stop_within(seconds: float, stop: Awaitable[None]) -> None:
    """Wait for ``stop``, or raise ``SystemExit`` after so many seconds."""
    try:
        async with asyncio.timeout(seconds):
            await stop
    except TimeoutError:
        log_event("ERROR", "shutdown_timed_out", seconds=seconds)
        raise SystemExit(EXIT_SHUTDOWN_TIMED_OUT) from None


def _call_on_signal(
    loop: asyncio.AbstractEventLoop, number: signal.Signals, callback: Callable[[], None]
) -> None:
    """Call ``callback`` in the event loop on each signal.

    Handlers that are added to the loop itself miss signals that come while it is not running,
    which it is not between the start of a service and the wait for its stop.
    """

    def handle(*_: object) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback)

    signal.signal(number, handle)


def _request_stop(number: signal.Signals, is_requested: asyncio.Event) -> None:
    if is_requested.is_set():
        log_event("WARNING", "signal_ignored", signal=number.name, reason="the process stops")
        return
    log_event("INFO", "stop_requested", signal=number.name)
    is_requested.set()
