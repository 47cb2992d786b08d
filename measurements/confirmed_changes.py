"""Measure how soon a confirmed change is in force, and a leaving target known, everywhere.

Control and entry hosts run in virtual time over links that are lost, slow or silent; see
``_confirmed_fleet``. Only hosts that are well are counted. The time runs from the confirmation to
the last of them; ``late`` counts the seeds over ``BOUND_S``.
"""

import asyncio
import statistics
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import click
from loguru import logger

from cranberrywall.configuration import evacuated_places
from cranberrywall.targets import Announcement
from measurements._configuration_fleet import Fleet
from measurements._confirmed_fleet import (
    CONTROL_BYTES_PER_S,
    ENTRY_BYTES_PER_S,
    ConfirmedFleet,
    ControlHost,
    EntryHost,
    Shape,
)
from measurements._figures import report_figures
from tests.configuration.documents import make_document, place_edit
from tests.fakes.clock import run_virtual

BOUND_S = 2.5
AIM_S = 1.0
LONGEST_S = 20.0
SILENT_SHARE = 6
SILENT_WITHIN_S = 0.08
SPREADING_S = 0.02
"""Hosts that fall silent as targets leave do so within this, in seconds."""

LEAVING = 9
HUNDREDS = 300
LARGE_PLACES = 13
ADDED_ROUTES = 1400
LARGEST_ROUTES = 8200
STORM = 12
STORM_GAP_S = 0.33
EVACUATED_PLACE = "town-hall"


class Outcome(NamedTuple):
    """Hold one seed's slowest time, in seconds, and the busiest hosts' bytes in a second."""

    slowest_s: float
    entry_bytes: int = 0
    control_bytes: int = 0


Schedule = Callable[[ConfirmedFleet], Awaitable[Outcome]]


def with_routes(routes: int) -> dict[str, Any]:
    """Return a document with so many routes."""
    document: dict[str, Any] = make_document()
    service = next(iter(document["services"]))
    document["routes"] = {
        f"host{number % 7}.example/path{number}/": _route(number, service)
        for number in range(routes)
    }
    return document


def _route(number: int, service: str) -> dict[str, Any]:
    return {
        "name": f"r-{number * 7919 % 100_003:x}",
        "host": f"host{number % 7}.example",
        "prefix": f"/path{number}/",
        "kind": "idempotent",
        "shares": [{"service": service, "weight": 1}],
        "attempts": 2,
        "timeout_s": 5.0 + number % 3,
        "goal_s": 0.2,
        "gap_goal_s": 0.0,
        "rank": number % 4,
        "is_public": False,
        "is_resumable": False,
    }


def _moved(number: int) -> dict[str, Any]:
    document: dict[str, Any] = make_document()
    document["places"]["town-hall"]["region"] = f"region-{number}"
    return document


async def change_while_silent(fleet: ConfirmedFleet, controls: int = 0) -> Outcome:
    """Confirm a change, and let a sixth of the entry hosts fall silent within 80 ms."""
    return await _publish_while_silent(fleet, _moved(1), controls)


async def change_while_control_is_silent(fleet: ConfirmedFleet) -> Outcome:
    """As ``change_while_silent``, and a control host is lost too."""
    return await change_while_silent(fleet, controls=1)


async def storm_while_silent(fleet: ConfirmedFleet) -> Outcome:
    """Confirm twelve changes; a sixth of the entry hosts falls silent after the fourth."""
    slowest = 0.0
    confirmed: list[tuple[int, float]] = []
    silenced = None
    for number in range(STORM):
        if number == 3:
            silenced = asyncio.create_task(_silence_some(fleet, SILENT_SHARE, SILENT_WITHIN_S))
        confirmed_at = await fleet.publish(_moved(number))
        confirmed.append((fleet.revision, confirmed_at))
        await fleet.clock.sleep(STORM_GAP_S)
    well = await silenced if silenced else fleet.entries
    for revision, confirmed_at in confirmed:
        outcome = await _until_in_force(fleet, well, revision, confirmed_at)
        slowest = max(slowest, outcome.slowest_s)
    return Outcome(slowest)


