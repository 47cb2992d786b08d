"""Run the operators' console."""

import asyncio

import aiomisc
import click

from cranberrywall.commands._console_program import ConsoleProgram, make_console_program
from cranberrywall.commands._running import run_until_signal
from cranberrywall.commands._secured import make_secured
from cranberrywall.observability import configure_log, dump_state_on_signal
from cranberrywall.settings import Settings, settings_options


class _ConsoleService(aiomisc.Service):
    """Start and stop the console with the process."""

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self._program: ConsoleProgram | None = None
        self._watch: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the program, and dump its state on SIGUSR1."""
        secured = make_secured(self._settings)
        self._program = make_console_program(self._settings, *secured)
        await self._program.start()
        dump_state_on_signal(self._program.state)
        self._watch = secured.watch()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the program."""
        if self._watch is not None:
            self._watch.cancel()
        if self._program is not None:
            await self._program.stop()


@click.command()
@settings_options("console")
def main(settings: Settings) -> None:
    """Run the console until SIGTERM or SIGINT."""
    configure_log("console", settings["host"], settings["place"], settings["log"]["level"])
    run_until_signal(_ConsoleService(settings))


if __name__ == "__main__":
    main()
