"""Meet targets that turn requests away and ask for a pause, with both programs as processes."""

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import aiohttp

from standins._platform import Answer, Machine, Platform, Worker

PREPAID = 100_000_000
ANSWERED_S = 0.5
"""What reaches a target so long after its 503 may have been on its way, in seconds."""

MOST_IN_BACKOFF = 2
"""Requests of one host that may reach a target between then and the end of the pause."""

REFUSED_WITHIN_S = 0.5
LONG_BACKOFF_S = 20.0
LEAVING_KNOWN_S = 1.0
"""All hosts know so long after its first answer that a target leaves, in seconds."""

ASKED_EVERY_S = 0.04
ASKED_FOR_S = 8.0
SHORT_WHILE_S = 3.0
REQUESTS_TO_RANK_WORKERS = 30
NO_ANSWER = Answer(0, {}, b"", False)


class Asked(NamedTuple):
    """Hold one call, and how long its answer took, in seconds."""

    answer: Answer
    seconds: float


async def ask(platform: Platform, front: Machine, number: int, path: str) -> Asked:
    began_at = time.monotonic()
    request_id = f"{front.name}/{number}"
    try:
        answer = await platform.ask(front, path, X_Request_Id=request_id)
    except (aiohttp.ClientError, TimeoutError):
        answer = NO_ANSWER
    return Asked(answer, time.monotonic() - began_at)


async def ask_for_a_while(platform: Platform, seconds: float, path: str) -> list[Asked]:
    """Ask one host after the other, twenty-five times a second in all."""
    asked: list[asyncio.Task[Asked]] = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        number = len(asked)
        front = platform.fronts[number % len(platform.fronts)]
        asked.append(asyncio.create_task(ask(platform, front, number, path)))
        await asyncio.sleep(ASKED_EVERY_S)
    return list(await asyncio.gather(*asked))


async def start_ledgers(platform: Platform, number: int) -> list[Worker]:
    await platform.start()
    await platform.publish(1, PREPAID)
    workers = [Worker(f"i-ledger-{n}", "ledger", is_engine=False) for n in range(number)]
    for worker in workers:
        await platform.add_worker(worker)
    await platform.until_ready()
    for front in platform.fronts:
        await platform.until_answered(front, "/checks/1")
    return workers


def most_in_backoff(workers: Sequence[Worker]) -> int:
    """Return the most requests of one host that reached a target in a pause it asked for."""
    most = 0
    for worker in workers:
        for turned_away in worker.arrivals:
            host = turned_away.request_id.partition("/")[0]
            since = turned_away.at + ANSWERED_S
            until = turned_away.at + turned_away.backoff_s
            inside = [
                arrived
                for arrived in worker.arrivals
                if since < arrived.at < until and arrived.request_id.partition("/")[0] == host
            ]
            most = max(most, len(inside))
    return most


async def most_used(platform: Platform, workers: Sequence[Worker]) -> Worker:
    """Return the worker that gets most requests; at a low load others may get none."""
    for number in range(REQUESTS_TO_RANK_WORKERS):
        await platform.ask(platform.fronts[number % len(platform.fronts)], "/checks/1")
    return max(workers, key=lambda worker: len(worker.arrivals))


def assert_no_new_requests(leaving: Worker) -> None:
    """Fail if a request reached a target after all hosts must know that it leaves."""
    said_at = min(one.at for one in leaving.arrivals if one.has_said_leaving)
    assert [one for one in leaving.arrivals if one.at > said_at + LEAVING_KNOWN_S] == []


async def test_targets_that_all_turn_requests_away_get_no_more_during_the_backoff(
    tmp_path: Path,
) -> None:
    """A host goes on to send to targets during the pause that they asked for in a 503."""
    platform = Platform(tmp_path, fronts=3)
    try:
        workers = await start_ledgers(platform, 4)
        for worker in workers:
            worker.sheds = True
        await ask_for_a_while(platform, ASKED_FOR_S, "/checks/1")
        assert most_in_backoff(workers) <= MOST_IN_BACKOFF
    finally:
        await platform.stop()


async def test_a_request_that_every_target_turned_away_is_refused_at_once(tmp_path: Path) -> None:
    """A request for which no other target is left is held until its caller gives up."""
    platform = Platform(tmp_path, fronts=1)
    try:
        workers = await start_ledgers(platform, 1)
        workers[0].sheds = True
        workers[0].backoff_s = LONG_BACKOFF_S
        asked = await ask_for_a_while(platform, 1.0, "/checks/1")
        assert {one.answer.status for one in asked} == {503}
        assert all("Retry-After" in one.answer.headers for one in asked)
        assert max(one.seconds for one in asked) <= REFUSED_WITHIN_S
    finally:
        await platform.stop()


async def test_a_target_that_says_in_answers_that_it_leaves_gets_no_new_requests(
    tmp_path: Path,
) -> None:
    """Hosts go on to send to a target that said only in its answers that it leaves."""
    platform = Platform(tmp_path, fronts=3)
    try:
        workers = await start_ledgers(platform, 3)
        leaving = await most_used(platform, workers)
        leaving.says_leaving = True
        asked = await ask_for_a_while(platform, ASKED_FOR_S, "/checks/1")
        assert {one.answer.status for one in asked} == {200}
        assert_no_new_requests(leaving)
    finally:
        await platform.stop()


async def test_hosts_know_a_target_that_leaves_by_its_answers_without_control(
    tmp_path: Path,
) -> None:
    """With all control hosts down, hosts go on to send to a target that said that it leaves."""
    platform = Platform(tmp_path, fronts=3)
    try:
        workers = await start_ledgers(platform, 3)
        for core in platform.cores:
            await platform.kill(core)
        leaving = await most_used(platform, workers)
        leaving.says_leaving = True
        asked = await ask_for_a_while(platform, SHORT_WHILE_S, "/checks/1")
        assert {one.answer.status for one in asked} == {200}
        assert_no_new_requests(leaving)
    finally:
        await platform.stop()


async def test_work_that_a_target_has_goes_on_after_it_said_that_it_leaves(
    tmp_path: Path,
) -> None:
    """Calls in progress at a target are broken off once it says that it leaves."""
    platform = Platform(tmp_path, fronts=1)
    try:
        workers = await start_ledgers(platform, 2)
        for worker in workers:
            worker.work_s = 0.8
        asking = asyncio.create_task(ask_for_a_while(platform, 0.4, "/checks/1"))
        await asyncio.sleep(0.5)
        workers[0].says_leaving = True
        workers[0].work_s = 0.0
        front = platform.fronts[0]
        while not any(one.has_said_leaving for one in workers[0].arrivals):
            await ask(platform, front, 0, "/checks/1")
        assert {one.answer.status for one in await asking} == {200}
    finally:
        await platform.stop()
