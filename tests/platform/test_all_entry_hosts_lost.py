"""All entry hosts lose power at the same moment, with both programs as processes."""

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import aiohttp

from standins._platform import Answer, Machine, Platform, Worker
from tests.platform.test_fatal_requests import (
    FATAL,
    MOST_SENT_AFTER,
    PREPAID,
    TOKENS,
    ask_letter,
    repeat,
    sent_after_known,
    start_engines,
)

DARK_S = 0.2
FATAL_PART = {"X_Token_Counts": TOKENS, "X_Prompt_Prefix": "dead1:10,%d:10"}
VERSIONS = ("v1", "v2")
STREAMS = 12
STREAM_EVENTS = 14
EVENT_S = 0.1


class Broken(NamedTuple):
    """Stream that broke off; ``worker`` began it, and ``last_event`` is the last one received."""

    request_id: str
    worker: str
    last_event: int


async def ask_fatal_part(platform: Platform, front: Machine, number: int) -> Answer:
    headers = {**FATAL_PART, "X_Prompt_Prefix": FATAL_PART["X_Prompt_Prefix"] % number}
    try:
        return await platform.ask(front, "/letters/1", b'{"letter": %d}' % number, **headers)
    except (aiohttp.ClientError, TimeoutError):
        return Answer(0, {}, b"", False)


async def until_served(platform: Platform) -> None:
    for front in platform.fronts:
        await platform.until_answered(front, "/letters/1", X_Token_Counts=TOKENS)


def count_begun(engines: Sequence[Worker]) -> int:
    return sum(len(engine.begun_fatal) for engine in engines)


async def test_a_held_request_stays_held_after_all_hosts_lost_power(tmp_path: Path) -> None:
    """Each loss of power let a request end four more targets."""
    platform = Platform(tmp_path, fronts=3)
    try:
        engines = await start_engines(platform)
        await repeat(platform, FATAL, seconds=4.0, gap_s=0.1)
        begun = count_begun(engines)
        await platform.lose_power(platform.fronts, DARK_S)
        await until_served(platform)
        answers = [await ask_letter(platform, front, FATAL) for front in platform.fronts]
        assert [(one.status, b"quarantined" in one.body) for one in answers] == [(503, True)] * 3
        assert count_begun(engines) == begun
    finally:
        await platform.stop()


async def test_a_host_that_starts_restores_before_it_meets_the_others(tmp_path: Path) -> None:
    """Guards against items of other hosts, which have no age, in place of those on record."""
    platform = Platform(tmp_path, fronts=3)
    try:
        engines = await start_engines(platform)
        await repeat(platform, FATAL, seconds=2.0, gap_s=0.1)
        assert count_begun(engines)
        for front in platform.fronts:
            await platform.lose_power([front], DARK_S)
            await platform.until_answered(front, "/letters/1", X_Token_Counts=TOKENS)
            log = (tmp_path / f"{front.name}.log").read_text("utf-8")
            started = log.rpartition("event=process_started")[2]
            restored = started.partition("event=host_changed")[0]
            assert "event=records_restored" in restored
    finally:
        await platform.stop()


async def test_hosts_that_lost_power_are_ready_with_their_targets(tmp_path: Path) -> None:
    """Hosts were ready without targets and refused what they were sent, for up to 2 s."""
    platform = Platform(tmp_path, fronts=3)
    try:
        engines = await start_engines(platform)
        await platform.lose_power(platform.fronts, DARK_S)
        await platform.until_ready()
        for front in platform.fronts:
            log = (tmp_path / f"{front.name}.log").read_text("utf-8")
            ready = log.rpartition("event=entry_ready")[2]
            assert f"targets={len(engines)}" in ready
    finally:
        await platform.stop()


async def test_losses_of_power_permit_no_further_ends(tmp_path: Path) -> None:
    """A request went to targets long after its third end, as each loss erased the evidence."""
    platform = Platform(tmp_path, fronts=3)
    try:
        engines = await start_engines(platform)
        asking = asyncio.create_task(repeat(platform, FATAL, seconds=18.0, gap_s=0.2))
        for _ in range(3):
            await asyncio.sleep(4.0)
            await platform.lose_power(platform.fronts, DARK_S)
        await asking
        assert sent_after_known(engines) <= MOST_SENT_AFTER
    finally:
        await platform.stop()


