"""Play requests that end targets against the real quarantine of many hosts, in virtual time.

There is no network: targets are entries of a table, and what hosts tell each other arrives after a
delay. Everything that decides is the product's own.
"""

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Any, NamedTuple

from cranberrywall.hosts import Item
from cranberrywall.quarantine import (
    Fingerprint,
    Quarantine,
    Run,
    RunEnd,
    RunTracker,
    Traits,
    fingerprint_of,
    traits_of,
)
from cranberrywall.targets import Announcement, make_targets

FIRST_PORT = 1000
BACK_AFTER_S = (1.5, 4.0)
CRASHES_AFTER_S = (0.01, 0.3)
REPEATED_AFTER_S = 0.4
PIECE_S = 0.25
RARE_PARTS = 20


class FatalSchedule(NamedTuple):
    """Describe one schedule.

    ``fatal`` requests come ``fatal_per_s`` each; one that ``hides`` ends its target before the head
    of its answer. Innocent ones come ``innocent_per_s`` in all, and last ``longest_s`` at most.
    Every ``crash_every_s`` a share of the targets ends by itself, all together. ``garbled`` is the
    share of answers that targets break off and live on. Hosts without ``has_quarantine`` report
    nothing to each other and refuse nothing.

    Each of ``fatal_parts`` ends targets in requests of which no two are alike, which come
    ``fatal_per_s``, and once more 0.4 s later; it stands at ``fatal_part_place`` among
    ``companions`` other parts. Innocent requests hold these companions too. Those that also hold a
    part that few others hold come ``rare_per_s``.
    """

    seed: int = 0
    hosts: int = 7
    targets: int = 18
    seconds: float = 40.0
    fatal: int = 1
    fatal_per_s: float = 1.5
    hides: bool = False
    innocent_per_s: float = 40.0
    longest_s: float = 4.0
    caller_retries: int = 1
    attempts: int = 2
    crash_every_s: float = 0.0
    crash_share: float = 0.0
    garbled: float = 0.0
    delay_s: float = 0.03
    has_quarantine: bool = True
    fatal_parts: int = 0
    fatal_part_place: int = 1
    at_all_hosts: bool = False
    workspaces: int = 1
    companions: int = 2
    rare_per_s: float = 0.0


class _Request(NamedTuple):
    """One request; ``cause`` names what ends each target that begins it, if anything does."""

    name: str
    traits: Traits
    lasts_s: float
    cause: str = ""


class FatalOutcome(NamedTuple):
    """Count what a schedule did.

    ``sent_late`` is the most often that one cause went to targets later than 3 s after a number of
    targets had ended under it, three under a request and five under a part; ``known_s`` is the
    longest time from then to the last one that was sent.
    """

    innocent: int
    innocent_served: int
    innocent_held: int
    fatal_ended: int
    ended_each: float
    sent_late: int
    known_s: float
    items: int
    item_bytes: int
    most_in_flight: int


class _Clock:
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class _Target:
    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = port
        self.starts = 1
        self.is_up = True
        self.ended = asyncio.Event()
        self.in_flight = 0

    @property
    def id(self) -> str:
        return f"{self.name}-{self.starts}"


class _Network:
    """Refuse connections to targets that are down."""

    def __init__(self, target_by_address: dict[str, _Target]) -> None:
        self._target_by_address = target_by_address

    async def dial(self, address: str, timeout: float) -> Any:
        await asyncio.sleep(0.002)
        if not self._target_by_address[address].is_up:
            raise ConnectionRefusedError(111, "refused")
        return None, _Closing()


class _Closing:
    def close(self) -> None:
        """Close nothing."""


class _Spread:
    """Pass items on to all other hosts, a little later."""

    def __init__(self, delay_s: float, random: Random) -> None:
        self.peers: list[_Spread] = []
        self.published = 0
        self.published_bytes = 0
        self._delay_s = delay_s
        self._random = random
        self._item_by_key: dict[tuple[str, str], Item] = {}
        self._receiver_by_topic: dict[str, Any] = {}

    def subscribe(self, topic: str, receive: Any) -> None:
        self._receiver_by_topic[topic] = receive

    def publish(self, item: Item) -> None:
        self.published += 1
        self.published_bytes += len(item.topic) + len(item.key) + len(item.payload)
        self._take(item)
        loop = asyncio.get_running_loop()
        for peer in self.peers:
            if peer is not self:
                loop.call_later(self._delay_s * self._random.uniform(0.3, 2.0), peer._take, item)

    def items(self, topic: str) -> Sequence[Item]:
        return [item for item in self._item_by_key.values() if item.topic == topic]

    def _take(self, item: Item) -> None:
        held = self._item_by_key.get((item.topic, item.key))
        if held is None or item.version > held.version:
            self._item_by_key[(item.topic, item.key)] = item
            self._receiver_by_topic[item.topic](item)


