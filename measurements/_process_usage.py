"""Read what a fleet's processes have used, from their own metrics, and fit slopes to it."""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import aiohttp

_CPU = "process_cpu_seconds_total"
_MEMORY = "process_resident_memory_bytes"
_BYTES_IN = 'cranberrywall_links_bytes_total{direction="in"}'
_BYTES_OUT = 'cranberrywall_links_bytes_total{direction="out"}'


class Usage(NamedTuple):
    """Hold processor seconds, resident bytes, and bytes on the streams since the start."""

    cpu_s: float
    memory_bytes: float
    bytes_in: float
    bytes_out: float


class Line(NamedTuple):
    """Describe ``y = start + slope * x``."""

    start: float
    slope: float


async def read_usage(session: aiohttp.ClientSession, admin: str) -> Usage:
    """Return what the process at the address ``admin`` has used, by its own counts."""
    async with session.get(f"http://{admin}/metrics") as answer:
        value_by_name = _values((await answer.text()).splitlines())
    return Usage(*(value_by_name[name] for name in (_CPU, _MEMORY, _BYTES_IN, _BYTES_OUT)))


async def read_state(session: aiohttp.ClientSession, admin: str) -> dict[str, Any]:
    """Return the state of the process at the address ``admin``."""
    async with session.get(f"http://{admin}/state") as answer:
        state: dict[str, Any] = await answer.json()
    return state


def usage_per_second(before: Usage, after: Usage, seconds: float) -> Usage:
    """Return what was used for each second between two readings; memory is the later one's."""
    return Usage(
        (after.cpu_s - before.cpu_s) / seconds,
        after.memory_bytes,
        (after.bytes_in - before.bytes_in) / seconds,
        (after.bytes_out - before.bytes_out) / seconds,
    )


def mean_usage(usages: Sequence[Usage]) -> Usage:
    """Return the mean of several processes' usage."""
    return Usage(*(sum(values) / len(usages) for values in zip(*usages, strict=True)))


def describe_usage(usage: Usage) -> str:
    """Return a second's usage as text."""
    megabytes = usage.memory_bytes / 1e6
    return f"{usage.cpu_s * 100:.2f}% of a core, {megabytes:.0f} MB, {usage.bytes_out:.0f} B/s out"


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the line of least squares through ``points``.

    >>> fit_line([(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)])
    Line(start=1.0, slope=2.0)
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(mean_y - slope * mean_x, slope)


def _values(lines: Iterable[str]) -> dict[str, float]:
    pairs = (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    return {name: float(value) for name, value in pairs}
