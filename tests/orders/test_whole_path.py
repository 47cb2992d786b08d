"""Check that a version changed in the configuration reaches the engines by orders."""

import asyncio
from pathlib import Path

from cranberrywall.commands._demo_fleet import DemoFleet
from cranberrywall.configuration import ConfigurationClient, Edit
from cranberrywall.control import make_control_client
from cranberrywall.demo import SAVINGS_BOARD, FleetSize, read_deployment, write_fleet
from cranberrywall.links import Peer, make_caller
from cranberrywall.runtime import make_runtime
from standins import Engine

PATIENCE_S = 30.0
NET = 31


async def test_a_new_version_is_loaded_by_every_engine_and_the_old_one_goes(
    tmp_path: Path,
) -> None:
    deployment = read_deployment(SAVINGS_BOARD)
    files = write_fleet(tmp_path / "fleet", deployment, FleetSize(1, 2), NET)
    fleet = DemoFleet(deployment, files)
    runtime = make_runtime(None)
    identity = Peer("operator", "", 1)
    caller = make_caller(runtime.network, runtime.clock, runtime.random, files.keys.fleet, identity)
    control = make_control_client(caller, runtime.clock, files.control_links(), runtime.random)
    client = ConfigurationClient(control, timeout=PATIENCE_S)
    try:
        await fleet.start()
        seen = (await client.document()).unwrap()
        model = dict(seen.document["models"]["drafting-llm"], version="2026-11")
        edits = (
            Edit("models", "drafting-llm", model),
            Edit("weight_store", "", {"concurrent_loads": 9}),
        )
        (await client.change(edits, seen.revision, "new-version", "ana", 1.0)).unwrap()
        engines = [one for one in fleet.targets.standins if isinstance(one, Engine)]
        async with asyncio.timeout(PATIENCE_S):
            while any(engine.orders.versions != ["2026-11"] for engine in engines):
                await asyncio.sleep(0.1)
        numbers = [order["number"] for engine in engines for order in engine.orders.taken]
        assert len(set(numbers)) == len(numbers) == 2 * len(engines)
    finally:
        await fleet.stop()
        await caller.close()
