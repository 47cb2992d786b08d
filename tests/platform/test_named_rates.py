"""Meet targets that name the requests a second that they take, with both programs as processes."""

import asyncio
import bisect
import time
from collections.abc import Sequence
from pathlib import Path

import aiohttp

from standins._platform import Answer, Platform, Worker

PREPAID = 100_000_000
ENGINES = 3
RATE = 1.0
IN_TOUCH_S = 3.0
"""Hosts in touch have this long to hear what a target named, in seconds."""

WINDOW_S = 4.0
MOST_IN_WINDOW = 1.5 * WINDOW_S * RATE + 5
"""What some 4 s may bring the target, over all hosts, as its owner states it."""

LEAST_USE = 0.9
"""Share of what a target names that reaches it over 20 s where callers ask for more."""

ASKED_EVERY_S = 0.05
ASKED_FOR_S = 14.0
TOKENS = "100,24"


async def ask(platform: Platform, number: int) -> Answer:
    """Ask one host for a letter; a refusal is an answer too."""
    front = platform.fronts[number % len(platform.fronts)]
    body = b'{"letter": %d}' % number
    name = f"letter-{number}"
    try:
        return await platform.ask(
            front, "/letters/1", body, X_Token_Counts=TOKENS, X_Request_Id=name
        )
    except (aiohttp.ClientError, TimeoutError):
        return Answer(0, {}, b"", False)


async def ask_for_a_while(platform: Platform, seconds: float) -> list[Answer]:
    """Ask one host after the other for letters, twenty a second in all; see ``ask``."""
    asked: list[asyncio.Task[Answer]] = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        asked.append(asyncio.create_task(ask(platform, len(asked))))
        await asyncio.sleep(ASKED_EVERY_S)
    return list(await asyncio.gather(*asked))


async def start_engines(platform: Platform, engines: int = ENGINES) -> list[Worker]:
    await platform.start()
    await platform.publish(1, PREPAID)
    started = [Worker(f"i-engine-{n}", "engines", is_engine=True) for n in range(engines)]
    for engine in started:
        await platform.add_worker(engine)
    await platform.until_ready()
    for front in platform.fronts:
        await platform.until_answered(front, "/letters/1", X_Token_Counts=TOKENS)
    return started


def most_in_window(arrived_at: Sequence[float], since: float) -> int:
    """Return the most arrivals in any window that begins after ``since``."""
    later = [at for at in arrived_at if at > since]
    return max((bisect.bisect(later, at + WINDOW_S) - n for n, at in enumerate(later)), default=0)


async def test_a_target_in_need_gets_no_more_than_it_names(tmp_path: Path) -> None:
    """Letters crowd at an engine that asked for fewer, and it fails under them.

    One of three engines is in need: each of its answers names one request a second, from all hosts
    together. Three hosts have letters for twenty a second, and go on sending it its third. Cause:
    no host takes in what the answer says, and nothing counts what all hosts send to a target.
    Proved by `target_rate_named` in each host's log, beside arrivals that don't fall.
    """
    platform = Platform(tmp_path, fronts=3)
    try:
        engines = await start_engines(platform)
        in_need = engines[0]
        in_need.limit = f"{RATE:g}"
        named_at = time.monotonic()
        answers = await ask_for_a_while(platform, ASKED_FOR_S)
        assert most_in_window(in_need.arrived_at, named_at + IN_TOUCH_S) <= MOST_IN_WINDOW
        assert {answer.status for answer in answers} == {200}
        in_need.limit = None
    finally:
        await platform.stop()


async def test_hosts_that_are_killed_and_frozen_take_nothing_of_the_rate_with_them(
    tmp_path: Path,
) -> None:
    """The only engine takes two letters a second. Hosts are lost in series, one by one.

    One is frozen for three seconds, one is killed and comes back, whichever of them gave the
    permits. The engine is asked for no more than it takes, and for most of that. A window may hold
    letters of the host that wakes, which does not know yet that another gave permits meanwhile.
    """
    platform = Platform(tmp_path, fronts=4)
    try:
        await start_engines(platform, engines=1)
        engine = platform.workers[0]
        engine.limit = "2"
        asking = asyncio.create_task(ask_for_a_while(platform, 20.0))
        named_at = time.monotonic()
        await asyncio.sleep(4.0)
        platform.freeze(platform.fronts[0])
        await asyncio.sleep(3.0)
        platform.thaw(platform.fronts[0])
        await asyncio.sleep(2.0)
        await platform.kill(platform.fronts[1])
        await platform.start_machine(platform.fronts[1])
        await asyncio.sleep(3.0)
        platform.freeze(platform.fronts[2])
        await asyncio.sleep(3.0)
        platform.thaw(platform.fronts[2])
        await asking
        assert most_in_window(engine.arrived_at, named_at + IN_TOUCH_S) <= WINDOW_S * 2.0 * 1.5 + 5
        arrived = sum(named_at < at < named_at + 20.0 for at in engine.arrived_at)
        assert arrived >= LEAST_USE * 2.0 * 20.0
    finally:
        await platform.stop()


async def test_all_targets_in_need_get_no_more_than_they_name(tmp_path: Path) -> None:
    """All engines of a service are in need: what they can't take is refused at once, and truly."""
    platform = Platform(tmp_path, fronts=3)
    try:
        engines = await start_engines(platform)
        for engine in engines:
            engine.limit = f"{RATE:g}"
        named_at = time.monotonic()
        answers = await ask_for_a_while(platform, ASKED_FOR_S)
        for engine in engines:
            assert most_in_window(engine.arrived_at, named_at + IN_TOUCH_S) <= MOST_IN_WINDOW
        assert {answer.status for answer in answers} <= {200, 503}
        assert all("Retry-After" in one.headers for one in answers if one.status == 503)
        ran = {request for engine in engines for request in engine.ran}
        refused = {f"letter-{number}" for number, one in enumerate(answers) if one.status == 503}
        assert refused
        assert not ran & refused
    finally:
        await platform.stop()
