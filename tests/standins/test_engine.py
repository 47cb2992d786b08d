"""Check that the stand-in engine speaks the interface and counts what it ran."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
import pytest

from standins import Engine, EngineOptions, Faults, answer_text, make_engine, serve
from standins._answers import Message
from standins._attempts import Attempt, AttemptPlan
from standins._counts import Usage

MESSAGES: list[Message] = [
    {"role": "user", "content": "Please write a renewal letter for deposit 17."}
]
StartEngine = Callable[..., Awaitable[tuple[Engine, str]]]


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as client:
        yield client


@pytest.fixture
async def start() -> AsyncIterator[StartEngine]:
    servings = []

    async def start_engine(**options: Any) -> tuple[Engine, str]:
        engine = make_engine(EngineOptions("engine-1", "drafting-llm", step_s=0.001, **options))
        serving = await serve(engine)
        servings.append(serving)
        return engine, serving.url

    yield start_engine
    for serving in servings:
        await serving.close()


async def ask(
    session: aiohttp.ClientSession, url: str, attempt: str = "r1/1/a", **body: Any
) -> aiohttp.ClientResponse:
    headers = {"X-Attempt-Id": attempt, "X-Request-Id": attempt.split("/")[0], "X-Priority": "1"}
    document = {"model": "drafting-llm", "messages": MESSAGES, "max_tokens": 64, **body}
    return await session.post(f"{url}/v1/chat/completions", json=document, headers=headers)


def read_events(raw: bytes) -> list[Any]:
    lines = [line.removeprefix("data: ") for line in raw.decode().split("\n\n") if line]
    return [line if line == "[DONE]" else json.loads(line) for line in lines]


def words_of(chunks: list[Any]) -> str:
    choices = [choice for chunk in chunks for choice in chunk["choices"]]
    return "".join(choice["delta"].get("content", "") for choice in choices)


async def test_a_stream_is_whole_numbered_and_ends_with_usage(start, session) -> None:
    engine, url = await start()
    events = read_events(await (await ask(session, url, stream=True)).read())
    assert events[-1] == "[DONE]"
    chunks = events[:-1]
    assert [chunk["index"] for chunk in chunks] == list(range(len(chunks)))
    assert {chunk["id"] for chunk in chunks} == {"r1/1/a"}
    assert words_of(chunks) == answer_text(MESSAGES, 64)
    count = engine.counts.by_request["r1"]
    assert chunks[-1]["usage"]["completion_tokens"] == count["completion_tokens"]
    assert (count["executions"], count["finished"]) == (1, 1)


async def test_a_whole_answer_keeps_to_the_limit(start, session) -> None:
    _, url = await start()
    document = await (await ask(session, url, max_tokens=5)).json()
    assert document["choices"][0]["finish_reason"] == "length"
    assert document["choices"][0]["message"]["content"] == answer_text(MESSAGES, 5)
    assert document["usage"]["completion_tokens"] == 5


async def test_a_cut_stream_resumes_where_it_stopped(start, session) -> None:
    engine, url = await start(faults=Faults(cut=1.0))
    response = await ask(session, url, stream=True)
    raw = b""
    with pytest.raises(aiohttp.ClientError):
        async for part in response.content.iter_any():
            raw += part
    begun = read_events(raw)
    assert "[DONE]" not in begun
    resumed = await session.get(f"{url}/v1/attempts/r1/1/a?from={len(begun)}")
    rest = read_events(await resumed.read())
    assert words_of(begun + rest[:-1]) == answer_text(MESSAGES, 64)
    assert engine.counts.by_request["r1"]["executions"] == 1


async def test_a_cancelled_attempt_is_counted_and_not_finished(start, session) -> None:
    engine, url = await start(faults=Faults(slow=50.0))
    response = await ask(session, url, stream=True)
    await response.content.readline()
    await session.delete(f"{url}/v1/attempts/r1/1/a")
    with pytest.raises(aiohttp.ClientError):
        await response.read()
    while engine.busy:
        await session.get(f"{url}/counts")
    assert engine.counts.by_request["r1"]["cancelled"] == 1
    assert engine.counts.by_request["r1"]["finished"] == 0


async def test_the_other_faults_show_as_named(start, session) -> None:
    _, url = await start(faults=Faults(crossed=1.0))
    assert (await ask(session, url)).headers["X-Attempt-Id"] != "r1/1/a"
    engine, url = await start(faults=Faults(wrong_usage=1.0))
    assert (await (await ask(session, url)).json())["usage"]["completion_tokens"] > 1000
    engine, url = await start(faults=Faults(refuses=1.0))
    assert (await ask(session, url)).status == 503
    assert engine.counts.by_request == {}
    _, url = await start(faults=Faults(dies=1.0))
    with pytest.raises(aiohttp.ClientError):
        await ask(session, url)
    with pytest.raises(aiohttp.ClientError):
        await session.get(f"{url}/counts")


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
async def test_old_orders_are_refused_only_where_they_are_checked(
    start, session, checks, status
) -> None:
    _, url = await start(checks_fencing=checks, load_s=0.0)
    for number, expected in [(7, 200), (6, status), (7, 200)]:
        order = {"number": number, "order": "load", "version": "2026-11"}
        assert (await session.post(f"{url}/v1/orders", json=order)).status == expected


async def test_urgent_attempts_go_first(start, session) -> None:
    engine, _ = await start(capacity=1)
    ended: list[str] = []
    engine._batch._on_end = lambda attempt: ended.append(attempt.plan.attempt_id)
    for attempt, rank in [("letter", 5), ("lookup", 0)]:
        _add(engine, attempt, rank)
    while engine.busy:
        await session.get(f"{(await start())[1]}/counts")
    assert ended == ["lookup", "letter"]


def _add(engine: Engine, attempt_id: str, rank: int) -> None:
    plan = AttemptPlan(
        attempt_id, attempt_id, "drafting-llm", rank, ["a"], False, 0, Usage(1, 1), 0
    )
    engine._batch.add(Attempt(plan))


async def test_an_ordered_model_replaces_the_one_before_after_its_load_time(start, session) -> None:
    """The engine serves what it had until the load is done, then the new model alone."""
    engine, url = await start(models=("drafting-llm", "status-llm"), slots=1, load_s=0.2)
    load = {"number": 1, "order": "load", "model": "status-llm", "version": "v3"}
    loading = asyncio.create_task(session.post(f"{url}/v1/orders", json=load))
    while not engine.orders.taken:
        await asyncio.sleep(0.01)
    assert (await ask(session, url)).status == 200
    assert (await loading).status == 200
    described = engine.describe(url)
    assert (described["name"], described["versions"]) == ("status-llm", ["v3"])
    assert (described["models"], described["slots"]) == (["drafting-llm", "status-llm"], 1)
    assert (await ask(session, url, "r2/1/a")).status == 404
    assert (await ask(session, url, "r3/1/a", model="status-llm")).status == 200


@pytest.mark.parametrize(
    ("order", "status"),
    [
        ({"order": "load", "model": "gate-llm", "version": "v1"}, 400),
        ({"order": "load", "version": "2026-11"}, 400),
        ({"order": "adapter", "model": "status-llm", "adapter": "x"}, 400),
        ({"order": "unload", "model": "status-llm", "version": "2026-10"}, 200),
    ],
)
async def test_orders_for_what_an_engine_cannot_hold_change_nothing(
    start, session, order, status
) -> None:
    models = ("drafting-llm", "status-llm")
    engine, url = await start(models=models, slots=1, load_s=0.0)
    assert (await session.post(f"{url}/v1/orders", json={"number": 1, **order})).status == status
    assert (engine.orders.model, engine.orders.versions) == ("drafting-llm", ["2026-10"])
