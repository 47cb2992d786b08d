"""Measure how many streams go on after all entry hosts lost power, and whether versions mix.

    python -m measurements.resumed_streams [--play NAME]... [--seeds N]

The real programs run as processes on loopback: 3 control hosts, 4 entry hosts and 6 targets, three
of each of two versions. Callers begin streams of 1.4 s all the time. One whose stream breaks off
takes it up again at an entry host drawn by chance, until it is whole.
"""

import asyncio
import contextlib
import json
import random
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import aiohttp
import click
from aiohttp import web

from measurements._figures import report_figures
from standins._platform import Answer, Machine, Platform, Worker

FRONTS = 4
WORKERS = 6
VERSIONS = ("v1", "v2")
EVENTS = 14
EVENT_S = 0.1
TOKENS = "100,24"
PREPAID = 10_000_000
BEGIN_INTERVAL_S = 0.06
RETRY_S = 0.2
GIVE_UP_S = 12.0
LEAVES_BEFORE_S = 0.3
DARK_S = 0.2
AWAY_S = 20.0
FIRST_KILL_S = 4.0
AFTER_S = 10.0
JUST_BEGUN = 20
JUST_BEGUN_S = 0.03
REACHED_S = 0.02
"""Time from a caller to a target and back, in seconds."""
MESSAGE_LENGTH = 80
CUT = Answer(0, {}, b"", False)


class VersionedWorker(Worker):
    """Write the worker's version into each event."""

    async def _stream(self, request: web.Request, headers: dict[str, str]) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        with contextlib.suppress(ConnectionResetError):
            await response.prepare(request)
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                await response.write(f"id: {number}\ndata: {self.version}\n\n".encode())
        return response


class Stream:
    """One caller's stream over all of its tries; times are monotonic seconds."""

    def __init__(self, request_id: str, began_at: float) -> None:
        self.request_id = request_id
        self.began_at = began_at
        self.events: list[int] = []
        self.versions: set[str] = set()
        self.origin_id = ""
        self.broke_at = 0.0
        self.went_on_at = 0.0
        self.tries: list[Try] = []
        self.is_whole = False

    def add(self, answer: Answer, request_id: str) -> bool:
        """Add the complete events of an answer, and return whether there were any."""
        complete, _, _ = answer.body.rpartition(b"\n\n")
        blocks = [block for block in complete.decode().split("\n\n") if block.startswith("id: ")]
        for block in blocks:
            number, version = block.split("\n")
            self.events.append(int(number.removeprefix("id: ")))
            self.versions.add(version.removeprefix("data: "))
        if blocks and not self.origin_id:
            self.origin_id = request_id
        self.is_whole = answer.is_whole and len(self.events) >= EVENTS
        return bool(blocks)


class Try(NamedTuple):
    """One answer of a host to a caller; ``at`` is in monotonic seconds."""

    at: float
    is_take_up: bool
    has_events: bool
    reason: str


class Outcome(NamedTuple):
    """What one play gave.

    ``broken``, ``stayed``, ``gone_on`` and ``whole`` count streams that broke off: all, those of a
    version whose targets stayed, those that went on, and those that ended whole. The rest counts
    tries that hosts answered while streams were taken up, and of new streams those at that time.
    """

    play: str
    seed: int
    mixed: int
    disordered: int
    broken: int
    stayed: int
    gone_on: int
    gone_on_stayed: int
    whole: int
    slowest_s: float
    take_ups: int
    take_ups_served: int
    new: int
    new_served: int
    refused: dict[str, int]

    @property
    def gone_on_share(self) -> float:
        """Return the share of the streams that could go on that did."""
        return self.gone_on_stayed / self.stayed if self.stayed else 1.0


