"""Compare the bills with what ran, while hosts die and callers retry at other hosts.

Callers send chat completions and service calls at entry hosts that are real processes. Some
engines cut streams and answer late; each entry host gets SIGKILL in turn and is started
again; callers retry with the same id elsewhere, and some send twice at once. Some leave in
mid answer for good. At the end the ledger's report is compared with the stand-ins' counts.

- ``billed``: requests billed at the ledger
- ``double``: requests that stand on more than one bill, or bills for more than were sent
- ``missing``: answered requests without a bill
- ``charged_unrun``: bills beyond the requests that ran
- ``amount_off``: by how many tokens the bills' sum is below the cost of the answered
  requests, or above it with the whole cost of the requests that callers left
- ``duplicates``: second charges of an id, named by the ledger and not billed
"""

import asyncio
import random
import signal
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import click
import uvloop

from cranberrywall.demo import FleetSize
from measurements._figures import report_figures
from measurements._live_fleet import PATIENCE_S, WORKSPACE, LiveFleet, other_host
from standins import EngineOptions, Faults, ServiceOptions, answer_words, count_prompt_tokens
from standins._common import UNNAMED_REQUEST

NET = 23
SIZE = FleetSize(controls=3, entries=4, consoles=0)
ENGINE_FAULTS = Faults(cut=0.1, late=0.1, late_s=0.2)
SERVICE_FAULTS = Faults(late=0.1, late_s=0.2)
TRIES = 60
PAUSE_S = 0.2
TWICE_SHARE = 0.1
LEAVE_SHARE = 0.05
SERVICE_SHARE = 0.3
DELIVERY_S = 4.0


class Ending(NamedTuple):
    """Say what a request's caller got, and what it must cost in tokens."""

    request_id: str
    answered: bool
    left: bool
    cost: int


@click.command()
@click.option("--requests", default=800, help="How many requests to send.")
@click.option("--callers", default=24, help="How many callers send them, side by side.")
@click.option("--seed", default=1, help="Seed of the callers' choices.")
def main(requests: int, callers: int, seed: int) -> None:
    """Count requests billed twice, not at all, or without having run."""
    with tempfile.TemporaryDirectory(prefix="billing-") as folder:
        uvloop.run(_measure(Path(folder), requests, callers, seed))


async def _measure(folder: Path, requests: int, callers: int, seed: int) -> None:
    fleet = LiveFleet(folder / "fleet", SIZE, NET)
    killing = None
    try:
        await fleet.start(*_standins(fleet))
        killing = asyncio.create_task(fleet.kill_in_turn(fleet.entries, 0.7, [signal.SIGKILL]))
        endings = await _send_all(fleet, requests, callers, seed)
        killing.cancel()
        await asyncio.gather(killing, return_exceptions=True)
        # Charges that a killed host had synced are delivered by its next run.
        await asyncio.sleep(DELIVERY_S)
        await _report(fleet, endings)
    finally:
        if killing is not None:
            killing.cancel()
        await fleet.stop()


def _standins(fleet: LiveFleet) -> tuple[list[EngineOptions], list[ServiceOptions]]:
    model, service = fleet.deployment.model, fleet.deployment.service
    versions = (fleet.deployment.document["models"][model]["version"],)
    engines = [
        EngineOptions(f"{model}-{n}", model, versions=versions, seed=n, faults=ENGINE_FAULTS)
        for n in (1, 2, 3)
    ]
    services = [
        ServiceOptions(f"{service}-{n}", service, work_s=0.02, seed=n, faults=SERVICE_FAULTS)
        for n in (1, 2)
    ]
    return engines, services


async def _send_all(fleet: LiveFleet, requests: int, callers: int, seed: int) -> list[Ending]:
    numbers = iter(range(requests))
    endings: list[Ending] = []

    async def work() -> None:
        for number in numbers:
            endings.append(await _send(fleet, f"bill-{seed}-{number}", random.Random(number)))

    await asyncio.gather(*(work() for _ in range(callers)))
    return endings


async def _send(fleet: LiveFleet, request_id: str, chance: random.Random) -> Ending:
    if chance.random() < SERVICE_SHARE:
        path = f"/v1/services/{fleet.deployment.service}/maturity/{request_id}"
        cost = fleet.deployment.document["services"][fleet.deployment.service]["cost"]
        return await _persist(fleet, request_id, path, {}, cost, chance)
    messages: list[Any] = [{"role": "user", "content": f"Explain the rate of {request_id}."}]
    body = {"model": fleet.deployment.model, "messages": messages, "stream": True}
    cost = count_prompt_tokens(messages) + len(answer_words(messages))
    path = "/v1/chat/completions"
    if chance.random() < LEAVE_SHARE:
        await _leave(fleet, request_id, path, body, chance)
        return Ending(request_id, False, True, cost)
    return await _persist(fleet, request_id, path, body, cost, chance)


async def _persist(
    fleet: LiveFleet, request_id: str, path: str, body: Any, cost: int, chance: random.Random
) -> Ending:
    twice = chance.random() < TWICE_SHARE
    host = chance.choice(fleet.entries)
    for _ in range(TRIES):
        hosts = [host, other_host(fleet.entries, host, chance)] if twice else [host]
        replies = await asyncio.gather(
            *(fleet.call(name, path, request_id, body) for name in hosts)
        )
        if any(_is_whole(path, reply.status, reply.body) for reply in replies):
            return Ending(request_id, True, False, cost)
        await asyncio.sleep(PAUSE_S)
        host = other_host(fleet.entries, host, chance)
    return Ending(request_id, False, False, cost)


def _is_whole(path: str, status: int, body: bytes) -> bool:
    return status == 200 and ("chat" not in path or body.endswith(b"data: [DONE]\n\n"))


async def _leave(
    fleet: LiveFleet, request_id: str, path: str, body: Any, chance: random.Random
) -> None:
    key = fleet.deployment.key(WORKSPACE)
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": request_id}
    url = fleet.url(chance.choice(fleet.entries)) + path
    try:
        async with fleet.session.post(url, json=body, headers=headers) as answer:
            await answer.content.readany()
            answer.close()
    except (aiohttp.ClientError, ConnectionError, TimeoutError):
        return


async def _report(fleet: LiveFleet, endings: list[Ending]) -> None:
    ran = fleet.targets.ran_by_request()
    ran.pop(UNNAMED_REQUEST, None)  # Probes of services carry no request's id.
    totals = await fleet.client.totals(PATIENCE_S)
    amount, billed = totals.by_workspace()[WORKSPACE]
    answered = [ending for ending in endings if ending.answered]
    left_ran = sum(ending.left and ending.request_id in ran for ending in endings)
    least = sum(ending.cost for ending in answered)
    most = least + sum(ending.cost for ending in endings if ending.left)
    figures = {
        "requests": len(endings),
        "answered": len(answered),
        "billed": billed,
        "double": max(0, billed - len(endings)),
        "missing": max(0, len(answered) - billed),
        "charged_unrun": max(0, billed - len(ran)),
        "left": sum(ending.left for ending in endings),
        "left_ran": left_ran,
        "amount": amount,
        "amount_off": max(0, least - amount) + max(0, amount - most),
        "duplicates": totals.duplicates,
        "ran_again": sum(count.executions - 1 for count in ran.values()),
        "overspend": totals.overspend,
    }
    report_figures("billing", figures)


if __name__ == "__main__":
    main()
