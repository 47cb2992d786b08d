"""Confirm changes to both programs as processes, while some of them are frozen and killed.

Each round moves a route from one service to the other in a document with many routes, as a sixth
of the entry hosts is frozen for some seconds or killed, and now and then a control host is frozen.
All other entry hosts are asked again and again. ``late`` counts answers by the service of before
that were asked for over ``BOUND_S`` after the confirmation, ``back`` those after an answer by the
new one at the same host. Times are of this machine, whatever else it does.
"""

import asyncio
import json
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import click

from measurements._figures import report_figures
from standins._platform import Machine, Platform, Worker, configuration, route

BOUND_S = 2.5
PREPAID = 100_000_000
SERVICES = ("ledger", "ledger-next")
SILENT_SHARE = 6
FROZEN_S = (1.5, 4.0)
AROUND_S = 0.2
WATCHED_S = 4.0
ASK_EVERY_S = 0.1
CONTROL_ODDS = 0.3
KILL_ODDS = 0.3


class Seen(NamedTuple):
    """Hold one answer: when it was asked for, at which host, and by which service."""

    asked_at: float
    host: str
    by: str


class Round(NamedTuple):
    """Hold one round: the slowest host that was well, in seconds, and what must not be."""

    slowest_s: float
    late: int
    back: int


def document_of(number: int, routes: int) -> dict[str, Any]:
    """Return a document in which the watched route goes to one service or the other by turns."""
    moved = route("checks", "idempotent", SERVICES[number % 2])
    others = [route(f"other-{one}", "idempotent", SERVICES[0]) for one in range(routes)]
    body = configuration(number, PREPAID, [moved, *others])
    body["services"].append({"name": SERVICES[1], "health_path": "/health", "max_conns": 100})
    return body


async def disturb(platform: Platform, victims: list[Machine], chance: random.Random) -> None:
    """Freeze or kill some machines at moments around now, and bring them back."""

    async def one(machine: Machine) -> None:
        await asyncio.sleep(chance.uniform(0.0, 2 * AROUND_S))
        seconds = chance.uniform(*FROZEN_S)
        if machine.module == "front" and chance.random() < KILL_ODDS:
            await platform.kill(machine)
            await asyncio.sleep(seconds)
            await platform.start_machine(machine)
            return
        platform.freeze(machine)
        await asyncio.sleep(seconds)
        platform.thaw(machine)

    await asyncio.gather(*map(one, victims))


async def watch(platform: Platform, host: Machine, until: float, seen: list[Seen]) -> None:
    """Ask one host again and again."""
    while time.monotonic() < until:
        asked_at = time.monotonic()
        try:
            answer = await platform.ask(host, "/checks/1")
            if answer.status == 200:
                seen.append(Seen(asked_at, host.name, json.loads(answer.body)["by"]))
        except (aiohttp.ClientError, TimeoutError):
            pass  # an answer that does not come is no answer by an older configuration
        await asyncio.sleep(ASK_EVERY_S)


async def play_round(platform: Platform, number: int, routes: int, chance: random.Random) -> Round:
    """Confirm one change among frozen and killed hosts, and watch the others."""
    victims = chance.sample(platform.fronts, max(1, len(platform.fronts) // SILENT_SHARE))
    well = [host for host in platform.fronts if host not in victims]
    if chance.random() < CONTROL_ODDS:
        victims = [*victims, chance.choice(platform.cores)]
    seen: list[Seen] = []
    until = time.monotonic() + AROUND_S + WATCHED_S
    watching = [asyncio.create_task(watch(platform, host, until, seen)) for host in well]
    disturbing = asyncio.create_task(disturb(platform, victims, chance))
    await asyncio.sleep(AROUND_S)
    await platform.publish_body(document_of(number, routes))
    confirmed_at = time.monotonic()
    await asyncio.gather(*watching, disturbing)
    return judge(seen, SERVICES[number % 2], confirmed_at)


def judge(seen: list[Seen], service: str, confirmed_at: float) -> Round:
    """Return what the answers say; a target's name begins with its service's."""
    slowest_s, late, back = 0.0, 0, 0
    new_at: dict[str, float] = {}
    for one in sorted(seen):
        if one.by.rpartition(":")[0] == service:
            new_at.setdefault(one.host, one.asked_at)
            continue
        late += one.asked_at > confirmed_at + BOUND_S
        back += one.host in new_at
        slowest_s = max(slowest_s, one.asked_at - confirmed_at)
    return Round(slowest_s, late, back)


async def play(fronts: int, cores: int, routes: int, rounds: int, seed: int) -> list[Round]:
    """Play some rounds on one fleet."""
    chance = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(Path(folder), cores=cores, fronts=fronts)
        try:
            await platform.start()
            await platform.publish_body(document_of(2, routes))
            for service in SERVICES:
                for number in range(2):
                    await platform.add_worker(Worker(f"{service}:{number}", service, False))
            await platform.until_ready()
            for host in platform.fronts:
                await platform.until_answered(host, "/checks/1")
            return [
                await play_round(platform, number, routes, chance)
                for number in range(3, 3 + rounds)
            ]
        finally:
            await platform.stop()


@click.command()
@click.option("--fronts", default=6, help="Entry hosts.")
@click.option("--cores", default=3, help="Control hosts.")
@click.option("--routes", default=1000, help="Routes in each document.")
@click.option("--rounds", default=4, help="Changes for each seed.")
@click.option("--seeds", default=1, help="Fleets, one after the other.")
def main(fronts: int, cores: int, routes: int, rounds: int, seeds: int) -> None:
    """Print how soon changes are in force at hosts that are well."""
    played: list[Round] = []
    for seed in range(seeds):
        some = asyncio.run(play(fronts, cores, routes, rounds, seed))
        played += some
        print(f"seed {seed}: {[tuple(one) for one in some]}", flush=True)
    times = [one.slowest_s for one in played]
    report_figures(
        "confirmed_processes",
        {
            "fronts": fronts,
            "cores": cores,
            "routes": routes,
            "rounds": len(played),
            "slowest_s": max(times),
            "median_s": statistics.median(times),
            "late": sum(one.late for one in played),
            "back": sum(one.back for one in played),
        },
    )


if __name__ == "__main__":
    main()