class _Host:
    def __init__(self, name: str, fleet: "FatalFleet", spread: _Spread) -> None:
        clock = _Clock()
        network: Any = _Network(fleet.target_by_address)
        self.spread = spread
        self.targets = make_targets()
        self.tracker = RunTracker(self.targets, network, clock)
        self.quarantine = Quarantine(name, self.tracker, spread, clock)


class FatalFleet:
    """Hold hosts, targets and callers of one schedule."""

    def __init__(self, schedule: FatalSchedule) -> None:
        self.schedule = schedule
        self.random = Random(schedule.seed)
        self.targets = [_Target(f"t{n}", FIRST_PORT + n) for n in range(schedule.targets)]
        self.target_by_address = {f"10.0.0.1:{one.port}": one for one in self.targets}
        self.hosts: list[_Host] = []
        self.ends_by_cause: dict[str, list[float]] = {}
        self.begun_by_cause: dict[str, list[float]] = {}
        self.innocent = self.innocent_served = self.innocent_held = 0
        self.most_in_flight = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    async def play(self) -> FatalOutcome:
        """Play the schedule to its end."""
        schedule = self.schedule
        spreads = [_Spread(schedule.delay_s, self.random) for _ in range(schedule.hosts)]
        for number, spread in enumerate(spreads):
            spread.peers = spreads
            self.hosts.append(_Host(f"entry-{number}", self, spread))
        for target in self.targets:
            self._announce(target)
        callers = [self._innocent_callers()]
        callers += [self._fatal_caller(f"fatal-{number}") for number in range(schedule.fatal)]
        callers += [self._fatal_prompts(f"part-{number}") for number in range(schedule.fatal_parts)]
        if schedule.fatal_parts or schedule.rare_per_s:
            callers.append(self._rare_callers())
        if schedule.crash_every_s:
            callers.append(self._crashes())
        await asyncio.gather(*callers)
        await asyncio.gather(*self._tasks)
        for host in self.hosts:
            host.quarantine.close()
        return self._outcome()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _announce(self, target: _Target) -> None:
        url = f"http://10.0.0.1:{target.port}"
        news = Announcement(target.id, 1, 1, "engine", "m", "p", url, 64)
        now = asyncio.get_running_loop().time()
        for host in self.hosts:
            host.targets.apply(news, now)

    async def _innocent_callers(self) -> None:
        number = 0
        while asyncio.get_running_loop().time() < self.schedule.seconds:
            await asyncio.sleep(self.random.expovariate(self.schedule.innocent_per_s))
            number += 1
            self._spawn(self._call_innocent(f"innocent-{number}", []))

    async def _rare_callers(self) -> None:
        """Send innocent requests with a part that few others hold, some of them at once."""
        number = 0
        while asyncio.get_running_loop().time() < self.schedule.seconds:
            await asyncio.sleep(self.random.expovariate(self.schedule.rare_per_s))
            number += 1
            rare = f"rare-{self.random.randrange(RARE_PARTS)}"
            for turn in range(self.random.choice((1, 1, 4))):
                self._spawn(self._call_innocent(f"rare-{number}-{turn}", [rare]))

    def _traits(self, parts: Sequence[str]) -> Traits:
        companions = [f"shared-{number}" for number in range(self.schedule.companions)]
        place = self.schedule.fatal_part_place
        workspace = f"w-{self.random.randrange(self.schedule.workspaces)}"
        return traits_of([*companions[:place], *parts, *companions[place:]], workspace, "letters")

    async def _call_innocent(self, name: str, parts: Sequence[str]) -> None:
        self.innocent += 1
        lasts_s = self.random.uniform(0.05, self.schedule.longest_s)
        request = _Request(name, self._traits(parts), lasts_s)
        for _ in range(1 + self.schedule.caller_retries):
            served = await self._arrive(request)
            if served:
                self.innocent_served += 1
                return
            if served is None:
                self.innocent_held += 1
                return
            await asyncio.sleep(self.random.uniform(0.0, 0.5))

    async def _fatal_caller(self, name: str) -> None:
        await asyncio.sleep(self.random.uniform(0.0, self.schedule.seconds / 4))
        while asyncio.get_running_loop().time() < self.schedule.seconds:
            self._spawn(self._arrive(_Request(name, self._traits([]), 1.0, name)))
            await asyncio.sleep(self.random.expovariate(self.schedule.fatal_per_s))

    async def _fatal_prompts(self, part: str) -> None:
        """Send requests with a part that ends targets, no two alike."""
        await asyncio.sleep(self.random.uniform(0.0, self.schedule.seconds / 4))
        number = 0
        while asyncio.get_running_loop().time() < self.schedule.seconds:
            number += 1
            request = _Request(f"{part}-{number}", self._traits([part]), 1.0, part)
            hosts = self.hosts if self.schedule.at_all_hosts else [self.random.choice(self.hosts)]
            for host in hosts:
                self._spawn(self._repeat(request, host))
            await asyncio.sleep(self.random.expovariate(self.schedule.fatal_per_s))

    async def _repeat(self, request: _Request, host: "_Host") -> None:
        again_at = asyncio.get_running_loop().time() + REPEATED_AFTER_S
        await self._arrive(request, host)
        await asyncio.sleep(max(0.0, again_at - asyncio.get_running_loop().time()))
        await self._arrive(request)

    async def _arrive(self, request: _Request, host: "_Host | None" = None) -> bool | None:
        """Serve one arrival at some host; ``None`` where it is refused as one that ends targets."""
        host = host or self.random.choice(self.hosts)
        fingerprint = fingerprint_of("desk", f"/{request.name}", b"")
        tried: set[str] = set()
        for _ in range(self.schedule.attempts):
            up = [one for one in self.targets if one.is_up and one.id not in tried]
            if not up:
                return False
            now = asyncio.get_running_loop().time()
            refusal = host.quarantine.check(fingerprint, now, request.traits)
            if self.schedule.has_quarantine and refusal is not None:
                return False if request.cause else None
            target = self.random.choice(up)
            tried.add(target.id)
            if await self._run(host, target, fingerprint, request):
                return True
        return False

    async def _run(
        self, host: _Host, target: _Target, fingerprint: Fingerprint, request: _Request
    ) -> bool:
        loop = asyncio.get_running_loop()
        run = host.tracker.begin("id", target.id, fingerprint, True, request.traits)
        if not self.schedule.has_quarantine:
            host.tracker.on_ended = None
        target.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, target.in_flight)
        stopped = asyncio.Event()
        run.on_stop = stopped.set
        try:
            end = await self._work(target, run, request, stopped)
        finally:
            target.in_flight -= 1
        host.tracker.finish(run, end, f"http://10.0.0.1:{target.port}", loop.time())
        return end is RunEnd.WHOLE

    async def _work(
        self, target: _Target, run: Run, request: _Request, stopped: asyncio.Event
    ) -> RunEnd:
        ended = target.ended
        if not await self._pass(self.random.expovariate(4.0), ended, stopped):
            return RunEnd.BROKEN if ended.is_set() else RunEnd.GIVEN_UP
        loop = asyncio.get_running_loop()
        if request.cause:
            self.begun_by_cause.setdefault(request.cause, []).append(loop.time())
        if not (request.cause and self.schedule.hides):
            run.answered_at = loop.time()
        left_s = self.random.uniform(*CRASHES_AFTER_S) if request.cause else request.lasts_s
        while left_s > 0.0:
            if not await self._pass(min(left_s, PIECE_S), ended, stopped):
                return RunEnd.BROKEN if ended.is_set() else RunEnd.GIVEN_UP
            left_s -= PIECE_S
            if not request.cause:
                run.progress_at = loop.time()
        if request.cause:
            self.ends_by_cause.setdefault(request.cause, []).append(loop.time())
            self._end(target)
            await asyncio.sleep(0.0)
            return RunEnd.BROKEN
        if self.random.random() < self.schedule.garbled:
            return RunEnd.BROKEN
        return RunEnd.WHOLE

    async def _pass(self, seconds: float, ended: asyncio.Event, stopped: asyncio.Event) -> bool:
        """Wait; return whether neither the target ended nor the run was stopped."""
        waits = {asyncio.ensure_future(event.wait()) for event in (ended, stopped)}
        done, _ = await asyncio.wait(waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return not done

    def _end(self, target: _Target) -> None:
        if not target.is_up:
            return
        target.is_up = False
        target.ended.set()
        self._spawn(self._bring_back(target))

    async def _bring_back(self, target: _Target) -> None:
        await asyncio.sleep(self.random.uniform(*BACK_AFTER_S))
        target.starts += 1
        target.ended = asyncio.Event()
        target.is_up = True
        self._announce(target)

    async def _crashes(self) -> None:
        while asyncio.get_running_loop().time() < self.schedule.seconds:
            await asyncio.sleep(self.schedule.crash_every_s)
            count = max(1, round(self.schedule.crash_share * len(self.targets)))
            for target in self.random.sample(self.targets, count):
                self._end(target)

    def _outcome(self) -> FatalOutcome:
        late, known_s = 0, 0.0
        for cause, ends in self.ends_by_cause.items():
            counted = 5 if cause.startswith("part") else 3
            if len(ends) < counted:
                continue
            shown_at = sorted(ends)[counted - 1]
            begun = self.begun_by_cause[cause]
            late = max(late, sum(at > shown_at + 3.0 for at in begun))
            known_s = max(known_s, max(0.0, max(begun) - shown_at))
        ended = sum(map(len, self.ends_by_cause.values()))
        return FatalOutcome(
            self.innocent,
            self.innocent_served,
            self.innocent_held,
            ended,
            ended / max(1, self.schedule.fatal + self.schedule.fatal_parts),
            late,
            known_s,
            sum(host.spread.published for host in self.hosts),
            sum(host.spread.published_bytes for host in self.hosts),
            self.most_in_flight,
        )


async def play(schedule: FatalSchedule) -> FatalOutcome:
    """Play one schedule on the running loop, which is to be one of virtual time."""
    return await FatalFleet(schedule).play()
