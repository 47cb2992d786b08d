"""Run both first users' fleets, with stand-ins for their targets, in one process."""

import asyncio
import secrets
import signal
import sys
import tempfile
from pathlib import Path

import aiohttp
import click
import uvloop

from cranberrywall.commands._demo_fleet import DemoFleet
from cranberrywall.demo import (
    EXAMPLES,
    PARKING_LESSORS,
    SAVINGS_BOARD,
    DemoRequest,
    DeploymentName,
    FleetSize,
    Proof,
    demo_requests,
    prove,
    read_deployment,
    sum_proofs,
    write_fleet,
)
from cranberrywall.load import CallerOptions, Outcome, OutcomeKind, PlannedRequest, make_caller
from cranberrywall.observability import configure_log
from cranberrywall.runtime import make_clock, make_random
from standins import check_answer

SEED = 1
TIMEOUT_S = 20.0
PATIENCE_S = 20.0
SIZE = FleetSize(controls=3, entries=3)
TEXT_WIDTH = 44
DEMO_ACCOUNT = "demo"


@click.command()
@click.option("--once", is_flag=True, help="Send the requests, compare the bills and exit.")
def main(once: bool) -> None:
    """Run control, entry hosts, console and stand-in targets for both first users.

    With --once, exit 0 only where the answers, the bills and the targets' counts agree.
    """
    if not EXAMPLES.is_dir():
        # The examples are no part of an installed package.
        remedy = "run it from a checkout, or install the checkout with `pip install -e .`"
        raise click.UsageError(f"there is no folder {EXAMPLES} (remedy: {remedy})")
    configure_log("demo", "demo", "loopback", "ERROR")
    with tempfile.TemporaryDirectory(prefix="cranberrywall-demo-") as folder:
        agreed = uvloop.run(_run(Path(folder), once))
    if not agreed:
        sys.exit(1)


async def _run(folder: Path, once: bool) -> bool:
    fleets = [
        _make_fleet(folder, number, name)
        for number, name in enumerate((SAVINGS_BOARD, PARKING_LESSORS), start=1)
    ]
    try:
        await asyncio.gather(*(fleet.start() for fleet in fleets))
        if once:
            return await _send_once(fleets)
        await _stay_up(fleets)
        return True
    finally:
        await asyncio.gather(*(fleet.stop() for fleet in fleets))


def _make_fleet(folder: Path, number: int, name: DeploymentName) -> DemoFleet:
    deployment = read_deployment(name)
    files = write_fleet(folder / name.folder, deployment, SIZE, net=number)
    return DemoFleet(deployment, files)


async def _send_once(fleets: list[DemoFleet]) -> bool:
    proofs = [await _send_to(fleet) for fleet in fleets]
    proof = sum_proofs(proofs)
    for disagreement in proof.disagreements:
        click.echo(f"DISAGREES: {disagreement}")
    click.echo(format_proof(proof))
    return not proof.disagreements


async def _send_to(fleet: DemoFleet) -> Proof:
    requests = demo_requests(fleet.deployment)
    outcomes: list[Outcome] = []
    unexpected: list[str] = []
    async with aiohttp.ClientSession() as session:
        clock = make_clock()
        options = CallerOptions(
            fleet.files.entry_urls(),
            {"most": 10, "wait_s": 0.2, "longest_wait_s": 2.0},
            TIMEOUT_S,
        )
        caller = make_caller(options, session, clock, make_random(SEED), _check)
        for request in requests:
            outcome = await caller.send(request.planned, clock.now())
            outcomes.append(outcome)
            click.echo(format_request(fleet.deployment.name.folder, request, outcome))
            if outcome.code != request.refused_as:
                unexpected.append(f"{request.title}: {outcome.kind} {outcome.code}".strip())
    totals = await fleet.client.totals(PATIENCE_S)
    ran = fleet.targets.ran_by_request()
    proof = prove(fleet.files.document, outcomes, ran, totals)
    return proof._replace(disagreements=(*proof.disagreements, *unexpected))


def _check(planned: PlannedRequest, text: str) -> bool:
    return check_answer(planned.method, planned.path, planned.body, text)


def format_request(deployment: str, request: DemoRequest, outcome: Outcome) -> str:
    """Return the line of one request."""
    shown = outcome.code if outcome.kind is not OutcomeKind.ANSWERED else outcome.text
    shown = shown if len(shown) <= TEXT_WIDTH else shown[: TEXT_WIDTH - 1] + "…"
    return (
        f"{deployment:16}{outcome.planned.workspace:19}{request.title:28}"
        f"{outcome.kind:9}{outcome.total_s * 1000:7.1f} ms  {shown}"
    )


def format_proof(proof: Proof) -> str:
    """Return the last line."""
    sums = proof._asdict()
    del sums["disagreements"]
    return " ".join(f"{name}={value}" for name, value in sums.items())


async def _stay_up(fleets: list[DemoFleet]) -> None:
    password = secrets.token_urlsafe(12)
    for fleet in fleets:
        fleet.put_account(DEMO_ACCOUNT, password)
        _print_addresses(fleet, password)
    click.echo("Stop with Ctrl-C.")
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()


def _print_addresses(fleet: DemoFleet, password: str) -> None:
    deployment = fleet.deployment
    url = fleet.files.entry_urls()[0]
    workspace = next(iter(deployment.document["workspaces"]))
    body = (
        f'{{"model": "{deployment.model}", "stream": true, "max_tokens": 64, '
        f'"messages": [{{"role": "user", "content": "Hello"}}]}}'
    )
    click.echo(f"{deployment.name.folder}")
    click.echo(f"  entry    {'  '.join(fleet.files.entry_urls())}")
    for host in fleet.files.of_role("console"):
        click.echo(f"  console  http://{host.listen['http']}  {DEMO_ACCOUNT} / {password}")
    for host in fleet.files.of_role("control"):
        click.echo(f"  control  {host.listen['links']}  state at http://{host.listen['admin']}")
    click.echo(f"  key      {deployment.key(workspace)}")
    click.echo(
        f"  curl -N {url}/v1/chat/completions -H 'Authorization: Bearer "
        f"{deployment.key(workspace)}' -H 'Content-Type: application/json' -d '{body}'"
    )


if __name__ == "__main__":
    main()
