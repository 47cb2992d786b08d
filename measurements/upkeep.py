"""Measure what an idle entry host spends on upkeep, by the size of the fleet.

Membership and the announcements of targets run over the network in memory and in virtual time.
There are five places and targets in proportion to the hosts, as on the largest deployment known.
Each target renews its announcement every two seconds at another host. Nobody sends requests.

- ``calls_N``, ``bytes_N``, ``wakeups_N``: calls sent, bytes sent and timers that woke the process,
  a host and second, with N hosts
- ``pushes_N``: the calls among them that push news from host to host
"""

import random
import sys
import time
from collections import Counter
from functools import partial
from typing import Any, NamedTuple

import click
from loguru import logger

from cranberrywall.routing import AnnouncementGossip, make_announcement_gossip
from cranberrywall.targets import Announcement, make_targets
from measurements._figures import report_figures
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.network import Rule
from tests.hosts.fleet import Fleet

_SIZES = (8, 28, 87, 200, 300)
_PLACES = 5
_TARGETS_PER_HOST = 83 / 191
_RENEWAL_PERIOD_S = 2.0
_WARM_UP_S = 10.0
_ONE_WAY = Rule(delay=0.0005)
_PUSH = "hosts.push"


class _CountingClock(VirtualClock):
    """Count the wake-ups by the module that slept."""

    def __init__(self) -> None:
        super().__init__()
        self.wakeups_by_module: Counter[str] = Counter()

    async def sleep(self, seconds: float) -> None:
        module = sys._getframe(1).f_globals["__name__"]
        await super().sleep(seconds)
        self.wakeups_by_module[module] += 1


class Upkeep(NamedTuple):
    """Result with one size of fleet: sums over all hosts, and the processor time in seconds."""

    calls_by_method: Counter[str]
    wakeups_by_module: Counter[str]
    bytes: int
    processor_s: float


class _Scene:
    """A quiet fleet and targets that renew their announcements."""

    def __init__(self, size: int) -> None:
        sizes = {f"place-{place}": 0 for place in range(_PLACES)}
        for number in range(size):
            sizes[f"place-{number % _PLACES}"] += 1
        self.fleet = Fleet(sizes, _ONE_WAY)
        self.fleet.clock = self.clock = _CountingClock()
        self.calls_by_method: Counter[str] = Counter()
        self._gossips: list[AnnouncementGossip] = []
        self._draws = random.Random(size)
        self._targets = max(1, round(size * _TARGETS_PER_HOST))
        self._counter = 0

    async def start(self) -> None:
        await self.fleet.start_warm()
        for host in self.fleet:
            caller: Any = host.caller
            caller.call = partial(self._count, caller.call)
            targets, gossip = make_targets(), host.membership.gossip
            self._gossips.append(make_announcement_gossip(targets, gossip, self.clock))

    async def run(self, seconds: float) -> None:
        """Let the targets renew their announcements, spread evenly over each period."""
        ends_at = self.clock.now() + seconds
        while self.clock.now() < ends_at:
            self._counter += 1
            for number in range(self._targets):
                self._draws.choice(self._gossips).publish(_announcement(number, self._counter))
                await VirtualClock.sleep(self.clock, _RENEWAL_PERIOD_S / self._targets)

    def reset(self) -> None:
        self.calls_by_method.clear()
        self.clock.wakeups_by_module.clear()

    async def _count(self, call: Any, address: str, method: Any, *arguments: Any) -> Any:
        self.calls_by_method[method.name] += 1
        return await call(address, method, *arguments)


def _announcement(number: int, counter: int) -> Announcement:
    url = f"http://10.9.{number // 200}.{number % 200}:80"
    return Announcement(
        f"target-{number}", 1, counter, "service", "letters", f"place-{number % _PLACES}", url, 6
    )


async def measure_upkeep(size: int, seconds: float) -> Upkeep:
    """Measure a fleet of ``size`` hosts for ``seconds`` after it has settled."""
    scene = _Scene(size)
    await scene.start()
    await scene.run(_WARM_UP_S)
    scene.reset()
    bytes_before = sum(scene.fleet.fabric.bytes_by_host.values())
    processor_before = time.process_time()
    await scene.run(seconds)
    processor_s = time.process_time() - processor_before
    sent = sum(scene.fleet.fabric.bytes_by_host.values()) - bytes_before
    upkeep = Upkeep(
        scene.calls_by_method.copy(), scene.clock.wakeups_by_module.copy(), sent, processor_s
    )
    await scene.fleet.stop_all()
    return upkeep


def _rates(counts: Counter[str], host_seconds: float) -> str:
    pairs = counts.most_common()
    return ",".join(f"{name.rpartition('.')[2]}:{n / host_seconds:.2f}" for name, n in pairs)


@click.command()
@click.option("--seconds", default=10.0, help="Seconds, virtual, of each run.")
@click.option("--most", default=max(_SIZES), help="Size of the largest fleet, in hosts.")
def main(seconds: float, most: int) -> None:
    """Measure the upkeep of idle entry hosts and print the figures."""
    logger.remove()
    figures: dict[str, int | float | str] = {}
    for size in _SIZES:
        if size > most:
            break
        upkeep = run_virtual(measure_upkeep(size, seconds))
        host_seconds = size * seconds
        print(
            f"hosts={size} calls={_rates(upkeep.calls_by_method, host_seconds)}"
            f" wakeups={_rates(upkeep.wakeups_by_module, host_seconds)}"
            f" processor_ms={upkeep.processor_s * 1000 / host_seconds:.2f}",
            flush=True,
        )
        figures[f"calls_{size}"] = upkeep.calls_by_method.total() / host_seconds
        figures[f"pushes_{size}"] = upkeep.calls_by_method[_PUSH] / host_seconds
        figures[f"bytes_{size}"] = upkeep.bytes / host_seconds
        figures[f"wakeups_{size}"] = upkeep.wakeups_by_module.total() / host_seconds
    report_figures("upkeep", figures)


if __name__ == "__main__":
    main()
