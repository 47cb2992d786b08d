"""Check the HTTP route by which targets announce themselves."""

from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from cranberrywall.targets import ANNOUNCE_PATH, Announcement, make_announce_routes, make_targets
from tests.routing.clocks import ManualClock

BODY: dict[str, Any] = {
    "target": "engine-1",
    "incarnation": 7,
    "counter": 12,
    "kind": "engine",
    "name": "drafting-llm",
    "place": "kolonnawa-dc",
    "url": "http://127.0.0.1:9001",
    "versions": ["2026-10"],
    "capacity": 8,
    "load": {"running": 3, "waiting": 0, "at": 1790000000.0},
    "cache_events": [{"seq": 41, "op": "add", "prefix": "00000000000000ff"}],
}
KEY = {"Authorization": "Bearer target-key"}


@pytest.fixture
async def announced():
    published: list[Announcement] = []
    app = web.Application()
    app.add_routes(
        make_announce_routes(make_targets(), "target-key", ManualClock(), published.append)
    )
    async with TestClient(TestServer(app)) as client:
        yield client, published


async def test_an_announcement_is_accepted_and_passed_on_once(announced):
    client, published = announced
    for _ in range(2):
        response = await client.post(ANNOUNCE_PATH, json=BODY, headers=KEY)
        assert response.status == 200
        assert await response.json() == {"ttl_s": 6.0}
    assert [item.cache_events[0].prefix for item in published] == [b"\0" * 7 + b"\xff"]


async def test_the_models_that_an_engine_can_load_are_passed_on(announced):
    client, published = announced
    body = {**BODY, "models": ["status-llm", "drafting-llm"], "slots": 3}
    assert (await client.post(ANNOUNCE_PATH, json=body, headers=KEY)).status == 200
    (announcement,) = published
    assert (announcement.models, announcement.slots) == (("status-llm", "drafting-llm"), 3)


@pytest.mark.parametrize("key", ["", "Bearer other", "target-key"])
async def test_a_wrong_key_is_refused(announced, key):
    client, published = announced
    response = await client.post(ANNOUNCE_PATH, json=BODY, headers={"Authorization": key})
    assert response.status == 401
    assert (await response.json())["error"]["field"] == "Authorization"
    assert not published


@pytest.mark.parametrize(
    ("field", "change"),
    [
        ("capacity", {"capacity": 0}),
        ("url", {"url": "http://host/path?query"}),
        ("load.running", {"load": {"running": -1, "waiting": 0, "at": 0.0}}),
        ("load.waiting", {"load": {"running": 1, "at": 0.0}}),
        ("kind", {"kind": "database"}),
        ("models", {"models": ["status-llm"]}),
        ("models", {"kind": "service", "models": ["drafting-llm"]}),
        ("models[0]", {"models": ["Not A Name"]}),
        ("slots", {"slots": 1, "versions": ["2026-10", "2026-11"]}),
        ("slots", {"slots": 0}),
        ("slots", {"kind": "service", "slots": 2}),
        ("cache_events[0].prefix", {"cache_events": [{"seq": 1, "op": "add", "prefix": "z"}]}),
    ],
)
async def test_a_bad_field_is_named_with_a_remedy(announced, field, change):
    client, published = announced
    response = await client.post(ANNOUNCE_PATH, json={**BODY, **change}, headers=KEY)
    error = (await response.json())["error"]
    assert response.status == 400
    assert error["field"] == field
    assert error["remedy"]
    assert not published
