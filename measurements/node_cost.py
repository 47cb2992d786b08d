"""Measure what control costs an idle entry host, by the number of hosts and of targets.

One control host and entry hosts run as real processes. First entry hosts are added, before a
few targets; then targets are added before all hosts. The targets announce themselves to one
host each, every 2 s, as the stand-ins do; nobody sends requests. So all that a process uses
is control: membership, configuration, announcements and allotments.

- ``cpu_percent_per_host``, ``bytes_per_s_per_host``: slopes by entry hosts (bytes out)
- ``cpu_percent_per_target``, ``bytes_per_s_per_target``, ``memory_per_target_bytes``: by targets
- ``control_*_per_host``, ``control_*_per_target``: the same slopes at the control host, to
  which each entry host reports its targets (bytes in)
- ``console_*``: the console, while nobody visits it
- ``renewal_bytes``: one renewal, as it is passed on from host to host
- ``announcements_per_s``: those that a host takes at first hand with the most targets
- ``known_of_N``: targets that the host with the fewest knows, of N, some 20 s after the last
  of them began to announce itself
"""

import asyncio
import os
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import aiohttp
import click
import uvloop
from loguru import logger

from cranberrywall.demo import (
    SAVINGS_BOARD,
    FleetClient,
    FleetFiles,
    FleetSize,
    make_fleet_client,
    read_deployment,
    wait_for_targets,
    write_fleet,
)
from cranberrywall.hosts import Item
from cranberrywall.hosts._spread import size_of
from cranberrywall.targets import TARGETS_CODEC, Announcement, Load
from measurements._figures import Figure, report_figures
from measurements._process_usage import (
    Usage,
    describe_usage,
    fit_line,
    mean_usage,
    read_state,
    read_usage,
    usage_per_second,
)
from measurements._processes import FleetProcesses

NET = 32
HOST_COUNTS = (1, 4, 7)
TARGET_COUNTS = (10, 100, 400)
RENEW_EVERY_S = 2.0
SETTLE_S = 4.0
KEEP_S = 10.0
PATIENCE_S = 30.0
MODEL = "drafting-llm"
CONTROL = "control-1"
CONSOLE = "console-1"


class Step(NamedTuple):
    """Hold the entry hosts' mean usage a second, and the control host's."""

    hosts: int
    targets: int
    usage: Usage
    control: Usage


