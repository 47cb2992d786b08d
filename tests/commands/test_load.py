"""Check the load command: its checks, its exit statuses and what it writes."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import yaml
from aiohttp import web
from click.testing import CliRunner, Result

from cranberrywall.commands.load import main
from standins import service_answer
from tests.load.test_profile_and_plan import GOOD

SERVICE = "/v1/services/deposit-ledger-api"


@pytest.fixture
async def entry() -> AsyncIterator[str]:
    async def answer(request: web.Request) -> web.Response:
        path = request.path.removeprefix(SERVICE)
        return web.json_response({"answer": service_answer(request.method, path, b"")})

    app = web.Application()
    app.router.add_route("*", SERVICE + "/{path:.*}", answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    await runner.cleanup()


def write_profile(folder: Path, **changes: object) -> str:
    path = folder / "load.yaml"
    path.write_text(yaml.safe_dump({**GOOD, "chats": {}, "duration_s": 0.3, **changes}), "utf-8")
    return str(path)


async def run(*arguments: str) -> Result:
    return await asyncio.to_thread(CliRunner().invoke, main, list(arguments))


async def test_it_reports_writes_and_exits_well(tmp_path: Path, entry: str) -> None:
    csv, plot = tmp_path / "load.csv", tmp_path / "load.png"
    result = await run(
        write_profile(tmp_path),
        *("--entry", entry, "--check-standins", "--csv", str(csv), "--plot", str(plot)),
    )
    assert result.exit_code == 0, result.output
    assert "lookups" in result.output
    rows = csv.read_text("utf-8").splitlines()
    assert len(rows) > 10
    assert all(",answered," in row for row in rows[1:])
    assert plot.read_bytes().startswith(b"\x89PNG")


async def test_a_wrong_or_lost_answer_exits_with_1(tmp_path: Path, entry: str) -> None:
    wrong = GOOD["services"]["lookups"] | {"body_characters": {"low": 5, "high": 5}}
    profile = write_profile(tmp_path, services={"lookups": wrong})
    result = await run(profile, "--entry", entry, "--check-standins")
    assert result.exit_code == 1
    retries = {"most": 0, "wait_s": 0.01, "longest_wait_s": 0.1}
    profile = write_profile(tmp_path, retries=retries)
    assert (await run(profile, "--entry", "http://127.0.0.1:1")).exit_code == 1


async def test_a_bad_profile_exits_with_2_and_sends_nothing(tmp_path: Path) -> None:
    result = await run(write_profile(tmp_path, in_flight=0), "--check")
    assert result.exit_code == 2
    assert "in_flight" in result.output
    assert (await run(write_profile(tmp_path), "--check")).exit_code == 0
