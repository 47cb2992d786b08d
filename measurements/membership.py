"""Measure what membership costs each host, and how soon and how wrongly it suspects.

The hosts stand in 13 places, over the network in memory and in virtual time, all in this
process; CPU is this process's, so it includes that network. A run over loopback sockets
gives the CPU with the system's sockets instead.
"""

import asyncio
import random
import statistics
import time
from typing import NamedTuple

import click
import uvloop
from loguru import logger

from cranberrywall.hosts import HostState, LiveMembership, make_membership
from cranberrywall.links import Peer, make_caller, make_link_server
from cranberrywall.runtime import make_runtime
from measurements._figures import report_figures
from tests.fakes.clock import run_virtual
from tests.fakes.network import Rule
from tests.hosts.fleet import Fleet, Host

_SIZES = (50, 200, 400)
_PLACES = 13
_ONE_WAY = Rule(delay=0.001, jitter=0.001)
_LOSS = 0.05
_SETTLE_S = 5.0
_STEP_S = 0.05
_LONGEST_SUSPECT_S = 10.0
_VICTIMS = 5
_LOSSY_HOSTS = 50
_LOOPBACK_HOSTS = 50
_LOOPBACK_JOIN_S = 3.0


class Cost(NamedTuple):
    """Hold the cost of a quiet fleet for each host and second, and the times to suspect."""

    bytes: float
    cpu_ms: float
    suspect_s: list[float]
    all_suspect_s: list[float]


def make_fleet(size: int, rule: Rule) -> Fleet:
    """Return ``size`` hosts in 13 places."""
    sizes = {f"place-{number}": 0 for number in range(_PLACES)}
    for number in range(size):
        sizes[f"place-{number % _PLACES}"] += 1
    return Fleet(sizes, rule)


async def measure_cost(size: int, seconds: float) -> Cost:
    """Measure a quiet fleet, then let hosts lose their power one after another."""
    fleet = make_fleet(size, _ONE_WAY)
    await fleet.start_warm()
    await fleet.clock.sleep(_SETTLE_S)
    assert fleet.all_alive(), "the fleet did not come together"
    bytes_before = sum(fleet.fabric.bytes_by_host.values())
    cpu_before = time.process_time()
    await fleet.clock.sleep(seconds)
    cpu = time.process_time() - cpu_before
    sent = sum(fleet.fabric.bytes_by_host.values()) - bytes_before
    victims = random.Random(size).sample(list(fleet), _VICTIMS)
    times = [await lose_power(fleet, victim) for victim in victims]
    await fleet.stop_all()
    per_host = size * seconds
    first, last = zip(*times, strict=True)
    return Cost(sent / per_host, cpu * 1000 / per_host, list(first), list(last))


async def lose_power(fleet: Fleet, victim: Host) -> tuple[float, float]:
    """Return the times until the first and the last host suspects a victim, in seconds."""
    others = [host for host in fleet if host is not victim]
    began = fleet.clock.now()
    fleet.fabric.silence(victim.ip)
    first = 0.0
    while fleet.clock.now() - began < _LONGEST_SUSPECT_S:
        await fleet.clock.sleep(_STEP_S)
        states = fleet.states_of(victim.name, others)
        if not first and states != {HostState.ALIVE}:
            first = fleet.clock.now() - began
        if HostState.ALIVE not in states:
            break
    last = fleet.clock.now() - began
    del fleet.host_by_name[victim.name]
    return first, last


async def measure_loss(seconds: float) -> tuple[int, int]:
    """Return how often a well host was suspected, and declared dead, with lost packets."""
    fleet = make_fleet(_LOSSY_HOSTS, _ONE_WAY._replace(loss=_LOSS))
    await fleet.start_warm()
    await fleet.clock.sleep(_SETTLE_S)
    before = _suspicions(fleet)
    await fleet.clock.sleep(seconds)
    suspicions = _suspicions(fleet) - before
    dead = sum(host.membership.state()["changes"].get("dead", 0) for host in fleet)
    await fleet.stop_all()
    return suspicions, dead


def _suspicions(fleet: Fleet) -> int:
    return sum(host.membership.state()["suspicions"] for host in fleet)


async def measure_loopback(seconds: float) -> float:
    """Return the CPU over loopback sockets, in milliseconds for each host and second."""
    runtime = make_runtime(None, seed=1)
    seeds: list[str] = []
    memberships: list[LiveMembership] = []
    for number in range(_LOOPBACK_HOSTS):
        identity = Peer(f"host-{number}", f"place-{number % _PLACES}", 1)
        server = make_link_server(
            runtime.network, runtime.clock, "127.0.0.1:0", b"m" * 32, identity
        )
        await server.start()
        caller = make_caller(runtime.network, runtime.clock, runtime.random, b"m" * 32, identity)
        membership = make_membership(
            identity, server.address, "127.0.0.1:80", seeds[:4], server, caller,
            runtime.clock, runtime.random,
        )  # fmt: skip
        seeds.append(server.address)
        memberships.append(membership)
        await membership.start()
    await asyncio.sleep(_LOOPBACK_JOIN_S)
    assert all(len(membership.alive()) == _LOOPBACK_HOSTS for membership in memberships)
    before = time.process_time()
    await asyncio.sleep(seconds)
    cpu = time.process_time() - before
    for membership in memberships:
        await membership.close()
    return cpu * 1000 / (_LOOPBACK_HOSTS * seconds)


@click.command()
@click.option("--seconds", default=10.0, help="Seconds, virtual, of each quiet run.")
@click.option("--loss-seconds", default=60.0, help="Seconds, virtual, of the run with loss.")
@click.option("--loopback-seconds", default=4.0, help="Seconds of the run over loopback.")
def main(seconds: float, loss_seconds: float, loopback_seconds: float) -> None:
    """Measure membership and print the figures."""
    logger.remove()
    figures: dict[str, int | float | str] = {}
    for size in _SIZES:
        cost = run_virtual(measure_cost(size, seconds))
        print(
            f"hosts={size} bytes_per_host_s={cost.bytes:.0f} cpu_ms_per_host_s={cost.cpu_ms:.3f}"
            f" suspect_s={cost.suspect_s} all_suspect_s={cost.all_suspect_s}",
            flush=True,
        )
        figures[f"bytes_{size}"] = cost.bytes
        figures[f"cpu_ms_{size}"] = cost.cpu_ms
        figures[f"suspect_s_{size}"] = statistics.median(cost.suspect_s)
        figures[f"all_suspect_s_{size}"] = max(cost.all_suspect_s)
    suspicions, dead = run_virtual(measure_loss(loss_seconds))
    figures["false_suspicions"] = suspicions
    figures["false_deaths"] = dead
    figures["lossy_host_seconds"] = _LOSSY_HOSTS * loss_seconds
    figures["loopback_cpu_ms"] = uvloop.run(measure_loopback(loopback_seconds))
    report_figures("membership", figures)


if __name__ == "__main__":
    main()