class Callers:
    """Begin streams all the time, and take up those that broke off."""

    def __init__(self, platform: Platform, seed: int, waits: bool) -> None:
        self.streams: list[Stream] = []
        self.away: set[str] = set()
        self._platform = platform
        self._random = random.Random(seed)
        self._waits = waits
        self._tasks: set[asyncio.Task[None]] = set()
        self._ids = 0

    async def run(self, seconds: float) -> None:
        """Begin streams for so long, and wait until each has ended or was given up."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.begin()
            await asyncio.sleep(BEGIN_INTERVAL_S)
        await asyncio.gather(*self._tasks)

    def begin(self, delay_s: float = 0.0) -> None:
        """Begin one more stream after a delay."""
        stream = Stream(self._next_id(), time.monotonic() + delay_s)
        self.streams.append(stream)
        task = asyncio.create_task(self._call(stream, delay_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, stream: Stream, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        request_id = stream.request_id
        until = time.monotonic() + GIVE_UP_S
        while not stream.is_whole and time.monotonic() < until:
            headers = {"X_Token_Counts": TOKENS, "X_Request_Id": request_id}
            is_take_up = bool(stream.events)
            if is_take_up:
                headers["Resumes"] = stream.origin_id
                headers["Last_Event_Id"] = str(stream.events[-1])
            answer = await self._ask(headers)
            has_events = stream.add(answer, request_id)
            now = time.monotonic()
            if is_take_up and has_events and not stream.went_on_at:
                stream.went_on_at = now
            if stream.events and not stream.broke_at and not stream.is_whole:
                stream.broke_at = now
                until = now + GIVE_UP_S
            if answer.status:
                stream.tries.append(Try(now, is_take_up, has_events, _reason(answer, is_take_up)))
            request_id = self._next_id()
            asked_s = float(answer.headers.get("Retry-After", "0")) if self._waits else 0.0
            await asyncio.sleep(max(RETRY_S, asked_s))

    async def _ask(self, headers: dict[str, str]) -> Answer:
        fronts = [one for one in self._platform.fronts if one.name not in self.away]
        try:
            return await self._platform.ask(
                self._random.choice(fronts), "/letters/1", b"{}", **headers
            )
        except (aiohttp.ClientError, TimeoutError):
            return CUT

    def _next_id(self) -> str:
        self._ids += 1
        return f"attempt-{self._ids}"


def _reason(answer: Answer, is_take_up: bool) -> str:
    """Return what an answer without events was, to count alike ones together."""
    what = "take-up" if is_take_up else "new"
    try:
        message = json.loads(answer.body)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        message = ""
    return f"{what} {answer.status} {message[:MESSAGE_LENGTH]}"


class Scene(NamedTuple):
    """The parts of one play."""

    platform: Platform
    callers: Callers
    workers: Sequence[Worker]


async def lose_all(scene: Scene, *cores: Machine) -> None:
    """Let all entry hosts, and some control hosts, lose power at the same moment."""
    await scene.platform.lose_power([*scene.platform.fronts, *cores], DARK_S)


async def lose_at_gaps(scene: Scene, *gaps_s: float) -> None:
    """Let all entry hosts lose power once, and again after each gap."""
    await lose_all(scene)
    for gap_s in gaps_s:
        await asyncio.sleep(gap_s)
        await lose_all(scene)


async def lose_with_core(scene: Scene, number: int) -> None:
    """Let a control host lose power with all entry hosts."""
    await lose_all(scene, scene.platform.cores[number])


async def lose_with_third_away(scene: Scene) -> None:
    """Let one of the entry hosts stay away for longer than the others."""
    platform = scene.platform
    *others, late = platform.fronts
    scene.callers.away.add(late.name)
    await platform.kill(late)
    await platform.lose_power(others, DARK_S)
    await asyncio.sleep(AWAY_S)
    await platform.start_machine(late)
    await platform.until_ready()
    scene.callers.away.discard(late.name)


async def lose_after_version_left(scene: Scene) -> None:
    """Let one version's targets leave just before all entry hosts lose power."""
    leaving = [worker for worker in scene.workers if worker.version == VERSIONS[0]]
    await asyncio.gather(*(scene.platform.withdraw_worker(worker) for worker in leaving))
    await asyncio.sleep(LEAVES_BEFORE_S)
    await lose_all(scene)


async def lose_just_begun(scene: Scene) -> None:
    """Let all entry hosts lose power as the first events of many streams arrive."""
    for number in range(JUST_BEGUN):
        scene.callers.begin(delay_s=number * JUST_BEGUN_S / JUST_BEGUN)
    await asyncio.sleep(JUST_BEGUN_S + EVENT_S + REACHED_S)
    await lose_all(scene)


async def stop_in_turn(scene: Scene) -> None:
    """Restart one entry host after another."""
    for front in scene.platform.fronts:
        await scene.platform.terminate(front)
        await scene.platform.start_machine(front)
        await scene.platform.until_ready()


