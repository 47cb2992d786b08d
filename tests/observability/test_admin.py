"""Check the operators' HTTP, the dump of state, and the bound on labels."""

import asyncio
import io
import os
import signal
from collections.abc import AsyncIterator
from typing import NamedTuple

import aiohttp
import pytest
from loguru import logger

from cranberrywall.observability import (
    AdminServer,
    HealthChecks,
    Metrics,
    StateRegistry,
    configure_log,
    dump_state_on_signal,
    make_admin_server,
    make_metrics,
)
from cranberrywall.observability import _admin as admin_module


class Lease(NamedTuple):
    host: str
    amount: int


class Admin:
    """Hold one admin server with what it serves."""

    def __init__(self) -> None:
        self.metrics: Metrics = make_metrics()
        self.state = StateRegistry()
        self.health = HealthChecks()
        self.server: AdminServer = make_admin_server(
            "127.0.0.1:0", self.metrics, self.state, self.health, token="t" * 32
        )

    async def get(self, path: str, **headers: str) -> tuple[int, str]:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.server.address}{path}", headers=headers) as answer,
        ):
            return answer.status, await answer.text()


@pytest.fixture
async def admin() -> AsyncIterator[Admin]:
    admin = Admin()
    await admin.server.start()
    yield admin
    await admin.server.close()


async def test_metrics_have_a_bounded_number_of_series(admin: Admin):
    calls = admin.metrics.counter("calls", "Calls.", ["workspace"], most=3)
    for number in range(10):
        calls.labels(f"w{number}").inc()
    admin.metrics.gauge("open", "Open.").labels().set(4)
    status, text = await admin.get("/metrics")
    series = [line for line in text.splitlines() if line.startswith("cranberrywall_calls_total")]
    assert status == 200
    assert sorted(series) == [
        'cranberrywall_calls_total{workspace="other"} 7.0',
        *(f'cranberrywall_calls_total{{workspace="w{number}"}} 1.0' for number in range(3)),
    ]
    assert "cranberrywall_open 4.0" in text
    assert "process_resident_memory_bytes" in text


def _raise() -> object:
    raise LookupError("gone")


async def test_the_state_names_its_fields_and_survives_a_part_at_fault(admin: Admin):
    admin.state.register("leases", lambda: [Lease("entry-1", 5)])
    admin.state.register("broken", _raise)
    status, text = await admin.get("/state")
    assert status == 200
    expected = '{"leases":[{"host":"entry-1","amount":5}],"broken":{"error":"LookupError: gone"}}'
    assert text == expected
    with pytest.raises(ValueError, match="leases"):
        admin.state.register("leases", dict)


async def test_the_state_is_for_this_machine_and_for_the_secret(
    admin: Admin, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(admin_module, "_is_local", lambda request: False)
    assert (await admin.get("/state"))[0] == 403
    assert (await admin.get("/state", Authorization="Bearer no"))[0] == 403
    assert (await admin.get("/state", Authorization="Bearer " + "t" * 32))[0] == 200


async def test_health_and_readiness_tell_the_truth(admin: Admin):
    reasons: dict[str, str] = {}
    admin.health.add_health("storage", lambda: reasons.get("storage"))
    admin.health.add_readiness("configuration", lambda: reasons.get("configuration"))
    assert (await admin.get("/healthz"))[0] == (await admin.get("/readyz"))[0] == 200
    reasons["configuration"] = "no revision yet"
    assert (await admin.get("/healthz"))[0] == 200
    assert await admin.get("/readyz") == (503, '{"failed": {"configuration": "no revision yet"}}')
    reasons["storage"] = "the last sync failed"
    assert (await admin.get("/healthz"))[0] == 503
    assert "storage" in (await admin.get("/readyz"))[1]


async def test_a_check_that_cannot_tell_fails(admin: Admin):
    admin.health.add_readiness("lookup", lambda: str(_raise()))
    status, text = await admin.get("/readyz")
    assert status == 503
    assert "LookupError" in text


async def test_a_signal_dumps_the_state_into_the_log():
    sink = io.StringIO()
    configure_log("entry", "entry-1", "town-hall", "INFO", sink)
    state = StateRegistry()
    state.register("sizes", lambda: {"queue": 3})
    dump_state_on_signal(state)
    os.kill(os.getpid(), signal.SIGUSR1)
    while not sink.getvalue():
        await asyncio.sleep(0.001)
    asyncio.get_running_loop().remove_signal_handler(signal.SIGUSR1)
    logger.remove()
    assert sink.getvalue().endswith('state="{\\"sizes\\":{\\"queue\\":3}}"\n')
