"""Meet a request that ends each target which begins it, with both programs as processes."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import aiohttp

from standins._platform import ENDS_WORKERS, Answer, Machine, Platform, Worker

PREPAID = 10_000_000
ENGINES = 6
KNOWN_AFTER_S = 3.0
"""Hosts in touch have this long to hear that three targets ended under a request, in seconds."""

MOST_SENT_AFTER = 3
"""So often may the request go to targets once all hosts know, over the whole fleet."""

FATAL = b'{"prompt": "%s"}' % ENDS_WORKERS
TOKENS = "100,24"

Ask = Callable[[Platform, Machine, bytes], Awaitable[Answer]]


async def ask_letter(platform: Platform, front: Machine, body: bytes) -> Answer:
    """Ask for a letter; an answer that is cut or refused is an answer too."""
    try:
        return await platform.ask(front, "/letters/1", body, X_Token_Counts=TOKENS)
    except (aiohttp.ClientError, TimeoutError):
        return Answer(0, {}, b"", False)


async def repeat(platform: Platform, body: bytes, seconds: float, gap_s: float) -> list[Answer]:
    """Send the same again and again, to one host after the other."""
    asked = []
    until, turn = time.monotonic() + seconds, 0
    while time.monotonic() < until:
        turn += 1
        front = platform.fronts[turn % len(platform.fronts)]
        asked.append(asyncio.create_task(ask_letter(platform, front, body)))
        await asyncio.sleep(gap_s)
    return list(await asyncio.gather(*asked))


async def start_engines(platform: Platform) -> Sequence[Worker]:
    await platform.start()
    await platform.publish(1, PREPAID)
    engines = [Worker(f"i-engine-{n}", "engines", is_engine=True) for n in range(ENGINES)]
    for engine in engines:
        await platform.add_worker(engine)
    await platform.until_ready()
    for front in platform.fronts:
        await platform.until_answered(front, "/letters/1", X_Token_Counts=TOKENS)
    return engines


def sent_after_known(engines: Sequence[Worker]) -> int:
    """Return how often the request reached a target once all hosts should know."""
    ends = sorted(at for engine in engines for at in engine.ends)
    assert len(ends) >= 3, "the story needs a request that ends targets"
    begun = [at for engine in engines for at in engine.begun_fatal]
    return sum(at > ends[2] + KNOWN_AFTER_S for at in begun)


async def test_a_request_that_ends_its_targets_is_kept_from_the_others(tmp_path: Path) -> None:
    """Letters fail all over the office while one draft takes target after target down.

    A request ends each target that begins it. It comes again every 0.2 s, at one host after the
    other, for 8 s; each target is back after a second. The others' letters are cut with the
    targets. Cause: each arrival, and each host, begins with no knowledge of those before.
    """
    platform = Platform(tmp_path, fronts=3)
    try:
        engines = await start_engines(platform)
        await repeat(platform, FATAL, seconds=8.0, gap_s=0.2)
        assert sent_after_known(engines) <= MOST_SENT_AFTER
    finally:
        await platform.stop()
