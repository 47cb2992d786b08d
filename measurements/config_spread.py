"""Measure how fast, how cheaply and how surely an accepted configuration spreads.

Three control hosts and the entry hosts run in virtual time over real links, with delays,
jitter and one loss in a hundred. First, without faults, changes come at the rate of the
users' size in two years (14,000 a day): the time until each host has each one, and what
that costs a host, at 10 hosts and at ``--hosts``. Then, under cuts, crashes and restarts,
with and without disks, every revision that a host serves by is compared with all that it
served by before. ``naive_reverts`` counts the same where a host starts by the first answer
that it gets.

Bytes are all that a host sends: heartbeats, notices, fetches and the links' own frames.
``cost_ratio`` is the larger of two ratios: of all bytes a second, and of the bytes that a
change adds.
"""

import asyncio
from typing import NamedTuple

import click
from loguru import logger

from cranberrywall.configuration import Edit, Follower, SpreadHost
from measurements._configuration_fleet import EntryHost, Fleet
from measurements._figures import report_figures
from tests.fakes.clock import run_virtual
from tests.fakes.network import Rule
from tests.fakes.storage import FakeStorage
from tests.naive.spread import NaiveFollower

CHANGES_A_DAY = 14_000
CHANGE_EVERY_S = 86_400 / CHANGES_A_DAY
WARM_UP_S = 20.0
IDLE_S = 60.0
SMALL_FLEET = 10
FAULTY_FLEET = 24
BREAKERS = 3
BREAKS = 8
LOSS = Rule(delay=0.0015, jitter=0.001, loss=0.01)


class Reverts(NamedTuple):
    """Count revisions served, restarts, lower revisions served, and hosts behind at the end."""

    served: int
    restarts: int
    reverts: int
    behind: int


class Cost(NamedTuple):
    """Hold what one fleet's spread cost, in bytes, and the times to each host, in seconds."""

    bytes_per_s: float
    busiest_bytes_per_s: float
    bytes_per_change: float
    times: list[float]


@click.command()
@click.option("--hosts", default=100, help="Entry hosts in the large fleet.")
@click.option("--changes", default=18, help="Changes in each run.")
@click.option("--seed", default=1)
def main(hosts: int, changes: int, seed: int) -> None:
    """Print the figures of the configuration's spread."""
    logger.remove()
    small = run_virtual(measure_cost(SMALL_FLEET, changes, seed))
    large = run_virtual(measure_cost(hosts, changes, seed))
    broken = run_virtual(measure_reverts(FAULTY_FLEET, changes * 2, seed, Follower))
    naive = run_virtual(measure_reverts(FAULTY_FLEET, changes * 2, seed, NaiveFollower))
    times = sorted(large.times)
    ratio = max(
        large.bytes_per_s / small.bytes_per_s, large.bytes_per_change / small.bytes_per_change
    )
    report_figures(
        "config_spread",
        {
            "hosts": hosts,
            "p99_s": times[int(len(times) * 0.99)],
            "max_s": times[-1],
            "reverts": broken.reverts,
            "naive_reverts": naive.reverts,
            "restarts": broken.restarts,
            "revisions_served": broken.served,
            "hosts_behind_at_end": broken.behind,
            "bytes_per_host_per_change": large.bytes_per_change,
            "bytes_per_host_per_s": large.bytes_per_s,
            "busiest_host_bytes_per_s": large.busiest_bytes_per_s,
            "cost_ratio": ratio,
        },
    )


async def measure_cost(hosts: int, changes: int, seed: int) -> Cost:
    """Spread ``changes`` without faults, after a time without any change."""
    fleet = Fleet(hosts, seed, places=4)
    fleet.fabric.default_rule = LOSS
    await fleet.start()
    await fleet.clock.sleep(WARM_UP_S)
    names = [entry.me.links.partition(":")[0] for entry in fleet.entries]
    idle = await _bytes_in(fleet, names, IDLE_S)
    accepted_at: dict[int, float] = {}
    times: list[float] = []
    for entry in fleet.entries:
        entry.configuration.watch(
            lambda revision: times.append(fleet.clock.now() - accepted_at[revision])
        )
    spreading = asyncio.create_task(_make_changes(fleet, changes, accepted_at))
    busy = await _bytes_in(fleet, names, changes * CHANGE_EVERY_S)
    await spreading
    await fleet.until_everywhere(fleet.revision, limit=30.0)
    await fleet.stop()
    seconds = changes * CHANGE_EVERY_S
    mean = sum(busy) / len(busy)
    added = (sum(busy) - sum(idle) * seconds / IDLE_S) / len(busy) / changes
    return Cost(mean / seconds, max(busy) / seconds, added, times)


