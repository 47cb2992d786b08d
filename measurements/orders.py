"""Measure whether engines ever obey two masters, lose a last copy or overload the store.

A fleet of engines, half of which check numbers, runs in virtual time under three control
hosts. Each engine serves one of three models at a time and can load any; demand shifts
between them, so that engines change their model. Versions change, leaders are deposed, cut
off without knowing it, killed and restarted, orders leave late, announcements lag. The same
seeded run is given to a naive controller, which sends on what is announced without
committing anything; its violations show that the run can cause them.

Violations are counted at the engines: an order carried out after one of a later leader
(``fenced`` at engines that check, ``unfenced`` at the others), an unload after which no
engine has the model, and a load begun beyond the store's permits. ``short_s`` is the time,
summed over models, in which fewer copies were there than the document asks for.
"""

import asyncio
from typing import Any, NamedTuple

import click
from loguru import logger

from cranberrywall.orders import Copy
from measurements._figures import report_figures
from measurements._orders_world import ControlProcess, Sight, World
from tests.fakes.clock import run_virtual
from tests.naive.orders import NaiveController

MODELS = ("drafting", "status", "gate")
HOSTS = ("control-0", "control-1", "control-2")
ENGINES = 9
LATE_ORDERS = 0.4


class Outcome(NamedTuple):
    """Count violations, orders that engines carried out, and seconds short of copies.

    ``model_moves`` counts the loads after which an engine served another model.
    """

    fenced_violations: int
    unfenced_violations: int
    last_copy_lost: int
    store_rate_exceeded: int
    orders: int
    model_moves: int
    short_s: float


class NaiveWorld(World):
    """Run naive controllers on the control hosts."""

    def make_controller(self, process: ControlProcess) -> Any:
        """Return a naive controller; what it sends goes on when it is gone."""
        return NaiveController(
            process, Sight(self), lambda: self.document, self.clock, self.run_beside
        )


@click.command()
@click.option("--runs", default=6, help="Seeded runs.")
@click.option("--hours", default=1.0, help="Hours in each run.")
@click.option("--seed", default=1)
def main(runs: int, hours: float, seed: int) -> None:
    """Print the violations of our controller and of the naive one."""
    logger.remove()
    seeds = range(seed, seed + runs)
    ours = _sum([run_virtual(measure(World(one), hours)) for one in seeds])
    naive = _sum([run_virtual(measure(NaiveWorld(one), hours)) for one in seeds])
    figures: dict[str, int | float | str] = dict(ours._asdict())
    figures |= {f"naive_{name}": value for name, value in naive._asdict().items()}
    report_figures("orders", figures)


async def measure(world: World, hours: float) -> Outcome:
    """Run one world and count."""
    for name in MODELS:
        world.add_model(name, copies=2)
    for number in range(ENGINES):
        copy = Copy(MODELS[number % len(MODELS)], "v1")
        world.add_engine(
            f"engine-{number}", [copy], checks_fencing=number % 2 == 0, slots=1 + number % 4 // 3
        )
    world.start()
    world.elect(HOSTS[0])
    ends_at = world.clock.now() + hours * 3600.0
    troubles = [
        asyncio.create_task(trouble(world, ends_at))
        for trouble in (_shift_demand, _change_versions, _depose_leaders, _delay, _restart_engines)
    ]
    short_s = 0.0
    while world.clock.now() < ends_at:
        await world.clock.sleep(1.0)
        short_s += sum(_is_short(world, name) for name in MODELS)
    await asyncio.wait(troubles)
    await world.stop()
    return Outcome(
        sum(engine.old_after_new() for engine in world.engines if engine.checks_fencing),
        sum(engine.old_after_new() for engine in world.engines if not engine.checks_fencing),
        sum(engine.last_copies_lost for engine in world.engines),
        world.store.exceeded,
        sum(len(engine.arrivals) for engine in world.engines),
        sum(engine.model_moves for engine in world.engines),
        short_s,
    )


async def _shift_demand(world: World, ends_at: float) -> None:
    while world.clock.now() < ends_at:
        for name in MODELS:
            world.demand_by_model[name] = world.random.uniform(0.0, 20.0)
        await world.clock.sleep(world.random.uniform(60.0, 240.0))


async def _change_versions(world: World, ends_at: float) -> None:
    number = 1
    while world.clock.now() < ends_at:
        await world.clock.sleep(world.random.uniform(40.0, 240.0))
        number += 1
        world.add_model(MODELS[world.random.randrange(0, len(MODELS))], f"v{number}", copies=2)


async def _depose_leaders(world: World, ends_at: float) -> None:
    while world.clock.now() < ends_at:
        await world.clock.sleep(world.random.uniform(5.0, 40.0))
        old = world.process_by_host[world.leader]
        others = [host for host in HOSTS if host != world.leader]
        draw = world.random.random()
        if draw < 0.3:
            old.member.is_leader = False
        elif draw < 0.7:
            old.is_reachable = False
        else:
            await old.kill()
            old.is_reachable = False
        await world.clock.sleep(world.random.uniform(0.0, 3.0))
        world.elect(others[world.random.randrange(0, len(others))])
        await world.clock.sleep(world.random.uniform(5.0, 60.0))
        if draw < 0.7:
            old.member.is_leader = False
            old.is_reachable = True
        else:
            world.start_process(old.host, old.issuer.incarnation + 1)


async def _delay(world: World, ends_at: float) -> None:
    """Let some orders leave late, as from a process that was paused, and announcements lag."""
    while world.clock.now() < ends_at:
        for process in world.process_by_host.values():
            is_late = world.random.random() < LATE_ORDERS
            process.sender.stall = world.random.uniform(5.0, 90.0) if is_late else 0.0
        world.announcement_lag = world.random.uniform(0.1, 5.0)
        await world.clock.sleep(5.0)


async def _restart_engines(world: World, ends_at: float) -> None:
    while world.clock.now() < ends_at:
        await world.clock.sleep(world.random.uniform(100.0, 400.0))
        world.engines[world.random.randrange(0, len(world.engines))].restart()


def _is_short(world: World, name: str) -> bool:
    model = world.document["models"][name]
    copy = Copy(name, model["version"])
    held = sum(copy in engine.copies for engine in world.engines)
    return held < int(model["copies"])


def _sum(outcomes: list[Outcome]) -> Outcome:
    return Outcome(*(sum(column) for column in zip(*outcomes, strict=True)))


if __name__ == "__main__":
    main()
