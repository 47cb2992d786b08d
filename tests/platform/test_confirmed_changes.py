"""Confirm changes while hosts are frozen, with both programs as processes."""

import asyncio
from pathlib import Path

from standins._platform import Platform, Worker, configuration, route

PREPAID = 100_000_000
FROZEN_S = 4.0
REQUESTS = 5


async def test_a_host_that_was_frozen_serves_nothing_by_what_it_had_before(tmp_path: Path) -> None:
    """A route goes to another service, and a host that stood still sends its calls to the old one.

    The host is frozen for some seconds, and callers' requests wait at it for its wake. Cause: it
    serves what has arrived before it hears of anything. Proved by the revision in its log's
    `request_ended`, with `configuration_in_force` of the next one just after.
    """
    platform = Platform(tmp_path, fronts=3)
    old = Worker("i-old", "ledger", is_engine=False)
    new = Worker("i-new", "ledger-next", is_engine=False)
    try:
        await platform.start()
        await _publish(platform, 1, "ledger")
        await platform.add_worker(old)
        await platform.add_worker(new)
        await platform.until_ready()
        frozen = platform.fronts[0]
        await platform.until_answered(frozen, "/checks/1")
        platform.freeze(frozen)
        await asyncio.sleep(1.0)
        await _publish(platform, 2, "ledger-next")
        await asyncio.sleep(FROZEN_S - 1.0)
        ran_before = len(old.ran)
        asked = [asyncio.create_task(platform.ask(frozen, "/checks/1")) for _ in range(REQUESTS)]
        await asyncio.sleep(0.2)
        platform.thaw(frozen)
        answers = await asyncio.gather(*asked)
        assert len(old.ran) == ran_before
        assert {answer.status for answer in answers} <= {200, 503}
    finally:
        await platform.stop()


async def _publish(platform: Platform, version: int, service: str) -> None:
    body = configuration(version, PREPAID, [route("checks", "idempotent", service)])
    body["services"].append({"name": "ledger-next", "health_path": "/health", "max_conns": 100})
    await platform.publish_body(body)


async def test_a_host_that_starts_serves_nothing_by_what_was_before(tmp_path: Path) -> None:
    """A host is killed, a route goes to another service meanwhile, and the host comes back."""
    platform = Platform(tmp_path, fronts=3)
    old = Worker("i-old", "ledger", is_engine=False)
    new = Worker("i-new", "ledger-next", is_engine=False)
    try:
        await platform.start()
        await _publish(platform, 1, "ledger")
        await platform.add_worker(old)
        await platform.add_worker(new)
        await platform.until_ready()
        killed = platform.fronts[0]
        await platform.until_answered(killed, "/checks/1")
        await platform.kill(killed)
        await _publish(platform, 2, "ledger-next")
        ran_before = len(old.ran)
        await platform.start_machine(killed)
        await platform.until_answered(killed, "/checks/1")
        assert len(old.ran) == ran_before
        assert new.ran
    finally:
        await platform.stop()


async def test_a_target_that_left_while_a_host_was_frozen_gets_nothing_from_it(
    tmp_path: Path,
) -> None:
    """A target leaves while a host stands still; callers' requests wait there for its wake."""
    platform = Platform(tmp_path, fronts=3)
    leaving = Worker("i-leaving", "ledger", is_engine=False)
    stays = Worker("i-stays", "ledger", is_engine=False)
    try:
        await platform.start()
        await _publish(platform, 1, "ledger")
        await platform.add_worker(leaving)
        await platform.add_worker(stays)
        await platform.until_ready()
        frozen = platform.fronts[0]
        await platform.until_answered(frozen, "/checks/1")
        platform.freeze(frozen)
        await asyncio.sleep(1.0)
        await platform.withdraw_worker(leaving)
        await asyncio.sleep(FROZEN_S - 1.0)
        ran_before = len(leaving.ran)
        asked = [asyncio.create_task(platform.ask(frozen, "/checks/1")) for _ in range(REQUESTS)]
        await asyncio.sleep(0.2)
        platform.thaw(frozen)
        answers = await asyncio.gather(*asked)
        assert len(leaving.ran) == ran_before
        assert {answer.status for answer in answers} <= {200, 503}
    finally:
        await platform.stop()
