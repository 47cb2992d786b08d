"""Run an entry host: callers, targets and spending."""

import asyncio
import signal
from functools import partial

import aiomisc
import click

from cranberrywall.commands._entry_program import EntryProgram, make_entry_program
from cranberrywall.commands._running import run_until_signal
from cranberrywall.commands._secured import make_secured
from cranberrywall.observability import configure_log, dump_state_on_signal
from cranberrywall.settings import Settings, settings_options

LONGEST_DRAIN_S = 3600.0
"""The last stream must end within this; a graceful shutdown cuts none before."""


class _EntryService(aiomisc.Service):
    """Start and stop the entry program with the process."""

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self._program: EntryProgram | None = None
        self._watch: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the program, and dump its state on SIGUSR1."""
        secured = make_secured(self._settings)
        self._program = make_entry_program(self._settings, *secured)
        # An operator's drain ends the process by the way that SIGTERM does.
        self._program.on_drain = partial(signal.raise_signal, signal.SIGTERM)
        await self._program.start()
        dump_state_on_signal(self._program.state)
        self._watch = secured.watch()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain and stop the program."""
        if self._watch is not None:
            self._watch.cancel()
        if self._program is not None:
            await self._program.drain()
            await self._program.stop()


@click.command()
@settings_options("entry")
def main(settings: Settings) -> None:
    """Run an entry host until SIGTERM or SIGINT."""
    configure_log("entry", settings["host"], settings["place"], settings["log"]["level"])
    run_until_signal(_EntryService(settings), shutdown_timeout=LONGEST_DRAIN_S)


if __name__ == "__main__":
    main()
