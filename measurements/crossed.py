"""Send chat completions to engines that cross, cut, double and delay their replies.

Callers of two workspaces use the same request ids for other prompts, and check each answer
word for word. One engine after another crosses replies, cuts streams, answers late or dies,
and entry hosts get SIGKILL while they stream; callers then retry elsewhere.

- ``wrong_owner``: answers with the text of another request
- ``partial_as_whole``: streams with an end mark, and objects, that were not whole
- ``recovered``: whole answers of requests that met a fault, at the host or at the engine
- ``explicit``: streams that ended in an explicit error, retried by the caller
- ``ran_again``: executions beyond one for each request, the price of the recoveries
"""

import asyncio
import json
import random
import signal
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import click
import uvloop

from cranberrywall.demo import FleetSize
from measurements._figures import report_figures
from measurements._live_fleet import (
    LOST,
    OTHER_WORKSPACE,
    WORKSPACE,
    LiveFleet,
    Reply,
    other_host,
)
from standins import EngineOptions, Faults, answer_words

NET = 22
SIZE = FleetSize(controls=3, entries=4, consoles=0)
FAULTS = (
    Faults(cut=0.2, crossed=0.1),
    Faults(crossed=0.2, refuses=0.1),
    Faults(cut=0.1, late=0.2, late_s=0.2),
)
TRIES = 40
PAUSE_S = 0.2
DONE = b"data: [DONE]\n\n"


class Ending(NamedTuple):
    """Say how one request ended, and how many errors its caller met on the way."""

    whole: bool
    wrong_owner: bool
    partial_as_whole: bool
    explicit: Counter[str]
    lost: int


@click.command()
@click.option("--answers", default=800, help="How many answers to ask for.")
@click.option("--callers", default=24, help="How many callers ask, side by side.")
@click.option("--seed", default=1, help="Seed of the callers' choices.")
def main(answers: int, callers: int, seed: int) -> None:
    """Count answers that were another's, or less than whole."""
    with tempfile.TemporaryDirectory(prefix="crossed-") as folder:
        uvloop.run(_measure(Path(folder), answers, callers, seed))


async def _measure(folder: Path, answers: int, callers: int, seed: int) -> None:
    fleet = LiveFleet(folder / "fleet", SIZE, NET)
    model = fleet.deployment.model
    version = fleet.deployment.document["models"][model]["version"]
    options = [
        EngineOptions(f"{model}-{number}", model, versions=(version,), seed=number, faults=faults)
        for number, faults in enumerate(FAULTS, start=1)
    ]
    killing = None
    try:
        await fleet.start(options, [])
        killing = asyncio.create_task(fleet.kill_in_turn(fleet.entries, 0.7, [signal.SIGKILL]))
        endings = await _ask_all(fleet, answers, callers, seed)
        killing.cancel()
        await asyncio.gather(killing, return_exceptions=True)
        _report(fleet, endings)
    finally:
        if killing is not None:
            killing.cancel()
        await fleet.stop()


async def _ask_all(fleet: LiveFleet, answers: int, callers: int, seed: int) -> list[Ending]:
    asks = iter([(n // 2, (WORKSPACE, OTHER_WORKSPACE)[n % 2]) for n in range(answers)])
    endings: list[Ending] = []

    async def work() -> None:
        for number, workspace in asks:
            chance = random.Random(f"{workspace}{number}")
            endings.append(await _ask(fleet, workspace, f"letter-{seed}-{number}", chance))

    await asyncio.gather(*(work() for _ in range(callers)))
    return endings


async def _ask(fleet: LiveFleet, workspace: str, request_id: str, chance: random.Random) -> Ending:
    stream = chance.random() < 0.7
    text = f"Draft {request_id} for {workspace}."
    messages: list[Any] = [{"role": "user", "content": text}]
    body = {"model": fleet.deployment.model, "messages": messages, "stream": stream}
    expected = " ".join(answer_words(messages))
    host = chance.choice(fleet.entries)
    explicit: Counter[str] = Counter()
    lost = 0
    for _ in range(TRIES):
        reply = await fleet.call(host, "/v1/chat/completions", request_id, body, workspace)
        if _is_whole(reply, stream):
            text = _text(reply, stream)
            wrong = text != expected and not expected.startswith(text)
            return Ending(text == expected, wrong, text != expected, explicit, lost)
        explicit[_code(reply)] += reply != LOST
        lost += reply == LOST
        await asyncio.sleep(PAUSE_S)
        host = other_host(fleet.entries, host, chance)
    return Ending(False, False, False, explicit, lost)


def _is_whole(reply: Reply, stream: bool) -> bool:
    return reply.status == 200 and (not stream or reply.body.endswith(DONE))


def _code(reply: Reply) -> str:
    if reply.code:
        return reply.code
    last = reply.body.rstrip().rsplit(b"\n\n", 1)[-1].removeprefix(b"data: ")
    if not last.startswith(b'{"error"'):
        return "no_end_mark"
    return str(json.loads(last)["error"]["code"])


def _text(reply: Reply, stream: bool) -> str:
    if not stream:
        return str(json.loads(reply.body)["choices"][0]["message"]["content"])
    events = reply.body.removesuffix(DONE).split(b"\n\n")
    chunks = [json.loads(event.removeprefix(b"data: ")) for event in events if event]
    choices = (choice for chunk in chunks for choice in chunk["choices"])
    return "".join(choice["delta"].get("content", "") for choice in choices)


def _report(fleet: LiveFleet, endings: list[Ending]) -> None:
    ran = fleet.targets.ran_by_request()
    explicit = sum((ending.explicit for ending in endings), Counter[str]())
    print(f"explicit errors: {dict(explicit)}")
    met = sum(ending.explicit.total() + ending.lost > 0 for ending in endings)
    figures = {
        "answers": sum(ending.whole for ending in endings),
        "wrong_owner": sum(ending.wrong_owner for ending in endings),
        "partial_as_whole": sum(ending.partial_as_whole for ending in endings),
        "recovered": sum(
            ending.whole and ending.explicit.total() + ending.lost > 0 for ending in endings
        ),
        "met_fault": met,
        "explicit": explicit.total(),
        "unanswered": sum(not ending.whole for ending in endings),
        "ran_again": sum(count.executions for count in ran.values()) - len(endings),
    }
    report_figures("crossed", figures)


if __name__ == "__main__":
    main()
