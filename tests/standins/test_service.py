"""Check that the stand-in service counts its executions and announces itself."""

import aiohttp
import pytest
from aiohttp import web

from standins import Faults, ServiceOptions, make_service, serve, service_answer
from standins._announcer import AnnounceOptions

HEADERS = {"X-Attempt-Id": "r1/1/a", "X-Request-Id": "r1"}


async def test_executions_are_counted_by_request_id() -> None:
    service = make_service(ServiceOptions("api-1", "deposit-ledger-api", work_s=0.0))
    serving = await serve(service)
    async with aiohttp.ClientSession(headers=HEADERS) as session:
        for execution in (1, 2):
            answer = await session.post(f"{serving.url}/renewals/17/confirm", data=b"yes")
            document = await answer.json()
            assert document["execution"] == execution
            assert document["answer"] == service_answer("POST", "/renewals/17/confirm", b"yes")
            assert answer.headers["X-Attempt-Id"] == "r1/1/a"
        counts = await (await session.get(f"{serving.url}/counts")).json()
    await serving.close()
    assert counts["requests"]["r1"]["executions"] == 2


async def test_a_cut_answer_has_run() -> None:
    service = make_service(
        ServiceOptions("api-1", "deposit-ledger-api", work_s=0.0, faults=Faults(cut=1.0))
    )
    serving = await serve(service)
    async with aiohttp.ClientSession(headers=HEADERS) as session:
        with pytest.raises(aiohttp.ClientError):
            await session.post(f"{serving.url}/renewals/17/confirm")
        changed = await session.put(f"{serving.url}/faults", json={"cut": 0.0})
        assert (await changed.json())["cut"] == 0.0
        wrong = await session.put(f"{serving.url}/faults", json={"cutt": 0.0})
        assert wrong.status == 400
    await serving.close()
    assert service.counts.by_request["r1"]["finished"] == 1


async def test_it_announces_itself_moves_to_another_entry_host_and_leaves() -> None:
    heard = []

    async def hear(request: web.Request) -> web.Response:
        assert request.headers["Authorization"] == "Bearer target-key"
        heard.append(await request.json())
        return web.json_response({"ttl_s": 6.0})

    app = web.Application()
    app.router.add_post("/v1/targets/announce", hear)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    entry = f"http://127.0.0.1:{runner.addresses[0][1]}"
    announce = AnnounceOptions(["http://127.0.0.1:1", entry], "target-key", renew_every_s=0.01)
    serving = await serve(make_service(ServiceOptions("api-1", "vratar")), announce=announce)
    async with aiohttp.ClientSession() as session:
        while len(heard) < 3:
            await session.get(f"{serving.url}/counts")
    await serving.leave()
    await runner.cleanup()
    assert [document["counter"] for document in heard] == sorted(
        document["counter"] for document in heard
    )
    assert heard[0]["url"] == serving.url
    assert [document["leaving"] for document in heard[-2:]] == [False, True]