async def evacuate_while_silent(fleet: ConfirmedFleet, controls: int = 0) -> Outcome:
    """Confirm an evacuation, and cut a sixth of the entry hosts off within 80 ms."""
    lost = fleet.random.sample(fleet.controls, controls)
    silenced = asyncio.create_task(_silence_some(fleet, SILENT_SHARE, SILENT_WITHIN_S, lost))
    confirmed_at = await fleet.order_evacuation(EVACUATED_PLACE, is_active=True)
    well = await silenced
    return await _until_evacuated(fleet, well, True, confirmed_at)


async def evacuate_while_control_is_silent(fleet: ConfirmedFleet) -> Outcome:
    """As ``evacuate_while_silent``, and a control host is lost too."""
    return await evacuate_while_silent(fleet, controls=1)


async def evacuate_in_turns(fleet: ConfirmedFleet) -> Outcome:
    """Start and end an evacuation in quick succession, with a change of the document between."""
    slowest = 0.0
    for number in range(STORM):
        is_active = number % 2 == 0
        confirmed_at = await fleet.order_evacuation(EVACUATED_PLACE, is_active)
        outcome = await _until_evacuated(fleet, fleet.entries, is_active, confirmed_at)
        slowest = max(slowest, outcome.slowest_s)
        await fleet.publish(_moved(number))
    return Outcome(slowest)


async def _until_evacuated(
    fleet: ConfirmedFleet, well: list[EntryHost], is_active: bool, confirmed_at: float
) -> Outcome:
    """Return when the last host kept to the order; all have it with its revision."""
    outcome = await _until_in_force(fleet, well, fleet.revision, confirmed_at)
    for entry in well:
        places = evacuated_places(entry.configuration.document)
        assert (EVACUATED_PLACE in places) == is_active, f"{entry.me.host} has {places}"
    return outcome


async def many_routes(fleet: ConfirmedFleet) -> Outcome:
    """Confirm 1,400 routes at once; nobody is silent."""
    before = dict(fleet.fabric.bytes_by_host)
    confirmed_at = await fleet.publish(with_routes(ADDED_ROUTES))
    await fleet.clock.sleep(1.0)
    sent = {host: size - before.get(host, 0) for host, size in fleet.fabric.bytes_by_host.items()}
    outcome = await _until_in_force(fleet, fleet.entries, fleet.revision, confirmed_at)
    return outcome._replace(
        entry_bytes=max(sent.get(entry.ip, 0) for entry in fleet.entries),
        control_bytes=max(sent.get(control.ip, 0) for control in fleet.controls),
    )


async def largest_document(fleet: ConfirmedFleet) -> Outcome:
    """Confirm a document of 2 MB at once while a sixth of the entry hosts falls silent."""
    return await _publish_while_silent(fleet, with_routes(LARGEST_ROUTES))


async def many_routes_while_silent(fleet: ConfirmedFleet) -> Outcome:
    """Confirm 1,400 routes at once while a sixth of the entry hosts falls silent."""
    return await _publish_while_silent(fleet, with_routes(ADDED_ROUTES))


async def _publish_while_silent(
    fleet: ConfirmedFleet, document: dict[str, Any], controls: int = 0
) -> Outcome:
    lost = fleet.random.sample(fleet.controls, controls)
    silenced = asyncio.create_task(_silence_some(fleet, SILENT_SHARE, SILENT_WITHIN_S, lost))
    confirmed_at = await fleet.publish(document)
    well = await silenced
    return await _until_in_force(fleet, well, fleet.revision, confirmed_at)


async def leave_while_half_falls_silent(fleet: ConfirmedFleet) -> Outcome:
    """Let nine targets leave while half of the entry hosts falls silent."""
    return await _leave(fleet, silent_share=2, first_to_hear=False)


async def leave_while_a_sixth_falls_silent(fleet: ConfirmedFleet) -> Outcome:
    """Let nine targets leave while a sixth of the entry hosts falls silent."""
    return await _leave(fleet, silent_share=SILENT_SHARE, first_to_hear=False)


async def hundreds_leave(fleet: ConfirmedFleet) -> Outcome:
    """Let 300 targets leave at once, while a sixth of the entry hosts falls silent."""
    return await _leave(fleet, SILENT_SHARE, first_to_hear=False, targets=HUNDREDS)


async def leave_and_lose_the_first_to_hear(fleet: ConfirmedFleet) -> Outcome:
    """Let nine targets leave; the hosts that know it 5 ms after the acknowledgement are lost."""
    return await _leave(fleet, silent_share=0, first_to_hear=True)


