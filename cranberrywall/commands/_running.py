"""Run a program until a signal, and say plainly where it could not start."""

import sys
from collections.abc import Callable
from typing import Protocol

import aiomisc
import click
import uvloop

from cranberrywall.observability import StateRegistry, configure_log, dump_state_on_signal
from cranberrywall.runtime import Runtime, make_runtime
from cranberrywall.settings import Settings

EXIT_NOT_STARTED = 1
SHUTDOWN_S = 60.0


class Program(Protocol):
    """Define what a process does between its start and its end."""

    @property
    def state(self) -> StateRegistry:
        """Return what SIGUSR1 and ``/state`` dump."""
        ...

    async def start(self) -> None:
        """Start serving, or raise ``OSError`` where an address cannot be bound."""
        ...

    async def stop(self) -> None:
        """End the work in good order."""
        ...


class _ProgramService(aiomisc.Service):
    """Start and stop a program with the process."""

    def __init__(self, settings: Settings, make: Callable[[Settings, Runtime], Program]) -> None:
        super().__init__()
        self._settings = settings
        self._make = make
        self._program: Program | None = None

    async def start(self) -> None:
        """Start the program, and dump its state on SIGUSR1."""
        runtime = make_runtime(self._settings.get("data"))
        self._program = self._make(self._settings, runtime)
        await self._program.start()
        dump_state_on_signal(self._program.state)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the program."""
        if self._program is not None:
            await self._program.stop()


def run_until_signal(
    kind: str,
    settings: Settings,
    make: Callable[[Settings, Runtime], Program],
    shutdown_timeout: float = SHUTDOWN_S,
) -> None:
    """Run a program until SIGTERM or SIGINT; exit 1 where an address cannot be bound.

    ``kind`` names the program in the log, and ``make`` makes it once the event loop runs.
    ``shutdown_timeout`` is how long it may take to stop, in seconds.
    """
    configure_log(kind, settings["host"], settings["place"], settings["log"]["level"])
    entrypoint = aiomisc.entrypoint(
        _ProgramService(settings, make),
        log_config=False,
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=shutdown_timeout,
    )
    try:
        with entrypoint as loop:
            loop.run_forever()
    except OSError as error:
        remedy = "end the process that has it, or give another address under `listen`"
        click.echo(f"not started: {error} (remedy: {remedy})", err=True)
        sys.exit(EXIT_NOT_STARTED)
