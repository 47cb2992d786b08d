"""Run one stand-in as a process until a signal."""

import asyncio
import json
import os
import signal
from collections.abc import Callable
from typing import ParamSpec, TypeVar

import click
import uvloop

from standins._announcer import AnnounceOptions
from standins._faults import Faults
from standins._serving import StandIn, serve

KEY_VARIABLE = "STANDIN_TARGET_KEY"
DIED_EXIT_STATUS = 70

Parameters = ParamSpec("Parameters")
Returned = TypeVar("Returned")


class FaultsParameter(click.ParamType[Faults]):
    """Read faults such as ``slow=3,cut=0.1``."""

    name = "faults"

    def convert(
        self,
        value: str | Faults,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Faults:
        """Return the named faults over none, or fail with the names there are."""
        if isinstance(value, Faults):
            return value
        named: dict[str, float] = {}
        for part in filter(None, value.split(",")):
            name, _, number = part.partition("=")
            if name not in Faults._fields:
                self.fail(f"{name!r} is no fault; take from {', '.join(Faults._fields)}")
            try:
                named[name] = float(number)
            except ValueError:
                self.fail(f"{part!r} needs a number, as in {name}=0.1")
        return Faults(**named)


def standin_options(command: Callable[Parameters, Returned]) -> Callable[Parameters, Returned]:
    """Add the options that every stand-in takes, in the order of the help page."""
    for option in reversed(_STANDIN_OPTIONS):
        command = option(command)
    return command


_STANDIN_OPTIONS = (
    click.option("--place", default="town-hall", help="The place it stands in."),
    click.option("--host", default="127.0.0.1", help="The address to bind."),
    click.option("--port", default=0, help="The port to bind; 0 takes a free one."),
    click.option("--entry", "entries", multiple=True, help="URL of an entry host to announce to."),
    click.option("--key", envvar=KEY_VARIABLE, default="", help="The fleet's target key."),
    click.option("--faults", type=FaultsParameter(), default=Faults(), help="As slow=3,cut=0.1."),
    click.option("--seed", default=1, help="The seed of every draw."),
)


def announce_options(entries: tuple[str, ...], key: str) -> AnnounceOptions | None:
    """Return how to announce, or ``None`` where no entry host is named."""
    return AnnounceOptions(entries, key) if entries else None


def run_until_signal(
    standin: StandIn, host: str, port: int, announce: AnnounceOptions | None
) -> None:
    """Serve until SIGTERM (leave first) or SIGINT; print the URL as a JSON line."""
    uvloop.run(_run(standin, host, port, announce))


async def _run(standin: StandIn, host: str, port: int, announce: AnnounceOptions | None) -> None:
    async def die() -> None:
        os._exit(DIED_EXIT_STATUS)

    standin.switch.on_death = die
    serving = await serve(standin, host, port, announce)
    click.echo(json.dumps({"url": serving.url}))
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await serving.leave()
