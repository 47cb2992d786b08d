"""Meet a request that ends each target which begins it, with both programs as processes."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import aiohttp

from standins._platform import ENDS_WORKERS, Answer, Machine, Platform, Worker, route

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


async def test_a_suspect_request_that_comes_to_all_hosts_ends_few_targets(tmp_path: Path) -> None:
    """A request that had ended three targets came back long after, and each host sent it once."""
    platform = Platform(tmp_path, fronts=6)
    try:
        engines = await start_engines(platform)
        letters = route("letters", "stream", "engines", attempts=1, resumable=True)
        await platform.publish(2, PREPAID, [letters])
        await asyncio.sleep(1.0)
        for front in platform.fronts[:3]:
            await ask_letter(platform, front, FATAL)
            await asyncio.sleep(0.5)
        assert sum(len(engine.ends) for engine in engines) == 3
        await asyncio.sleep(KNOWN_AFTER_S + 0.5)
        await repeat(platform, FATAL, seconds=1.5, gap_s=0.05)
        assert sent_after_known(engines) <= MOST_SENT_AFTER
    finally:
        await platform.stop()


async def test_a_host_that_starts_anew_knows_what_the_others_found_out(tmp_path: Path) -> None:
    """A host is killed after the request was found out, and is back with an empty memory.

    It asks the others as it starts: the request reaches no target through it.
    """
    platform = Platform(tmp_path, fronts=3)
    try:
        engines = await start_engines(platform)
        await repeat(platform, FATAL, seconds=4.0, gap_s=0.1)
        begun = sum(len(engine.begun_fatal) for engine in engines)
        lost = platform.fronts[0]
        await platform.kill(lost)
        await platform.start_machine(lost)
        await platform.until_answered(lost, "/letters/1", X_Token_Counts=TOKENS)
        answer = await ask_letter(platform, lost, FATAL)
        assert (answer.status, b"quarantined" in answer.body) == (503, True)
        assert sum(len(engine.begun_fatal) for engine in engines) == begun
    finally:
        await platform.stop()


async def test_other_letters_are_written_while_such_requests_come(tmp_path: Path) -> None:
    """Three such requests come to all hosts at once, while letters of others are asked for.

    The others' letters are whole again soon after, though their caller and path are the same: only
    their bodies differ.
    """
    platform = Platform(tmp_path, fronts=3)
    try:
        await start_engines(platform)
        bodies = [FATAL + b"%d" % number for number in range(3)]
        await asyncio.gather(
            *(repeat(platform, body, seconds=5.0, gap_s=0.3) for body in bodies),
        )
        letters = [
            await ask_letter(platform, platform.fronts[number % 3], b'{"letter": %d}' % number)
            for number in range(60)
        ]
        assert [one.status for one in letters] == [200] * 60
        assert all(one.is_whole for one in letters)
        answers = [await ask_letter(platform, platform.fronts[0], body) for body in bodies]
        assert [one.status for one in answers] == [503] * 3
    finally:
        await platform.stop()
