"""Check that engines change their model over the whole path as callers' demand shifts."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from cranberrywall.commands._demo_fleet import DemoFleet
from cranberrywall.configuration import ConfigurationClient, Edit
from cranberrywall.control import make_control_client
from cranberrywall.demo import SAVINGS_BOARD, FleetSize, read_deployment, write_fleet
from cranberrywall.links import Peer, make_caller
from cranberrywall.runtime import make_runtime
from standins import AnnounceOptions, Engine, EngineOptions, Serving, make_engine, serve

PATIENCE_S = 40.0
NET = 32
DRAFTING, STATUS = "drafting-llm", "status-llm"
VERSION = "2026-10"
CALLERS = 12
WORKSPACE = "counter-clerks"


async def test_engines_change_their_model_as_demand_shifts(tmp_path: Path) -> None:
    """Four engines, two of which check numbers: three draft letters, one tells of status.

    Then clerks ask for status only. Engines go over to it, while one goes on drafting and
    no request of either model fails or reaches an engine that has the other one.
    """
    name = SAVINGS_BOARD._replace(engines=0)
    deployment = read_deployment(SAVINGS_BOARD)._replace(name=name)
    fleet = DemoFleet(deployment, write_fleet(tmp_path / "fleet", deployment, FleetSize(1, 2), NET))
    engines = [_engine(number) for number in range(4)]
    servings: list[Serving] = []
    try:
        await fleet.start()
        await _offer_status(fleet)
        announce = AnnounceOptions(fleet.files.entry_urls(), fleet.files.keys.target, 0.5)
        for engine in engines:
            servings.append(await serve(engine, announce=announce))
        statuses: list[int] = []
        async with (
            _asking(fleet, STATUS, CALLERS, statuses),
            _asking(fleet, DRAFTING, 1, statuses),
        ):
            await _until(engines, STATUS, 3)
            before = len(statuses)
            while len(statuses) < before + 2 * CALLERS:
                await asyncio.sleep(0.1)
        assert set(statuses) == {200}
        assert sum(engine.orders.model == DRAFTING for engine in engines) == 1
        orders = [order for engine in engines for order in engine.orders.taken]
        assert len({order["number"] for order in orders}) == len(orders) == 4
        assert sum(engine.orders.model_moves for engine in engines) == 2
    finally:
        for serving in servings:
            await serving.close()
        await fleet.stop()


def _engine(number: int) -> Engine:
    return make_engine(
        EngineOptions(
            target=f"engine-{number}",
            model=STATUS if number == 3 else DRAFTING,
            models=(DRAFTING, STATUS),
            slots=1,
            versions=(VERSION,),
            capacity=4,
            step_s=0.03,
            checks_fencing=number % 2 == 0,
            seed=number,
        )
    )


async def _offer_status(fleet: DemoFleet) -> None:
    """Let the workspace ask for a second model, one copy of each at least."""
    runtime = make_runtime(None)
    identity = Peer("operator", "", 1)
    caller = make_caller(
        runtime.network, runtime.clock, runtime.random, fleet.files.keys.fleet, identity
    )
    control = make_control_client(
        caller, runtime.clock, fleet.files.control_links(), runtime.random
    )
    client = ConfigurationClient(control, timeout=PATIENCE_S)
    seen = (await client.document()).unwrap()
    workspace = dict(seen.document["workspaces"][WORKSPACE])
    workspace["reach"] = {"models": [DRAFTING, STATUS], "services": []}
    model = dict(seen.document["models"][DRAFTING], copies=1)
    edits = (
        Edit("models", DRAFTING, model),
        Edit("models", STATUS, model),
        Edit("workspaces", WORKSPACE, workspace),
        Edit("weight_store", "", {"concurrent_loads": 2}),
    )
    (await client.change(edits, seen.revision, "offer-status", "ana", 1.0)).unwrap()
    await caller.close()


@asynccontextmanager
async def _asking(
    fleet: DemoFleet, model: str, callers: int, statuses: list[int]
) -> AsyncIterator[None]:
    """Ask one request after the other from each caller; let the last ones end."""
    stopped = asyncio.Event()
    numbers = itertools.count()
    url = f"{fleet.files.entry_urls()[0]}/v1/chat/completions"

    async def ask(session: aiohttp.ClientSession) -> None:
        while not stopped.is_set():
            number = next(numbers)
            headers = {
                "Authorization": f"Bearer {fleet.deployment.key(WORKSPACE)}",
                "Idempotency-Key": f"{model}-{number}",
            }
            messages = [{"role": "user", "content": f"Which term has deposit {number}?"}]
            body = {"model": model, "messages": messages, "max_tokens": 32}
            async with session.post(url, json=body, headers=headers) as answer:
                await answer.read()
                # Before the first announcement there is no target yet.
                if statuses or answer.status == 200:
                    statuses.append(answer.status)
                else:
                    await asyncio.sleep(0.1)

    async with aiohttp.ClientSession() as session:
        tasks = [asyncio.create_task(ask(session)) for _ in range(callers)]
        try:
            yield
        finally:
            stopped.set()
            await asyncio.gather(*tasks)


async def _until(engines: list[Engine], model: str, count: int) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while sum(engine.orders.model == model for engine in engines) < count:
            assert any(
                engine.orders.model == DRAFTING and engine.orders.versions for engine in engines
            ), "the last copy is gone"
            await asyncio.sleep(0.1)
