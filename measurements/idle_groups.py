"""Measure what idle groups cost a control host: processor time, and bytes to its peers.

Three hosts run in this process; a third of what it uses is a host's share.
"""

import asyncio
import time
from typing import NamedTuple

import click
import uvloop
from loguru import logger

from measurements._control_hosts import HOSTS, started_hosts
from measurements._figures import report_figures

_SETTLE_S = 3.0


class Cost(NamedTuple):
    """Hold one host's share of a core, in percent, and the bytes it sends a second."""

    cpu_percent: float
    bytes_per_s: float


async def measure_idle(groups: int, seconds: float) -> Cost:
    """Return one host's cost with ``groups`` idle groups."""
    names = [f"idle-{number}" for number in range(groups)]
    async with started_hosts(names) as hosts:
        for name in names:
            await hosts.leader(name)
        await asyncio.sleep(_SETTLE_S)
        used, sent = time.process_time(), hosts.bytes_sent
        await asyncio.sleep(seconds)
        used, sent = time.process_time() - used, hosts.bytes_sent - sent
    return Cost(100 * used / seconds / len(HOSTS), sent / seconds / len(HOSTS))


async def measure(few: int, many: int, seconds: float) -> None:
    """Measure few and many groups, and report the cost of each further one."""
    first = await measure_idle(few, seconds)
    last = await measure_idle(many, seconds)
    figures = {
        "groups": many,
        "cpu_percent": last.cpu_percent,
        "bytes_per_s": last.bytes_per_s,
        "cpu_percent_per_group": (last.cpu_percent - first.cpu_percent) / (many - few),
        "bytes_per_s_per_group": (last.bytes_per_s - first.bytes_per_s) / (many - few),
    }
    report_figures("idle_groups", figures)


@click.command()
@click.option("--few", default=1, help="Groups of the first run.")
@click.option("--many", default=9, help="Groups of the second run.")
@click.option("--seconds", default=8.0, help="Time measured in each run.")
def main(few: int, many: int, seconds: float) -> None:
    """Measure the cost of idle groups."""
    logger.remove()
    uvloop.run(measure(few, many, seconds))


if __name__ == "__main__":
    main()
