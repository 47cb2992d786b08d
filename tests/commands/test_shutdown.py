"""Check that an entry host ends in good order, also where it reaches no ledger."""

import asyncio
from pathlib import Path

import aiohttp
import pytest

from cranberrywall.commands import _entry_program
from cranberrywall.commands._demo_fleet import DemoFleet
from cranberrywall.commands._entry_program import EntryProgram
from cranberrywall.demo import (
    SAVINGS_BOARD,
    FleetSize,
    demo_requests,
    read_deployment,
    write_fleet,
)
from cranberrywall.errors import ErrorKind
from cranberrywall.tunnels.messages import OPEN_TUNNEL, OpenTunnel

NET = 8
STOP_S = 15.0


async def test_a_host_that_reaches_no_ledger_still_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An operator ends the control hosts and then an entry host, which still has a charge
    to commit. Before, the entry host drained for ever: it waited for the ledger. The
    charge is in its journal, so the next run on this host delivers it.
    """
    monkeypatch.setattr(_entry_program, "HAND_BACK_S", 0.3)
    deployment = read_deployment(SAVINGS_BOARD)
    files = write_fleet(tmp_path / "fleet", deployment, FleetSize(1, 1, 0), NET)
    fleet = DemoFleet(deployment, files)
    await fleet.start()
    try:
        await post(files.entry_urls()[0], demo_requests(deployment)[0].planned)
        for control in fleet.programs_by_role.pop("control"):
            await control.stop()
        await post(files.entry_urls()[0], demo_requests(deployment)[1].planned)
        async with asyncio.timeout(STOP_S):
            for entry in fleet.programs_by_role.pop("entry"):
                await entry.stop()
    finally:
        await fleet.stop()
    journal = files.folder / "data" / "entry-1" / "budgets" / "journal"
    assert b"savings-board-2" in journal.read_bytes()


async def test_requests_that_were_read_together_are_all_answered(tmp_path: Path) -> None:
    """Guards against a request that a draining host drops since it was read behind another one."""
    deployment = read_deployment(SAVINGS_BOARD)
    files = write_fleet(tmp_path / "fleet", deployment, FleetSize(1, 1, 0), NET)
    fleet = DemoFleet(deployment, files)
    await fleet.start()
    try:
        host, port = files.of_role("entry")[0].listen["http"].rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        (entry,) = fleet.programs_by_role.pop("entry")
        assert isinstance(entry, EntryProgram)
        draining = asyncio.ensure_future(entry.drain())
        await asyncio.sleep(0.1)
        writer.write(2 * f"GET /v1/addresses HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        async with asyncio.timeout(STOP_S):
            assert (await reader.read()).count(b"HTTP/1.1 ") == 2
        writer.close()
        draining.cancel()
        await entry.stop()
    finally:
        await fleet.stop()


async def test_a_draining_host_opens_no_connection_for_neighbours(tmp_path: Path) -> None:
    """Guards against connections that a stopping host opens for others and then cuts."""
    deployment = read_deployment(SAVINGS_BOARD)
    files = write_fleet(tmp_path / "fleet", deployment, FleetSize(1, 2, 0), NET)
    fleet = DemoFleet(deployment, files)
    await fleet.start()
    try:
        neighbour, stopping = fleet.programs_by_role["entry"]
        assert isinstance(neighbour, EntryProgram) and isinstance(stopping, EntryProgram)
        address = files.of_role("entry")[1].listen["links"]
        call = OpenTunnel("unknown", 1, "id-1", 0.1)
        before = await neighbour._caller.call(address, OPEN_TUNNEL, call, STOP_S)
        assert before.unwrap_err().kind is ErrorKind.NOT_FOUND
        draining = asyncio.ensure_future(stopping.drain())
        await asyncio.sleep(0.1)
        after = await neighbour._caller.call(address, OPEN_TUNNEL, call, STOP_S)
        assert after.unwrap_err().kind is ErrorKind.UNREACHABLE
        draining.cancel()
    finally:
        await fleet.stop()


async def post(url: str, planned) -> None:
    headers = {
        "Authorization": f"Bearer {planned.key}",
        "Idempotency-Key": planned.idempotency_key,
        "Content-Type": "application/json",
    }
    async with (
        aiohttp.ClientSession() as session,
        session.post(url + planned.path, data=planned.body, headers=headers) as response,
    ):
        assert response.status == 200, await response.text()
        await response.read()