async def test_a_held_request_stays_held_after_all_machines_lost_power(tmp_path: Path) -> None:
    """Verdicts were in the memory of hosts only."""
    platform = Platform(tmp_path, fronts=3)
    try:
        engines = await start_engines(platform)
        await repeat(platform, FATAL, seconds=4.0, gap_s=0.1)
        begun = count_begun(engines)
        await platform.lose_power([*platform.cores, *platform.fronts], DARK_S)
        await until_served(platform)
        answer = await ask_letter(platform, platform.fronts[0], FATAL)
        assert (answer.status, b"quarantined" in answer.body) == (503, True)
        assert count_begun(engines) == begun
    finally:
        await platform.stop()


async def test_a_held_part_stays_held_after_all_hosts_lost_power(tmp_path: Path) -> None:
    """Each loss of power let requests with a part of a prompt end four more targets."""
    platform = Platform(tmp_path, fronts=3)
    try:
        engines = await start_engines(platform)
        until, number = time.monotonic() + 6.0, 0
        while time.monotonic() < until:
            number += 1
            await ask_fatal_part(platform, platform.fronts[number % 3], number)
            await asyncio.sleep(0.1)
        begun = count_begun(engines)
        await platform.lose_power(platform.fronts, DARK_S)
        await until_served(platform)
        answer = await ask_fatal_part(platform, platform.fronts[0], number + 1)
        assert (answer.status, b"quarantined" in answer.body) == (503, True)
        assert count_begun(engines) == begun
    finally:
        await platform.stop()


async def test_streams_go_on_at_their_version_after_all_hosts_lost_power(tmp_path: Path) -> None:
    """No host knew which version had begun a stream, so none was taken up."""
    platform = Platform(tmp_path, fronts=3)
    try:
        workers = await start_two_versions(platform)
        streams = [asyncio.create_task(begin_stream(platform, number)) for number in range(STREAMS)]
        await asyncio.sleep(5.5 * EVENT_S)
        await platform.lose_power(platform.fronts, DARK_S)
        broken = list(filter(None, await asyncio.gather(*streams)))
        assert len(broken) >= STREAMS // 2
        await until_served(platform)
        answers = await asyncio.gather(
            *(take_up(platform, number, one) for number, one in enumerate(broken))
        )
        assert [one.status for one in answers] == [200] * len(broken)
        assert all(one.is_whole for one in answers)
        version_by_worker = {worker.name: worker.version for worker in workers}
        began = [version_by_worker[one.worker] for one in broken]
        assert [version_by_worker[worker_of(one)] for one in answers] == began
    finally:
        await platform.stop()


async def start_two_versions(platform: Platform) -> Sequence[Worker]:
    await platform.start()
    await platform.publish(1, PREPAID)
    workers = [
        Worker(f"i-engine-{number}", "engines", is_engine=True, event_s=EVENT_S)
        for number in range(6)
    ]
    for number, worker in enumerate(workers):
        worker.events = STREAM_EVENTS
        worker.version = VERSIONS[number % 2]
        await platform.add_worker(worker)
    await platform.until_ready()
    await until_served(platform)
    return workers


def worker_of(answer: Answer) -> str:
    return answer.headers["X-Server-Stamp"].partition(".")[0]


def last_event_of(answer: Answer) -> int:
    complete, _, _ = answer.body.rpartition(b"\n\n")
    return max((int(event.split()[1]) for event in complete.split(b"\n\n") if event), default=0)


async def begin_stream(platform: Platform, number: int) -> Broken | None:
    """Return where a stream broke off; ``None`` if it did not bring an event, or ended."""
    front = platform.fronts[number % len(platform.fronts)]
    request_id = f"stream-{number}"
    try:
        answer = await platform.ask(
            front, "/letters/1", b"{}", X_Token_Counts=TOKENS, X_Request_Id=request_id
        )
    except (aiohttp.ClientError, TimeoutError):
        return None
    last_event = last_event_of(answer)
    if answer.is_whole or not last_event:
        return None
    return Broken(request_id, worker_of(answer), last_event)


async def take_up(platform: Platform, number: int, broken: Broken) -> Answer:
    headers = {
        "X_Token_Counts": TOKENS,
        "X_Request_Id": f"again-{number}",
        "Resumes": broken.request_id,
        "Last_Event_Id": str(broken.last_event),
    }
    front = platform.fronts[number % len(platform.fronts)]
    return await platform.ask(front, "/letters/1", b"{}", **headers)
