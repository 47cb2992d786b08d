"""Play failures, and follow the operators' page from a request's id to its cause."""

import asyncio
import re
from pathlib import Path

from standins._platform import ENDS_WORKERS, KEY, Answer, Platform, Worker
from tests.commands.fleets import CtlFleet

PREPAID = 40_000
ENDS_UNTIL_HELD = 4
MAX_REPEATS = 10
FATAL = b'{"prompt": "%s"}' % ENDS_WORKERS


def explain(folder: Path, request_id: str) -> tuple[str, str]:
    """Return the sentence about a request, and the lines, by the logs of all processes."""
    files = sorted(str(path) for path in folder.glob("*.log"))
    sentence, *lines = CtlFleet().run("explain", request_id, *files).stdout.splitlines()
    return sentence, "\n".join(lines)


async def until_logged(folder: Path, request_id: str) -> None:
    """Wait until a host has written its last line of a request: lines are collected before."""
    last_line = re.compile(rf"event=request_(ended|refused) .*request={request_id} ")
    for _ in range(100):
        if any(last_line.search(path.read_text()) for path in folder.glob("*.log")):
            return
        await asyncio.sleep(0.01)
    raise AssertionError(f"1 s after its answer, the logs don't have the end of {request_id}")


async def ask(platform: Platform, number: int, request_id: str, body: bytes, tokens: str) -> Answer:
    headers = {
        "X_Request_Id": request_id,
        "X_Token_Counts": tokens,
        "Authorization": f"Bearer {KEY}",
    }
    return await platform.ask(platform.fronts[number % 2], "/letters/1", body, **headers)


async def ask_until_held(platform: Platform) -> str:
    """Repeat a request until it has ended as many targets as it takes; return the last one's id.

    A repeat that no target begins ends none: its target has just gone, and no other one is tried
    while the host's retry budget is used up.
    """
    for number in range(MAX_REPEATS):
        ended = sum(len(worker.ends) for worker in platform.workers)
        await ask(platform, number, f"fatal-{number}", FATAL, "100,24")
        await asyncio.sleep(0.4)
        if ended == ENDS_UNTIL_HELD:
            return f"fatal-{number}"
    raise AssertionError(f"{ended} targets ended in {MAX_REPEATS} requests")


async def test_three_failures_are_explained_by_their_lines(tmp_path: Path) -> None:
    """A stream is cut as its target ends; its repeats are refused; another is over the budget."""
    platform = Platform(tmp_path)
    try:
        await platform.start()
        await platform.publish(1, PREPAID)
        for number in range(6):
            await platform.add_worker(Worker(f"i-{number}", "engines", is_engine=True))
        await platform.until_ready()
        for front in platform.fronts:
            await platform.until_answered(front, "/letters/1", X_Token_Counts="100,24")
        fatal = await ask_until_held(platform)
        await ask(platform, 0, "too-large", b"{}", "39000,4000")
        await until_logged(tmp_path, "too-large")
    finally:
        await platform.stop()
    sentence, lines = explain(tmp_path, "fatal-0")
    assert "got no whole answer" in sentence
    assert "broken" in sentence
    assert "it may have run" in sentence
    assert "event=target_ended" in lines
    sentence, lines = explain(tmp_path, fatal)
    assert "quarantined" in sentence
    assert "event=quarantine_decided" in lines
    assert "state=held" in lines
    sentence, _ = explain(tmp_path, "too-large")
    assert "was refused by front" in sentence
    assert "budget_exhausted" in sentence


async def test_a_refusal_by_a_rate_is_explained_by_who_named_it(tmp_path: Path) -> None:
    """The only engine is in need and takes one request a second; most letters are refused."""
    platform = Platform(tmp_path)
    try:
        await platform.start()
        await platform.publish(1, PREPAID)
        engine = Worker("i-0", "engines", is_engine=True)
        await platform.add_worker(engine)
        await platform.until_ready()
        for front in platform.fronts:
            await platform.until_answered(front, "/letters/1", X_Token_Counts="100,24")
        engine.limit = "1"
        asked = []
        for number in range(20):
            body = b'{"letter": %d}' % number
            asked.append(asyncio.create_task(ask(platform, 1, f"l-{number}", body, "100,24")))
            await asyncio.sleep(0.05)
        answers = await asyncio.gather(*asked)
        refused = [number for number, answer in enumerate(answers) if answer.status == 503]
        await until_logged(tmp_path, f"l-{refused[-1]}")
    finally:
        await platform.stop()
    sentence, lines = explain(tmp_path, f"l-{refused[-1]}")
    assert "rate_limited: i-0 of engines are in need and take 1 requests a second" in sentence
    assert "it did not run, and 0 were charged" in sentence
    assert "event=target_rate_named" in lines
    assert "target=i-0" in lines
