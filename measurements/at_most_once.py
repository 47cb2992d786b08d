"""Make calls that may run at most once, while hosts are killed and replies are cut.

Callers confirm renewals at entry hosts that are real processes. A tenth of the replies of
the services is cut, some calls are refused by them, some answers come late. One entry host
after another, and a control host, gets SIGKILL and is started again. Callers retry with the
same id at another host, some send twice at once, and some take "not run" for the last word.

- ``ran_twice``: calls that the services ran more than once, by their own counts
- ``false_not_run``: calls whose caller's last word was "not run", and that ran
- ``unknown``: calls whose outcome the system says it does not know
- ``unknown_unrun``: of these, those that did not run
- ``double_billed``, ``unbilled``: bills beyond, and below, the calls that were answered
"""

import asyncio
import random
import signal
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import click
import uvloop

from cranberrywall.demo import FleetSize
from measurements._figures import report_figures
from measurements._live_fleet import PATIENCE_S, LiveFleet, Reply, other_host
from standins import Faults, ServiceOptions
from standins._common import UNNAMED_REQUEST

NET = 21
SIZE = FleetSize(controls=3, entries=4, consoles=0)
FAULTS = Faults(cut=0.1, refuses=0.05, late=0.1, late_s=0.3)
TRIES = 60
PAUSE_S = 0.25
TWICE_SHARE = 0.1
GIVE_UP_SHARE = 0.3


class Ending(NamedTuple):
    """Hold a call's last word."""

    request_id: str
    reply: Reply


@click.command()
@click.option("--calls", default=600, help="How many calls to make.")
@click.option("--callers", default=24, help="How many callers make them, side by side.")
@click.option("--seed", default=1, help="Seed of the callers' choices.")
def main(calls: int, callers: int, seed: int) -> None:
    """Count the calls that ran twice, and the refusals that were false."""
    with tempfile.TemporaryDirectory(prefix="at-most-once-") as folder:
        uvloop.run(_measure(Path(folder), calls, callers, seed))


async def _measure(folder: Path, calls: int, callers: int, seed: int) -> None:
    fleet = LiveFleet(folder / "fleet", SIZE, NET)
    service = fleet.deployment.service
    options = [
        ServiceOptions(f"{service}-{number}", service, work_s=0.05, seed=number, faults=FAULTS)
        for number in (1, 2, 3)
    ]
    killing = None
    try:
        await fleet.start([], options)
        victims = [*fleet.entries[:2], "control-1", *fleet.entries[2:]]
        killing = asyncio.create_task(fleet.kill_in_turn(victims, 0.7, [signal.SIGKILL]))
        endings = await _call_all(fleet, calls, callers, seed)
        killing.cancel()
        await asyncio.gather(killing, return_exceptions=True)
        # Charges that a killed host had synced are delivered by its next run.
        await asyncio.sleep(2.0)
        await _report(fleet, endings)
    finally:
        if killing is not None:
            killing.cancel()
        await fleet.stop()


async def _call_all(fleet: LiveFleet, calls: int, callers: int, seed: int) -> list[Ending]:
    numbers = iter(range(calls))
    endings: list[Ending] = []

    async def work() -> None:
        for number in numbers:
            endings.extend(await _confirm(fleet, f"renewal-{seed}-{number}", random.Random(number)))

    await asyncio.gather(*(work() for _ in range(callers)))
    return endings


async def _confirm(fleet: LiveFleet, request_id: str, chance: random.Random) -> list[Ending]:
    gives_up = chance.random() < GIVE_UP_SHARE
    if chance.random() < TWICE_SHARE:
        both = (_persist(fleet, request_id, chance, gives_up) for _ in range(2))
        return list(await asyncio.gather(*both))
    return [await _persist(fleet, request_id, chance, gives_up)]


async def _persist(
    fleet: LiveFleet, request_id: str, chance: random.Random, gives_up: bool
) -> Ending:
    host = chance.choice(fleet.entries)
    path = f"/v1/services/{fleet.deployment.service}/renewals/{request_id}/confirm"
    reply = Reply(0, "", "", b"")
    for _ in range(TRIES):
        reply = await fleet.call(host, path, request_id, {"confirm": request_id})
        if reply.status == 200 or reply.ran == "unknown":
            break
        if reply.ran == "no" and gives_up:
            break
        await asyncio.sleep(PAUSE_S)
        host = other_host(fleet.entries, host, chance)
    return Ending(request_id, reply)


async def _report(fleet: LiveFleet, endings: list[Ending]) -> None:
    ran = fleet.targets.ran_by_request()
    ran.pop(UNNAMED_REQUEST, None)  # Probes of services carry no request's id.
    totals = await fleet.client.totals(PATIENCE_S)
    executions = {key: count.executions for key, count in ran.items()}
    words = Counter(ending.reply.code or ending.reply.ran or "lost" for ending in endings)
    print(f"last words: {dict(words)}")
    last_no = {e.request_id for e in endings if e.reply.ran == "no"}
    answered = {e.request_id for e in endings if e.reply.status == 200}
    unknown = {e.request_id for e in endings if e.reply.ran == "unknown"}
    retried_by_twin = {e.request_id for e in endings if e.reply.ran != "no"}
    figures = {
        "calls": len({ending.request_id for ending in endings}),
        "answered": len(answered),
        "ran_twice": sum(count > 1 for count in executions.values()),
        "false_not_run": sum(
            executions.get(request_id, 0) > 0 for request_id in last_no - retried_by_twin
        ),
        "unknown": len(unknown - answered),
        "unknown_unrun": sum(executions.get(request_id, 0) == 0 for request_id in unknown),
        "unfinished": sum(e.reply.ran not in ("yes", "no", "unknown") for e in endings),
        "double_billed": max(0, totals.billed_requests - len(executions)),
        "unbilled": max(0, len(answered) - totals.billed_requests),
    }
    report_figures("at_most_once", figures)


if __name__ == "__main__":
    main()
