"""Measure how many changes a second three hosts commit, with and without batches.

Real files and loopback streams; all hosts run in this process, so they share one core.
Unbatched is one sync and one round to the followers for each change.
"""

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import click
import uvloop
from hdrh.histogram import HdrHistogram
from loguru import logger
from result import Ok

from cranberrywall.links import LinkCaller, LinkServer, Peer, make_caller, make_link_server
from cranberrywall.replication import GroupSettings, Replica, make_group
from cranberrywall.runtime import make_runtime
from measurements._figures import report_figures
from tests.naive.unbatched import Unbatched

_KEY = b"m" * 32
_HOSTS = ("a", "b", "c")
_COMMAND = b"x" * 100
_TIMEOUT_S = 10.0
_MICROSECONDS = 1_000_000
_WARM_UP_S = 0.5

Propose = Callable[[bytes], Awaitable[bool]]


class Counter:
    """Count commands: the cheapest state machine."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, command: bytes) -> bytes:
        """Count one command."""
        self.count += 1
        return b""

    def query(self, query: bytes) -> bytes:
        """Return the count."""
        return str(self.count).encode()

    def snapshot(self) -> bytes:
        """Return the count."""
        return str(self.count).encode()

    def restore(self, snapshot: bytes) -> None:
        """Take over a count."""
        self.count = int(snapshot)


class Rate(NamedTuple):
    """Hold commits a second, and the 99th percentile of a commit's time in ms."""

    per_second: float
    p99_ms: float


class Hosts:
    """Run three hosts of one group."""

    def __init__(self, folders: list[str]) -> None:
        self._folders = folders
        self._groups: list[Replica] = []
        self._links: list[LinkCaller | LinkServer] = []

    async def start(self) -> None:
        """Start all hosts and wait for a leader."""
        runtimes = [make_runtime(folder, seed) for seed, folder in enumerate(self._folders)]
        servers: list[LinkServer] = []
        for name, runtime in zip(_HOSTS, runtimes, strict=True):
            peer = Peer(name, "place", 1)
            server = make_link_server(runtime.network, runtime.clock, "127.0.0.1:0", _KEY, peer)
            await server.start()
            servers.append(server)
        addresses = {name: server.address for name, server in zip(_HOSTS, servers, strict=True)}
        for name, runtime, server in zip(_HOSTS, runtimes, servers, strict=True):
            peer = Peer(name, "place", 1)
            caller = make_caller(runtime.network, runtime.clock, runtime.random, _KEY, peer)
            group = make_group(
                "measured", addresses, name, Counter(), runtime, caller, server, GroupSettings()
            )
            started = await group.start()
            assert isinstance(started, Ok), started
            self._groups.append(group)
            self._links += [caller, server]

    async def leader(self) -> Replica:
        """Wait for a leader."""
        while True:
            for group in self._groups:
                if group.is_leader and isinstance(await group.query(b"", 1.0), Ok):
                    return group
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop all hosts."""
        for group in self._groups:
            await group.stop()
        for link in self._links:
            await link.close()


async def measure_rate(propose: Propose, concurrent: int, seconds: float) -> Rate:
    """Keep ``concurrent`` changes in progress for ``seconds``, after a short warm-up."""
    histogram = HdrHistogram(1, 60 * _MICROSECONDS, 3)
    started = time.monotonic() + _WARM_UP_S
    end = started + seconds

    async def work() -> None:
        while (begun := time.monotonic()) < end:
            committed = await propose(_COMMAND)
            assert committed, "a change was not committed"
            if begun >= started:
                histogram.record_value(int((time.monotonic() - begun) * _MICROSECONDS))

    await asyncio.gather(*(work() for _ in range(concurrent)))
    elapsed = time.monotonic() - started
    p99_ms = histogram.get_value_at_percentile(99) / 1000
    return Rate(histogram.get_total_count() / elapsed, p99_ms)


async def measure(concurrent: int, seconds: float) -> None:
    """Measure both ways and print the result."""
    with (
        tempfile.TemporaryDirectory() as one,
        tempfile.TemporaryDirectory() as two,
        tempfile.TemporaryDirectory() as three,
    ):
        hosts = Hosts([one, two, three])
        await hosts.start()
        group = await hosts.leader()
        unbatched = await measure_rate(Unbatched(group).propose, concurrent, seconds)

        async def propose(command: bytes) -> bool:
            return isinstance(await group.propose(command, _TIMEOUT_S), Ok)

        batched = await measure_rate(propose, concurrent, seconds)
        await hosts.stop()
    figures = {
        "commits_per_s": round(batched.per_second),
        "unbatched_per_s": round(unbatched.per_second),
        "ratio": batched.per_second / unbatched.per_second,
        "p99_ms": batched.p99_ms,
    }
    report_figures("commit", figures)


@click.command()
@click.option("--concurrent", default=200, help="Changes in progress at a time.")
@click.option("--seconds", default=8.0, help="Time measured for each way.")
def main(concurrent: int, seconds: float) -> None:
    """Measure commits a second on three hosts."""
    logger.remove()
    uvloop.run(measure(concurrent, seconds))


if __name__ == "__main__":
    main()
