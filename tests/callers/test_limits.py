"""Limits of what callers may send, and the errors that they receive."""

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest

from cranberrywall.callers import BodyLimits, CallerLimits
from tests.requests.fleet import OTHER_KEY, Fleet, chat, headers
from tests.requests.scripted import ScriptedEngine, script

BAD_BODIES = [
    b"",
    b"{",
    b"\xff\xfe",
    b"[]",
    b'{"model": "drafting-llm"}',
    b'{"model": "drafting-llm", "messages": []}',
    b'{"model": "drafting-llm", "messages": "hello"}',
    b'{"model": 7, "messages": [{"role": "user", "content": "x"}]}',
    b'{"messages": [{"role": "user", "content": 1}], "model": "drafting-llm"}',
    b'{"model": "drafting-llm", "messages": [{"role": "user"}], "max_tokens": 0}',
    b'{"model": "drafting-llm", "messages": [{"role": "user"}], "max_tokens": 1e9}',
    b'{"model": "drafting-llm", "messages": [{"role": "user"}], "n": 2}',
    b'{"model": "drafting-llm", "messages": [{"role": "user"}], "stream": "yes"}',
    b'{"model": "drafting-llm", "messages": [{"role": "user"}], "max_tokens": 101}',
    b'{"a":' * 20_000,
]


async def send(fleet: Fleet, url: str, data: Any, sent: dict[str, str]) -> tuple[int, Any, Any]:
    async with fleet.session.post(url, data=data, headers=sent) as answer:
        return answer.status, answer.headers, json.loads(await answer.read())["error"]


@pytest.fixture
async def fleet():
    async with Fleet() as started_fleet:
        await started_fleet.engine()
        await started_fleet.entry(
            caller_limits=CallerLimits(bodies=BodyLimits(1_000_000, 0.2), write_timeout_s=0.1)
        )
        yield started_fleet


async def test_bad_bodies_name_the_field_and_the_remedy(fleet: Fleet) -> None:
    url = f"{fleet.entries[0].url}/v1/chat/completions"
    for data in BAD_BODIES:
        status, head, error = await send(fleet, url, data, headers())
        assert (status, head["X-Ran"], error["ran"]) == (400, "no", "no"), data[:80]
        assert error["field"]
        assert error["remedy"]
        assert head["X-Request-Id"]


async def test_bad_headers_name_the_field_and_the_remedy(fleet: Fleet) -> None:
    url = f"{fleet.entries[0].url}/v1/chat/completions"
    body = json.dumps(chat()).encode()
    cases = [
        ({"Authorization": "Bearer wrong"}, 401, "Authorization"),
        ({"Authorization": "Basic ZGVtbw=="}, 401, "Authorization"),
        (headers() | {"X-Priority": "first"}, 403, "X-Priority"),
        (headers() | {"X-Deadline-S": "soon"}, 400, "X-Deadline-S"),
        (headers() | {"X-Deadline-S": "nan"}, 400, "X-Deadline-S"),
        (headers() | {"X-Deadline-S": "-1"}, 400, "X-Deadline-S"),
        (headers(request_id="two words"), 400, "Idempotency-Key"),
        (headers(request_id="x" * 129), 400, "Idempotency-Key"),
    ]
    for sent, status, field in cases:
        got, _, error = await send(fleet, url, body, sent)
        assert (got, error["field"]) == (status, field)
        assert error["remedy"]


async def test_unknown_models_paths_and_services(fleet: Fleet) -> None:
    base = fleet.entries[0].url
    body = json.dumps(chat() | {"model": "other"}).encode()
    cases = [
        ("/v1/chat/completions", body, 404),
        ("/v1/nothing", b"", 404),
        ("/v1/models", b"", 404),
        ("/v1/services/unknown/path", b"", 404),
    ]
    for path, data, status in cases:
        got, head, error = await send(fleet, base + path, data, headers())
        assert (got, head["X-Ran"], bool(error["code"])) == (status, "no", True)


async def test_a_body_that_is_too_large_is_refused(fleet: Fleet) -> None:
    url = f"{fleet.entries[0].url}/v1/chat/completions"

    async def chunks() -> AsyncIterator[bytes]:
        for _ in range(40):
            yield b" " * 50_000

    for data in (b" " * 1_000_001, chunks()):
        status, head, error = await send(fleet, url, data, headers())
        assert (status, head["X-Ran"], error["field"]) == (413, "no", "body")


async def test_a_header_that_is_too_large_is_refused(fleet: Fleet) -> None:
    url = f"{fleet.entries[0].url}/v1/models"
    async with fleet.session.get(url, headers=headers() | {"X-App": "x" * 20_000}) as answer:
        assert answer.status == 400


async def test_a_body_that_trickles_in_times_out(fleet: Fleet) -> None:
    """A caller sends a byte now and then to occupy connections indefinitely."""

    async def trickle() -> AsyncIterator[bytes]:
        yield b"{"
        await asyncio.sleep(5)

    url = f"{fleet.entries[0].url}/v1/chat/completions"
    status, _, error = await send(fleet, url, trickle(), headers())
    assert (status, error["field"]) == (400, "body")


async def test_each_workspace_receives_only_answers_to_its_own_requests(fleet: Fleet) -> None:
    """Two workspaces use the same idempotency key; each receives its own answer."""
    entry = fleet.entries[0]
    _, _, own = await fleet.post(entry, chat("one"), request_id="r-1")
    status, _, other = await fleet.post(entry, chat("two"), key=OTHER_KEY, request_id="r-1")
    assert status == 200
    assert own != other
    assert set(fleet.ledger.billed_by_request) == {("desk", "r-1"), ("other", "r-1")}


async def test_a_spent_budget_is_refused_before_anything_runs(fleet: Fleet) -> None:
    entry = fleet.entries[0]
    entry.allotments.free = 10
    status, head, data = await fleet.post(entry, chat())
    assert (status, head["X-Ran"]) == (402, "no")
    assert json.loads(data)["error"]["code"] == "budget_exhausted"
    assert int(head["Retry-After"]) > 0


async def test_a_slow_caller_does_not_hold_its_target() -> None:
    """A caller stops reading in the middle of an answer.

    When the engine has finished, its slot is freed and the answer is charged. The caller's
    connection is closed once it has accepted no data for the write timeout.
    """
    long_text = "x" * 120_000
    async with Fleet() as fleet:
        engine = ScriptedEngine(script(*((number, long_text) for number in range(90)), "end"))
        await fleet.target(engine.app)
        entry = await fleet.entry(caller_limits=CallerLimits(write_timeout_s=0.2))
        host, port = entry.url.removeprefix("http://").split(":")
        client_socket = socket.socket()
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client_socket.connect((host, int(port)))
        reader, writer = await asyncio.open_connection(sock=client_socket, limit=1024)
        body = json.dumps(chat(stream=True)).encode()
        writer.write(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        await reader.readexactly(100)
        while entry.stack.running or not fleet.ledger.billed_by_request:
            await asyncio.sleep(0.01)
        assert entry.allotments.held == 0
        await asyncio.sleep(0.5)
        received_bytes = 0
        last = b""
        try:
            while data := await reader.read(65_536):
                received_bytes += len(data)
                last = data
        except ConnectionResetError:
            pass
        assert 0 < received_bytes < 90 * len(long_text)
        assert b"[DONE]" not in last
        writer.close()
