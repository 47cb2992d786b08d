"""Signals to a process that starts, runs and stops."""

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from cranberrywall.commands._signals import EXIT_SHUTDOWN_TIMED_OUT

PROGRAM = """
import asyncio, sys
from cranberrywall.commands._signals import run_until_stop_signal, stop_within

start_s, stop_s, limit_s = map(float, sys.argv[1:])

def say(line):
    print(line, flush=True)

class Service:
    async def start(self):
        say("starting")
        await asyncio.sleep(start_s)
        say("started")

    async def stop(self):
        say("stopping")
        await stop_within(limit_s, asyncio.sleep(stop_s))
        say("stopped")

run_until_stop_signal(Service(), lambda: say("reload"))
"""

ROOT = Path(__file__).parents[2]
LIMIT_S = 10.0
TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP


class RunningProgram:
    """A process whose service starts, and stops at a signal."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self._lines: list[str] = []

    def send(self, *numbers: signal.Signals) -> None:
        for number in numbers:
            self._process.send_signal(number)

    async def wait_for(self, line: str) -> None:
        assert self._process.stdout is not None
        async with asyncio.timeout(LIMIT_S):
            while line not in self._lines:
                data = await self._process.stdout.readline()
                assert data, self._lines
                self._lines.append(data.decode().strip())

    async def wait_for_exit(self) -> int:
        async with asyncio.timeout(LIMIT_S):
            return await self._process.wait()


@asynccontextmanager
async def running(
    start_s: float = 0.0, stop_s: float = 0.5, limit_s: float = LIMIT_S
) -> AsyncIterator[RunningProgram]:
    arguments = (f"{seconds}" for seconds in (start_s, stop_s, limit_s))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", PROGRAM, *arguments, stdout=asyncio.subprocess.PIPE, cwd=ROOT
    )
    try:
        yield RunningProgram(process)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@pytest.mark.parametrize("first", [TERM, INT])
@pytest.mark.parametrize("second", [TERM, INT])
async def test_a_second_signal_does_not_end_the_stop(
    first: signal.Signals, second: signal.Signals
) -> None:
    """Guards against a platform or a person that sends a signal twice and cuts all requests."""
    async with running() as program:
        await program.wait_for("started")
        program.send(first)
        await program.wait_for("stopping")
        program.send(second, second)
        await program.wait_for("stopped")
        assert await program.wait_for_exit() == 0


async def test_a_signal_during_the_start_stops_the_process_after_it() -> None:
    """Guards against a process that ends in mid start, with the requests that it accepted."""
    async with running(start_s=0.5) as program:
        await program.wait_for("starting")
        program.send(TERM)
        await asyncio.sleep(0.1)
        program.send(TERM)
        await program.wait_for("stopped")
        assert await program.wait_for_exit() == 0


async def test_a_reload_signal_ends_nothing() -> None:
    """Guards against a process that ends since its settings file changed."""
    async with running(start_s=0.2) as program:
        await program.wait_for("starting")
        program.send(HUP)
        await program.wait_for("reload")
        await program.wait_for("started")
        program.send(TERM)
        await program.wait_for("stopping")
        program.send(HUP)
        await program.wait_for("stopped")
        assert await program.wait_for_exit() == 0


async def test_a_stop_that_takes_too_long_is_aborted() -> None:
    """Guards against a process that never ends, and against one that hides that it was aborted."""
    async with running(stop_s=5.0, limit_s=0.2) as program:
        await program.wait_for("started")
        program.send(TERM)
        assert await program.wait_for_exit() == EXIT_SHUTDOWN_TIMED_OUT