class SimulatedTargets:
    """Announce targets that nobody sends work to, evenly over time and over the hosts."""

    def __init__(self, files: FleetFiles, session: aiohttp.ClientSession) -> None:
        self._files = files
        self._session = session
        self._place = str(files.document["hosts"]["entry-1"]["place"])
        # Targets of another version would be given orders that they cannot carry out.
        self._version = str(files.document["models"][MODEL]["version"])
        self._urls: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.failures = 0

    def announce_to(self, hosts: Sequence[str]) -> None:
        """Announce to these hosts from now on, each target to one of them."""
        self._urls = [f"http://{self._files.by_host[host].listen['http']}" for host in hosts]

    def add_up_to(self, count: int) -> None:
        """Start further targets, up to ``count``."""
        for number in range(len(self._tasks), count):
            self._tasks.append(asyncio.create_task(self._renew(number)))

    async def stop(self) -> None:
        """Stop without a word."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _renew(self, number: int) -> None:
        incarnation = int(time.time() * 1000)
        counter = 0
        await asyncio.sleep(number * 0.618 % 1 * RENEW_EVERY_S)
        while True:
            counter += 1
            body = {
                "target": f"engine-{number}",
                "incarnation": incarnation,
                "counter": counter,
                "kind": "engine",
                "name": MODEL,
                "place": self._place,
                "url": f"http://127.0.{NET}.200:{10_000 + number}",
                "versions": [self._version],
                "adapters": [],
                "capacity": 16,
                "checks_fencing": True,
                "leaving": False,
                "load": {"running": counter % 7, "waiting": 0, "at": time.time()},
                "cache_events": [],
            }
            await self._post(self._urls[number % len(self._urls)], body)
            await asyncio.sleep(RENEW_EVERY_S)

    async def _post(self, url: str, body: dict[str, object]) -> None:
        headers = {"Authorization": f"Bearer {self._files.keys.target}"}
        path = f"{url}/v1/targets/announce"
        try:
            async with self._session.post(path, json=body, headers=headers) as answer:
                self.failures += answer.status != 200
        except aiohttp.ClientError:
            self.failures += 1


class Run:
    """Hold the processes and the targets of one run."""

    def __init__(self, files: FleetFiles, session: aiohttp.ClientSession) -> None:
        self._files = files
        self._session = session
        self.processes = FleetProcesses(files)
        self.targets = SimulatedTargets(files, session)
        self._entries: list[str] = []

    async def start_control(self, client: FleetClient) -> None:
        """Start the control host and give it the document."""
        await self.processes.start([CONTROL])
        await client.commit(self._files.document, PATIENCE_S)

    async def measure(self, hosts: int, targets: int, seconds: float) -> Step:
        """Start what is missing, wait for quiet, and return what a host uses a second."""
        all_entries = [host.name for host in self._files.of_role("entry")]
        new = all_entries[len(self._entries) : hosts]
        self._entries = all_entries[:hosts]
        await self.processes.start(new)
        self.targets.announce_to(self._entries)
        self.targets.add_up_to(targets)
        await asyncio.sleep(SETTLE_S)
        before = await self._usages()
        await asyncio.sleep(seconds)
        after = await self._usages()
        used = [usage_per_second(*pair, seconds) for pair in zip(before, after, strict=True)]
        return Step(hosts, targets, mean_usage(used[1:]), used[0])

    async def measure_console(self, seconds: float) -> Usage:
        """Start the console and return what it uses a second while nobody visits it."""
        await self.processes.start([CONSOLE])
        await asyncio.sleep(SETTLE_S)
        before = await read_usage(self._session, self._admin(CONSOLE))
        await asyncio.sleep(seconds)
        after = await read_usage(self._session, self._admin(CONSOLE))
        return usage_per_second(before, after, seconds)

    async def known_least(self) -> int:
        """Return how many targets the host that knows the fewest knows."""
        states = [await read_state(self._session, self._admin(host)) for host in self._entries]
        return min(len(state["targets"]) for state in states)

    async def _usages(self) -> list[Usage]:
        return [
            await read_usage(self._session, self._admin(host)) for host in (CONTROL, *self._entries)
        ]

    def _admin(self, host: str) -> str:
        return self._files.by_host[host].listen["admin"]


@click.command()
@click.option("--seconds", default=6.0, help="Time measured at each size.")
def main(seconds: float) -> None:
    """Measure the share of a core, the memory and the bytes that control costs a host."""
    logger.remove()
    with tempfile.TemporaryDirectory(prefix="node-cost-") as folder:
        uvloop.run(_measure(Path(folder), seconds))


async def _measure(folder: Path, seconds: float) -> None:
    size = FleetSize(1, max(HOST_COUNTS), 1)
    files = write_fleet(folder / "fleet", read_deployment(SAVINGS_BOARD), size, NET)
    client = make_fleet_client(files)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        run = Run(files, session)
        try:
            await run.start_control(client)
            report_figures("node_cost", await _measure_run(run, files, seconds))
        finally:
            await run.targets.stop()
            await client.close()
            await run.processes.end_all()


async def _measure_run(run: Run, files: FleetFiles, seconds: float) -> dict[str, Figure]:
    few_targets, most_hosts = min(TARGET_COUNTS), max(HOST_COUNTS)
    by_hosts = [await run.measure(hosts, few_targets, seconds) for hosts in HOST_COUNTS]
    await wait_for_targets(files, few_targets, PATIENCE_S)
    more: list[Step] = []
    known_by_count: dict[str, Figure] = {}
    for targets in TARGET_COUNTS[1:]:
        more.append(await run.measure(most_hosts, targets, seconds))
        await asyncio.sleep(KEEP_S)
        known_by_count[f"known_of_{targets}"] = await run.known_least()
    by_targets = [by_hosts[-1], *more]
    console = await run.measure_console(seconds)
    for step in (*by_hosts, *more):
        print(f"{step.hosts} hosts, {step.targets} targets: {describe_usage(step.usage)}")
        print(f"  control host: {describe_usage(step.control)}")
    return {
        "hosts": most_hosts,
        "targets": max(TARGET_COUNTS),
        "cpu_percent": by_hosts[-1].usage.cpu_s * 100,
        "bytes_per_s": by_hosts[-1].usage.bytes_out,
        "memory_bytes": by_hosts[-1].usage.memory_bytes,
        **_slopes("host", [(step.hosts, step) for step in by_hosts]),
        **_slopes("target", [(step.targets, step) for step in by_targets]),
        "console_cpu_percent": console.cpu_s * 100,
        "console_memory_bytes": console.memory_bytes,
        "console_bytes_per_s": console.bytes_out,
        "renewal_bytes": renewal_bytes(),
        "announcements_per_s": max(TARGET_COUNTS) / RENEW_EVERY_S / most_hosts,
        "failed_announcements": run.targets.failures,
        **known_by_count,
        "load_average": os.getloadavg()[0],
    }


def _slopes(by: str, steps: Sequence[tuple[float, Step]]) -> dict[str, Figure]:
    def slope(read: Callable[[Step], float]) -> float:
        return fit_line([(size, read(step)) for size, step in steps]).slope

    return {
        f"cpu_percent_per_{by}": slope(lambda step: step.usage.cpu_s * 100),
        f"bytes_per_s_per_{by}": slope(lambda step: step.usage.bytes_out),
        f"memory_per_{by}_bytes": slope(lambda step: step.usage.memory_bytes),
        f"control_cpu_percent_per_{by}": slope(lambda step: step.control.cpu_s * 100),
        f"control_bytes_per_s_per_{by}": slope(lambda step: step.control.bytes_in),
    }


def renewal_bytes() -> int:
    """Return the size of one renewal as it is passed on, without cache events."""
    announcement = Announcement(
        target="engine-1",
        incarnation=1_793_000_000_000,
        counter=1_000,
        kind="engine",
        name=MODEL,
        place="town-hall",
        url=f"http://127.0.{NET}.200:10000",
        capacity=16,
        versions=("v1",),
        checks_fencing=True,
        load=Load(3, 0, 1_793_000_000.5),
    )
    payload = TARGETS_CODEC.encode(announcement)
    return size_of(Item("target-renewal", announcement.target, (1, 0, 1), payload))


if __name__ == "__main__":
    main()
