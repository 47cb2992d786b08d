"""Run a program until a signal, and say plainly where it could not start."""

import asyncio
import sys
from collections.abc import Callable

import click

from cranberrywall.commands._interfaces import Program
from cranberrywall.commands._secured import make_secured
from cranberrywall.commands._signals import run_until_stop_signal, stop_within
from cranberrywall.observability import (
    configure_process_log,
    dump_state_on_signal,
    log_event,
)
from cranberrywall.runtime import Runtime
from cranberrywall.settings import Settings
from cranberrywall.tls import TlsKeeper

Make = Callable[[Settings, Runtime, TlsKeeper | None], Program]

EXIT_NOT_STARTED = 1
SHUTDOWN_S = 60.0


class _ProgramService:
    """Start and stop a program with the process."""

    def __init__(self, settings: Settings, make: Make, shutdown_timeout: float) -> None:
        self._settings = settings
        self._make = make
        self._shutdown_timeout = shutdown_timeout
        self._program: Program | None = None
        self._watch: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the program, and dump its state on SIGUSR1."""
        secured = make_secured(self._settings)
        self._program = self._make(self._settings, *secured)
        await self._program.start()
        dump_state_on_signal(self._program.state)
        self._watch = secured.watch()

    async def stop(self) -> None:
        """Stop the program."""
        if self._watch is not None:
            self._watch.cancel()
        if self._program is not None:
            await stop_within(self._shutdown_timeout, self._program.stop())


def run_until_signal(
    kind: str,
    settings: Settings,
    make: Make,
    shutdown_timeout: float = SHUTDOWN_S,
) -> None:
    """Run a program until SIGTERM or SIGINT; exit 1 where an address cannot be bound.

    ``kind`` names the program in the log, and ``make`` makes it once the event loop runs.
    ``shutdown_timeout`` is how long it may take to stop, in seconds.
    """
    level = settings["log"]["level"]
    configure_process_log(kind, settings["host"], settings["place"], level, sys.stderr)
    service = _ProgramService(settings, make, shutdown_timeout)
    try:
        run_until_stop_signal(service, _log_ignored_reload)
    except OSError as error:
        remedy = "end the process that has it, or give another address under `listen`"
        click.echo(f"not started: {error} (remedy: {remedy})", err=True)
        sys.exit(EXIT_NOT_STARTED)


def _log_ignored_reload() -> None:
    reason = "settings are read at the start; the configuration is changed with cranberrywallctl"
    log_event("WARNING", "reload_ignored", reason=reason)