async def leave_and_lose_all_that_heard(fleet: ConfirmedFleet) -> Outcome:
    """As ``leave_and_lose_the_first_to_hear``; the control host that acknowledged is lost too."""
    return await _leave(fleet, silent_share=0, first_to_hear=True, loses_control=True)


async def _leave(
    fleet: ConfirmedFleet,
    silent_share: int,
    first_to_hear: bool,
    targets: int = LEAVING,
    loses_control: bool = False,
) -> Outcome:
    said = [_target(number) for number in range(targets)]
    await fleet.announce(said)
    await fleet.clock.sleep(3.0 if targets == LEAVING else 8.0)
    leaving = [one._replace(counter=2, leaving=True) for one in said]
    names = {one.target for one in said}
    knew = [entry for entry in fleet.entries if names <= entry.targets.by_id.keys()]
    assert len(knew) == len(fleet.entries), "not all hosts knew the targets"
    if silent_share:
        silenced = asyncio.create_task(_silence_some(fleet, silent_share, SPREADING_S))
        acknowledged_at = await fleet.announce(leaving)
        well = await silenced
    else:
        control = fleet.random.choice(fleet.controls)
        acknowledged_at = await fleet.announce(leaving, control)
        await fleet.clock.sleep(0.005)
        well = [one for one in fleet.entries if names <= one.targets.by_id.keys()]
        # If all hosts have received it by now, none is lost, so that some are left to check.
        well = well or list(fleet.entries)
        fleet.silence([one for one in fleet.entries if one not in well])
        if loses_control:
            fleet.silence([control])
    last_at = max(acknowledged_at)
    while any(names - entry.left_at.keys() for entry in well):
        if fleet.clock.now() - last_at > LONGEST_S:
            return Outcome(LONGEST_S)
        await fleet.clock.sleep(0.01)
    acknowledged = dict(zip((one.target for one in leaving), acknowledged_at, strict=True))
    late = [entry.left_at[name] - acknowledged[name] for entry in well for name in names]
    return Outcome(max(0.0, *late))


def _target(number: int) -> Announcement:
    return Announcement(
        target=f"i-{number}",
        incarnation=1,
        counter=1,
        kind="service",
        name="ledger-api",
        place="sofia-a",
        url=f"http://10.9.{number // 250}.{number % 250}:8080",
        capacity=8,
    )