async def _make_changes(fleet: Fleet, changes: int, accepted_at: dict[int, float]) -> None:
    for number in range(changes):
        accepted_at[fleet.revision + 1] = fleet.clock.now()
        workspace = dict(fleet.document["workspaces"]["desk"], concurrent=number + 1)
        await fleet.commit((Edit("workspaces", "desk", workspace),))
        await fleet.clock.sleep(CHANGE_EVERY_S * fleet.random.uniform(0.5, 1.3))


async def _bytes_in(fleet: Fleet, names: list[str], seconds: float) -> list[int]:
    before = [fleet.fabric.bytes_by_host.get(name, 0) for name in names]
    await fleet.clock.sleep(seconds)
    after = [fleet.fabric.bytes_by_host.get(name, 0) for name in names]
    return [late - early for early, late in zip(before, after, strict=True)]


async def measure_reverts(
    hosts: int, changes: int, seed: int, follower_type: type[Follower]
) -> Reverts:
    """Change and break a fleet of which a quarter has disks, and look for reverts."""
    fleet = Fleet(hosts, seed, places=4, follower_type=follower_type)
    fleet.fabric.default_rule = LOSS
    for entry in fleet.entries[::4]:
        entry.storage = FakeStorage(fleet.random)
    await fleet.start()
    breaking = [asyncio.create_task(_break_hosts(fleet, number)) for number in range(BREAKERS)]
    for number in range(changes):
        await _commit_with_laggards(fleet, number)
        await fleet.clock.sleep(fleet.random.uniform(0.0, 2.0))
    await asyncio.wait(breaking)
    await fleet.clock.sleep(60.0)
    behind = sum(entry.configuration.revision < fleet.revision for entry in fleet.entries)
    served = sum(len(entry.served) for entry in fleet.entries)
    restarts = sum(entry.starts - 1 for entry in fleet.entries)
    reverts = sum(_reverts(entry) for entry in fleet.entries)
    await fleet.stop()
    return Reverts(served, restarts, reverts, behind)


async def _commit_with_laggards(fleet: Fleet, number: int) -> None:
    """Commit a change that one control host may miss for a while, as a cut would have it."""
    laggard = fleet.controls[number // 8 % 3]
    laggard.is_cut_off = number % 8 < 4
    await fleet.commit((Edit("places", "moving", {"region": f"r{number}"}),))
    laggard.is_cut_off = False
    newest = max((control.machine for control in fleet.controls), key=lambda m: m.revision)
    for control in fleet.controls:
        is_late = control.machine.revision < newest.revision
        if is_late and (number % 8 >= 4 or control is not laggard):
            control.machine.restore(newest.snapshot())


async def _break_hosts(fleet: Fleet, breaker: int) -> None:
    """Cut one host off and leave it behind, then restart another that reaches only it."""
    known = [entry.me for entry in fleet.entries]
    mine = [entry for entry in fleet.entries if int(entry.me.host[6:]) % BREAKERS == breaker]
    for turn in range(BREAKS):
        stale, victim = mine[turn % len(mine)], mine[(turn + 1) % len(mine)]
        _cut_all_but(fleet, stale, set())
        await fleet.clock.sleep(fleet.random.uniform(0.0, 10.0))
        await victim.stop()
        _cut_all_but(fleet, victim, {stale.me.host})
        fleet.fabric.heal(_ip(stale.me), _ip(victim.me))
        await victim.start([stale.me, *fleet.random.sample(known, 5)])
        await fleet.clock.sleep(fleet.random.uniform(0.0, 5.0))
        for host in (stale, victim):
            _mend_all(fleet, host)
        await asyncio.wait([victim.joined])


def _cut_all_but(fleet: Fleet, entry: EntryHost, kept: set[str]) -> None:
    for other in _hosts(fleet):
        if other.host != entry.me.host and other.host not in kept:
            fleet.fabric.cut(_ip(entry.me), _ip(other))


def _mend_all(fleet: Fleet, entry: EntryHost) -> None:
    for other in _hosts(fleet):
        if other.host != entry.me.host:
            fleet.fabric.heal(_ip(entry.me), _ip(other))


def _hosts(fleet: Fleet) -> list[SpreadHost]:
    return [control.me for control in fleet.controls] + [entry.me for entry in fleet.entries]


def _ip(host: SpreadHost) -> str:
    return host.links.partition(":")[0]


def _reverts(entry: EntryHost) -> int:
    served = entry.served
    return sum(late < early for early, late in zip(served, served[1:], strict=False))


if __name__ == "__main__":
    main()
