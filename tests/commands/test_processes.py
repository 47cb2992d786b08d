"""Check that the programs serve a request as separate plain processes, billed once."""

import asyncio
import json
import re
import socket
import sys
from pathlib import Path

import aiohttp
import pytest

from cranberrywall.demo import (
    SAVINGS_BOARD,
    FleetFiles,
    FleetSize,
    demo_requests,
    make_fleet_client,
    read_deployment,
    wait_for_targets,
    write_fleet,
)
from cranberrywall.load import CallerOptions, OutcomeKind, Retries, make_caller
from cranberrywall.runtime import make_clock, make_random
from measurements._processes import ROOT, FleetProcesses
from standins import check_answer

PATIENCE_S = 20.0
RETRIES: Retries = {"most": 40, "wait_s": 0.1, "longest_wait_s": 0.5}
NET = 7


async def start_standin(module: str, entries: list[str], key: str) -> asyncio.subprocess.Process:
    options = [option for entry in entries for option in ("--entry", entry)]
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"standins.{module}",
        *options,
        stdout=asyncio.subprocess.PIPE,
        env={"STANDIN_TARGET_KEY": key},
        cwd=ROOT,
    )


async def counts_of(process: asyncio.subprocess.Process) -> dict[str, int]:
    assert process.stdout is not None
    url = json.loads(await process.stdout.readline())["url"]
    async with aiohttp.ClientSession() as session, session.get(f"{url}/counts") as response:
        document = await response.json()
    return {name: count["executions"] for name, count in document["requests"].items()}


async def check_streams_are_counted(files: FleetFiles) -> None:
    counted = re.compile(r'^cranberrywall_links_bytes_total\{direction="out"\} [1-9]', re.MULTILINE)
    async with aiohttp.ClientSession() as session:
        for host in [*files.of_role("control"), *files.of_role("entry")]:
            async with session.get(f"http://{host.listen['admin']}/metrics") as response:
                assert counted.search(await response.text()), host.name


async def check_money_is_counted(files: FleetFiles) -> None:
    held = []
    async with aiohttp.ClientSession() as session:
        for host in files.of_role("entry"):
            async with session.get(f"http://{host.listen['admin']}/metrics") as response:
                text = await response.text()
            held += re.findall(r"^cranberrywall_budgets_held (\S+)$", text, re.MULTILINE)
            assert re.search(r"^cranberrywall_charges_waiting 0.0$", text, re.MULTILINE)
    assert sum(map(float, held)) >= 1.0


async def test_separate_processes_serve_a_request_and_bill_it_once(tmp_path: Path) -> None:
    deployment = read_deployment(SAVINGS_BOARD)
    files = write_fleet(tmp_path / "fleet", deployment, FleetSize(3, 2), NET)
    processes = FleetProcesses(files)
    client = make_fleet_client(files)
    standins = []
    try:
        await processes.start([host.name for host in files.of_role("control")])
        await client.commit(files.document, PATIENCE_S)
        await client.credit(files.document, {"counter-clerks": 10_000}, PATIENCE_S)
        others = [*files.of_role("entry"), *files.of_role("console")]
        await processes.start([host.name for host in others])
        key = files.keys.target
        standins.append(await start_standin("engine", files.entry_urls(), key))
        standins.append(await start_standin("service", files.entry_urls(), key))
        await wait_for_targets(files, 2, PATIENCE_S)
        await send_and_check(files, deployment)
        await check_streams_are_counted(files)
        await check_money_is_counted(files)
        totals = await client.totals(PATIENCE_S)
        assert totals.by_workspace()["counter-clerks"][1] == 1
        assert totals.billed_requests == 1
        assert totals.overspend == 0
        counts = [await counts_of(standin) for standin in standins]
        assert counts == [{"savings-board-1": 1}, {}]
        statuses = await processes.end_all()
        assert set(statuses.values()) == {0}
    finally:
        for standin in standins:
            standin.terminate()
            await standin.wait()
        await client.close()
        await processes.end_all()


async def send_and_check(files, deployment) -> None:
    letter = demo_requests(deployment)[0].planned
    async with aiohttp.ClientSession() as session:
        clock = make_clock()
        options = CallerOptions(files.entry_urls(), RETRIES, 10.0)
        caller = make_caller(options, session, clock, make_random(1), check_planned)
        outcome = await caller.send(letter, clock.now())
        assert (outcome.kind, outcome.code) == (OutcomeKind.ANSWERED, "")
        console = files.of_role("console")[0].listen["http"]
        async with session.get(f"http://{console}/login") as response:
            assert "Log in" in await response.text()


def check_planned(planned, text: str) -> bool:
    return check_answer(planned.method, planned.path, planned.body, text)


@pytest.mark.parametrize("program", ["control", "entry", "console"])
async def test_a_bad_setting_is_named_and_nothing_starts(tmp_path: Path, program: str) -> None:
    deployment = read_deployment(SAVINGS_BOARD)
    files = write_fleet(tmp_path / "fleet", deployment, FleetSize(1, 1), NET)
    path = files.of_role(program)[0].path
    path.write_text(path.read_text("utf-8").replace("place:", "plaice:"), "utf-8")
    status, errors = await run_program(program, path)
    assert status == 2
    assert "plaice" in errors


@pytest.mark.parametrize("program", ["control", "entry", "console"])
async def test_an_address_that_is_taken_is_named(tmp_path: Path, program: str) -> None:
    """An operator starts a program twice. The second one says which address is taken and
    what to do about it, and ends; it prints no traceback.
    """
    files = write_fleet(tmp_path / "fleet", read_deployment(SAVINGS_BOARD), FleetSize(1, 1), NET)
    host = files.of_role(program)[0]
    address = host.listen["http" if program == "console" else "links"]
    ip, _, port = address.rpartition(":")
    with socket.create_server((ip, int(port))):
        status, errors = await run_program(program, host.path)
    assert status == 1
    assert port in errors
    assert "listen" in errors
    assert "Traceback" not in errors


async def run_program(program: str, path: Path) -> tuple[int | None, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"cranberrywall.commands.{program}",
        "--settings",
        str(path),
        stderr=asyncio.subprocess.PIPE,
        cwd=ROOT,
    )
    _, errors = await process.communicate()
    return process.returncode, errors.decode()
