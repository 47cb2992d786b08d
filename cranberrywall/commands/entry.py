"""Run an entry host: callers, targets and spending."""

import signal
from functools import partial

import click

from cranberrywall.commands._entry_program import EntryProgram
from cranberrywall.commands._entry_service import make_entry_program
from cranberrywall.commands._running import run_until_signal
from cranberrywall.observability import StateRegistry
from cranberrywall.runtime import Runtime
from cranberrywall.settings import Settings
from cranberrywall.settings.options import settings_options
from cranberrywall.tls import TlsKeeper

LONGEST_DRAIN_S = 3600.0
"""The last stream must end within this; a graceful shutdown cuts none before."""


class _DrainedProgram:
    """Run an entry host that drains before it stops."""

    def __init__(self, program: EntryProgram) -> None:
        self._program = program
        # An operator's drain ends the process by the way that SIGTERM does.
        program.on_drain = partial(signal.raise_signal, signal.SIGTERM)

    @property
    def state(self) -> StateRegistry:
        return self._program.state

    async def start(self) -> None:
        await self._program.start()

    async def stop(self) -> None:
        await self._program.drain()
        await self._program.stop()


def _make_drained_program(
    settings: Settings, runtime: Runtime, tls: TlsKeeper | None
) -> _DrainedProgram:
    return _DrainedProgram(make_entry_program(settings, runtime, tls))


@click.command()
@settings_options("entry")
def main(settings: Settings) -> None:
    """Run an entry host until SIGTERM or SIGINT."""
    run_until_signal("entry", settings, _make_drained_program, LONGEST_DRAIN_S)


if __name__ == "__main__":
    main()
