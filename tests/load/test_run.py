"""Check what a caller of the load tool does when hosts refuse, cut and die."""

from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from aiohttp import web

from cranberrywall.load import OutcomeKind, make_plan, make_report, read_profile, run_load
from cranberrywall.runtime import make_clock, make_random
from tests.load.test_profile_and_plan import profile

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
StartHost = Callable[[Handler], Awaitable[str]]


@pytest.fixture
async def start() -> AsyncIterator[StartHost]:
    runners = []
    urls: list[str] = []

    async def addresses(request: web.Request) -> web.Response:
        named = [{"url": url, "weight": 1.0, "place": "town-hall"} for url in urls]
        return web.json_response({"addresses": named, "ttl_s": 5.0})

    async def start_host(handler: Handler) -> str:
        app = web.Application()
        app.router.add_get("/v1/addresses", addresses)
        app.router.add_route("*", "/{path:.*}", handler)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        runners.append(runner)
        urls.append(f"http://127.0.0.1:{runner.addresses[0][1]}")
        return urls[-1]

    yield start_host
    for runner in runners:
        await runner.cleanup()


def refuse(code: str, ran: str, status: int, retry_after: str | None) -> web.Response:
    headers = {} if retry_after is None else {"Retry-After": retry_after}
    error = {"code": code, "ran": ran, "retry_safe": ran != "unknown"}
    return web.json_response({"error": error}, status=status, headers=headers)


async def send(url: str, retries: int = 5, services: bool = True):
    kept = {"services": profile().ok_value["services"]} if services else {"services": {}}
    chosen = profile(
        entries=[url],
        duration_s=0.2,
        chats={} if services else profile().ok_value["chats"],
        retries={"most": retries, "wait_s": 0.001, "longest_wait_s": 0.01},
        **kept,
    ).ok_value
    plan = make_plan(chosen, "run")
    return plan, await run_load(chosen, plan, make_clock(), make_random(1))


async def test_a_dead_host_and_a_refusal_are_retried_with_the_same_key(start) -> None:
    seen: list[str] = []

    async def cut(request: web.Request) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.close()
        return web.Response()

    async def answer(request: web.Request) -> web.StreamResponse:
        key = request.headers["Idempotency-Key"]
        seen.append(key)
        if seen.count(key) == 1:
            return refuse("overloaded", "no", 503, "0")
        return web.Response(text="done")

    await start(cut)
    url = await start(answer)
    plan, outcomes = await send(url)
    assert {outcome.kind for outcome in outcomes} == {OutcomeKind.ANSWERED}
    assert len(outcomes) == len(plan)
    assert set(seen) == {planned.idempotency_key for planned in plan}
    assert any(outcome.tries > 2 for outcome in outcomes)


@pytest.mark.parametrize(
    ("code", "ran", "retry_after", "kind"),
    [
        ("budget_exhausted", "no", "60", OutcomeKind.REFUSED),
        ("outcome_unknown", "unknown", None, OutcomeKind.UNKNOWN),
        ("answer_cut", "yes", "0", OutcomeKind.LOST),
    ],
)
async def test_each_last_word_has_its_kind(start, code, ran, retry_after, kind) -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        return refuse(code, ran, 503, retry_after)

    _, outcomes = await send(await start(answer), retries=2)
    assert {outcome.kind for outcome in outcomes} == {kind}
    tries = 3 if kind is OutcomeKind.LOST else 1
    assert {outcome.tries for outcome in outcomes} == {tries}


async def test_a_stream_without_its_end_is_lost_and_one_with_it_is_read(start) -> None:
    ends = [b"data: [DONE]\n\n", b""]

    async def answer(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        for word in ("one", " two"):
            chunk = f'data: {{"choices": [{{"delta": {{"content": "{word}"}}}}]}}\n\n'
            await response.write(chunk.encode())
        await response.write(ends[0])
        return response

    url = await start(answer)
    _, outcomes = await send(url, retries=0, services=False)
    assert {(outcome.kind, outcome.text) for outcome in outcomes} == {
        (OutcomeKind.ANSWERED, "one two")
    }
    ends.reverse()
    _, outcomes = await send(url, retries=0, services=False)
    assert {outcome.kind for outcome in outcomes} == {OutcomeKind.LOST}


async def test_the_report_adds_up(start) -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        if request.headers["Idempotency-Key"].endswith("3"):
            return refuse("forbidden", "no", 403, None)
        return web.Response(text="done")

    plan, outcomes = await send(await start(answer))
    report = make_report(outcomes)
    refused = sum(planned.idempotency_key.endswith("3") for planned in plan)
    assert report.all.count_by_kind[OutcomeKind.REFUSED] == refused
    assert report.all.sent == len(plan)
    assert f"forbidden: {refused}" in report.table()
    assert len(report.csv().splitlines()) == len(plan) + 1


def test_an_unreadable_profile_is_no_crash() -> None:
    assert read_profile("- just\n- a list").is_err()
