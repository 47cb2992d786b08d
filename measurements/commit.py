"""Measure how many changes a second three hosts commit, with and without batches.

Real files and loopback streams; all hosts run in this process, so they share one core.
Unbatched is one sync and one round to the followers for each change.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import click
import uvloop
from hdrh.histogram import HdrHistogram
from loguru import logger
from result import Ok

from measurements._control_hosts import started_hosts
from measurements._figures import report_figures
from tests.naive.unbatched import Unbatched

_COMMAND = b"x" * 100
_TIMEOUT_S = 10.0
_MICROSECONDS = 1_000_000
_WARM_UP_S = 0.5

Propose = Callable[[bytes], Awaitable[bool]]


class Rate(NamedTuple):
    """Hold commits a second, and the 99th percentile of a commit's time in ms."""

    per_second: float
    p99_ms: float


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
    async with started_hosts(["measured"]) as hosts:
        group = await hosts.leader("measured")
        unbatched = await measure_rate(Unbatched(group).propose, concurrent, seconds)

        async def propose(command: bytes) -> bool:
            return isinstance(await group.propose(command, _TIMEOUT_S), Ok)

        batched = await measure_rate(propose, concurrent, seconds)
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