PLAYS: dict[str, tuple[Callable[[Scene], Awaitable[None]], float, bool]] = {
    "once": (lose_at_gaps, 0.0, False),
    "once_callers_wait": (lose_at_gaps, 0.0, True),
    "twice_0.2": (lambda scene: lose_at_gaps(scene, 0.2), 0.2, False),
    "twice_1": (lambda scene: lose_at_gaps(scene, 1.0), 1.0, False),
    "twice_3": (lambda scene: lose_at_gaps(scene, 3.0), 3.0, False),
    "three_0.5": (lambda scene: lose_at_gaps(scene, 0.5, 0.5), 1.0, False),
    "three_2": (lambda scene: lose_at_gaps(scene, 2.0, 2.0), 4.0, False),
    "core_1": (lambda scene: lose_with_core(scene, 0), 0.0, False),
    "core_2": (lambda scene: lose_with_core(scene, 1), 0.0, False),
    "core_3": (lambda scene: lose_with_core(scene, 2), 0.0, False),
    "third_away": (lose_with_third_away, AWAY_S, False),
    "version_left": (lose_after_version_left, 0.3, False),
    "just_begun": (lose_just_begun, 0.2, False),
    "stop_in_turn": (stop_in_turn, 8.0, False),
}


async def play(name: str, seed: int, folder: Path) -> Outcome:
    """Play one day, and count what became of the streams."""
    disturb, lasts_s, waits = PLAYS[name]
    platform = Platform(folder, fronts=FRONTS)
    try:
        await platform.start()
        await platform.publish(1, PREPAID)
        workers = [
            VersionedWorker(f"i-engine-{number}", "engines", is_engine=True, event_s=EVENT_S)
            for number in range(WORKERS)
        ]
        for number, worker in enumerate(workers):
            worker.events = EVENTS
            worker.version = VERSIONS[number % 2]
            await platform.add_worker(worker)
        await platform.until_ready()
        for front in platform.fronts:
            await platform.until_answered(front, "/letters/1", X_Token_Counts=TOKENS)
        callers = Callers(platform, seed, waits)
        asking = asyncio.create_task(callers.run(FIRST_KILL_S + lasts_s + AFTER_S))
        await asyncio.sleep(FIRST_KILL_S + random.Random(seed).uniform(0.0, 1.0))
        await disturb(Scene(platform, callers, workers))
        await asking
        left = {VERSIONS[0]} if name == "version_left" else set()
        return _count(name, seed, callers.streams, left)
    finally:
        await platform.stop()


def _count(name: str, seed: int, streams: Sequence[Stream], left: set[str]) -> Outcome:
    broken = [one for one in streams if one.broke_at]
    went_on = [one for one in broken if one.went_on_at]
    stayed = [one for one in broken if not one.versions & left]
    first = min((one.broke_at for one in broken), default=0.0)
    last = max((one.went_on_at or one.broke_at + RETRY_S for one in broken), default=0.0)
    tries = [one for stream in streams for one in stream.tries if first <= one.at <= last]
    take_ups = [one for one in tries if one.is_take_up]
    new = [one for one in tries if not one.is_take_up]
    return Outcome(
        play=name,
        seed=seed,
        mixed=sum(len(one.versions) > 1 for one in streams),
        disordered=sum(one.events != list(range(1, len(one.events) + 1)) for one in streams),
        broken=len(broken),
        stayed=len(stayed),
        gone_on=len(went_on),
        gone_on_stayed=sum(bool(one.went_on_at) for one in stayed),
        whole=sum(one.is_whole for one in broken),
        slowest_s=round(max((one.went_on_at - one.broke_at for one in went_on), default=0.0), 2),
        take_ups=len(take_ups),
        take_ups_served=sum(one.has_events for one in take_ups),
        new=len(new),
        new_served=sum(one.has_events for one in new),
        refused=dict(Counter(one.reason for one in tries if not one.has_events)),
    )


@click.command()
@click.option("--play", "names", multiple=True, type=click.Choice(list(PLAYS)))
@click.option("--seeds", default=1)
@click.option("--logs", type=click.Path(path_type=Path), help="Folder in which logs stay.")
def main(names: Sequence[str], seeds: int, logs: Path | None) -> None:
    """Print what became of the streams of each play."""
    outcomes: list[Outcome] = []
    for name in names or list(PLAYS):
        for seed in range(seeds):
            with tempfile.TemporaryDirectory() as temporary:
                folder = logs / f"{name}-{seed}" if logs is not None else Path(temporary)
                folder.mkdir(parents=True, exist_ok=True)
                outcome = asyncio.run(play(name, seed, folder))
            outcomes.append(outcome)
            print(outcome, flush=True)
    report_figures(
        "resumed_streams",
        {
            "plays": len(outcomes),
            "mixed": sum(one.mixed for one in outcomes),
            "disordered": sum(one.disordered for one in outcomes),
            "broken": sum(one.broken for one in outcomes),
            "gone_on": sum(one.gone_on for one in outcomes),
            "least_gone_on_share": min(one.gone_on_share for one in outcomes),
        },
    )


if __name__ == "__main__":
    main()