def _choose_well(fleet: ConfirmedFleet, silent_share: int) -> list[EntryHost]:
    silent = fleet.random.sample(fleet.entries, len(fleet.entries) // silent_share)
    return [entry for entry in fleet.entries if entry not in silent]


async def _silence_some(
    fleet: ConfirmedFleet, share: int, within_s: float, controls: Sequence[ControlHost] = ()
) -> list[EntryHost]:
    """Let a share of the entry hosts fall silent, one by one, and return the others."""
    well = _choose_well(fleet, share)
    silent: list[EntryHost | ControlHost] = list(controls)
    silent += [entry for entry in fleet.entries if entry not in well]
    fleet.random.shuffle(silent)
    moments = sorted(fleet.random.uniform(0.0, within_s) for _ in silent)
    began_at = fleet.clock.now()
    for host, moment in zip(silent, moments, strict=True):
        await fleet.clock.sleep(max(0.0, began_at + moment - fleet.clock.now()))
        fleet.silence([host])
    return well


async def _until_in_force(
    fleet: ConfirmedFleet, well: list[EntryHost], revision: int, confirmed_at: float
) -> Outcome:
    while any(entry.configuration.revision < revision for entry in well):
        if fleet.clock.now() - confirmed_at > LONGEST_S:
            return Outcome(LONGEST_S)
        await fleet.clock.sleep(0.01)
    last = max(entry.in_force_at[revision] for entry in well)
    return Outcome(max(0.0, last - confirmed_at))


LINKS: dict[str, Any] = {
    "entry_bytes_per_s": ENTRY_BYTES_PER_S,
    "control_bytes_per_s": CONTROL_BYTES_PER_S,
}

SCHEDULES: dict[str, tuple[Schedule, dict[str, Any]]] = {
    "change_silent": (change_while_silent, {}),
    "change_silent_control": (change_while_control_is_silent, {}),
    "change_silent_loss": (change_while_silent, {"loss": 0.05}),
    "storm_silent": (storm_while_silent, {}),
    "evacuate_silent": (evacuate_while_silent, {}),
    "evacuate_silent_control": (evacuate_while_control_is_silent, {}),
    "evacuate_silent_loss": (evacuate_while_silent, {"loss": 0.05}),
    "evacuate_turns": (evacuate_in_turns, {}),
    "routes": (many_routes, LINKS),
    "routes_silent": (many_routes_while_silent, LINKS),
    "largest_silent": (largest_document, LINKS),
    "leave_half_silent": (leave_while_half_falls_silent, {}),
    "leave_sixth_silent": (leave_while_a_sixth_falls_silent, {}),
    "leave_hundreds": (hundreds_leave, LINKS),
    "leave_first_lost": (leave_and_lose_the_first_to_hear, {}),
    "leave_heard_lost": (leave_and_lose_all_that_heard, {}),
}


async def play(name: str, hosts: int, controls: int, seed: int) -> Outcome:
    """Play one schedule once."""
    schedule, changes = SCHEDULES[name]
    shape = Shape(hosts, controls)._replace(**changes)
    fleet = ConfirmedFleet(shape, seed)
    await fleet.start()
    outcome = await schedule(fleet)
    await fleet.stop()
    return outcome


async def play_large(hosts: int, seed: int) -> Outcome:
    """Confirm a change in a fleet of the largest size; a sixth falls silent within 80 ms.

    Three control hosts tell everybody, and hosts are listed by the document: no membership runs.
    """
    fleet = Fleet(hosts, seed, places=LARGE_PLACES)
    await fleet.start()
    chance = fleet.random
    silent = chance.sample(fleet.entries, hosts // SILENT_SHARE)
    well = [entry for entry in fleet.entries if entry not in silent]
    loop = asyncio.get_running_loop()
    for entry in silent:
        ip = entry.me.links.partition(":")[0]
        loop.call_later(chance.uniform(0.0, SILENT_WITHIN_S), fleet.fabric.silence, ip)
    before = dict(fleet.fabric.bytes_by_host)
    revision = await fleet.commit(place_edit("new"))
    confirmed_at = fleet.clock.now()
    while any(entry.configuration.revision < revision for entry in well):
        if fleet.clock.now() - confirmed_at > LONGEST_S:
            break
        await fleet.clock.sleep(0.01)
    slowest_s = max(0.0, fleet.clock.now() - confirmed_at)
    sent = {host: size - before.get(host, 0) for host, size in fleet.fabric.bytes_by_host.items()}
    controls = [control.me.links.partition(":")[0] for control in fleet.controls]
    busiest = max(size for host, size in sent.items() if host not in controls)
    return Outcome(slowest_s, busiest, max(sent.get(host, 0) for host in controls))


@click.command()
@click.option("--hosts", default=24, help="Entry hosts.")
@click.option("--controls", default=5, help="Control hosts.")
@click.option("--seeds", default=1, help="Runs of each schedule.")
@click.option("--only", default="", help="Play only schedules whose names begin so.")
@click.option("--large", is_flag=True, help="Play a change in a fleet of HOSTS, and nothing else.")
def main(hosts: int, controls: int, seeds: int, only: str, large: bool) -> None:
    """Print the slowest time of each schedule."""
    logger.remove()
    if large:
        outcomes = [run_virtual(play_large(hosts, seed)) for seed in range(seeds)]
        slowest = max(outcomes)
        report_figures("confirmed_changes_large", {"hosts": hosts, **slowest._asdict()})
        return
    figures: dict[str, Any] = {"hosts": hosts, "controls": controls, "seeds": seeds}
    for name in SCHEDULES:
        if not name.startswith(only):
            continue
        played = [run_virtual(play(name, hosts, controls, seed)) for seed in range(seeds)]
        times = [outcome.slowest_s for outcome in played]
        late = sum(time > BOUND_S for time in times)
        print(
            f"{name:24} most {max(times):7.3f} s, median {statistics.median(times):7.3f},"
            f" late {late} of {seeds},"
            f" over {AIM_S:g} s {sum(time > AIM_S for time in times)}"
            f" | bytes in a second, entry {max(one.entry_bytes for one in played)},"
            f" control {max(one.control_bytes for one in played)}",
            flush=True,
        )
        figures[f"{name}_s"] = max(times)
        figures[f"{name}_late"] = late
    report_figures("confirmed_changes", figures)


if __name__ == "__main__":
    main()
