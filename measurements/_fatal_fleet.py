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
    fingerprint_of,
)
from cranberrywall.targets import Announcement, make_targets

FIRST_PORT = 1000
BACK_AFTER_S = (1.5, 4.0)
CRASHES_AFTER_S = (0.01, 0.3)


class FatalSchedule(NamedTuple):
    """Describe one schedule.

    ``fatal`` requests come ``fatal_per_s`` each; one that ``hides`` ends its target before the head
    of its answer. Innocent ones come ``innocent_per_s`` in all, and last ``longest_s`` at most.
    Every ``crash_every_s`` a share of the targets ends by itself, all together. ``garbled`` is the
    share of answers that targets break off and live on. ``tells`` is False for hosts that tell each
    other nothing and refuse nothing, as before.
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
    tells: bool = True


class FatalOutcome(NamedTuple):
    """Count what a schedule did.

    ``sent_late`` is the most often that one fatal request went to targets later than 3 s after
    the third had ended under it; ``known_s`` the longest time from the third to the decision.
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
        self.ends_by_fatal: dict[Fingerprint, list[float]] = {}
        self.begun_by_fatal: dict[Fingerprint, list[float]] = {}
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
            self._spawn(self._call_innocent(f"innocent-{number}"))

    async def _call_innocent(self, name: str) -> None:
        self.innocent += 1
        lasts_s = self.random.uniform(0.05, self.schedule.longest_s)
        for _ in range(1 + self.schedule.caller_retries):
            served = await self._arrive(name, lasts_s, is_fatal=False)
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
            self._spawn(self._arrive(name, 1.0, is_fatal=True))
            await asyncio.sleep(self.random.expovariate(self.schedule.fatal_per_s))

    async def _arrive(self, name: str, lasts_s: float, is_fatal: bool) -> bool | None:
        """Serve one arrival at some host; ``None`` where it is refused as one that ends targets."""
        host = self.random.choice(self.hosts)
        fingerprint = fingerprint_of("desk", f"/{name}", b"")
        tried: set[str] = set()
        for _ in range(self.schedule.attempts):
            up = [one for one in self.targets if one.is_up and one.id not in tried]
            if not up:
                return False
            now = asyncio.get_running_loop().time()
            if self.schedule.tells and host.quarantine.check(fingerprint, now) is not None:
                return False if is_fatal else None
            target = self.random.choice(up)
            tried.add(target.id)
            if await self._run(host, target, fingerprint, lasts_s, is_fatal):
                return True
        return False

    async def _run(
        self, host: _Host, target: _Target, fingerprint: Fingerprint, lasts_s: float, fatal: bool
    ) -> bool:
        loop = asyncio.get_running_loop()
        run = host.tracker.begin("id", target.id, fingerprint, True)
        if not self.schedule.tells:
            host.tracker.on_ended = None
        target.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, target.in_flight)
        stopped = asyncio.Event()
        run.on_stop = stopped.set
        try:
            end = await self._work(target, run, lasts_s, fatal, stopped)
        finally:
            target.in_flight -= 1
        host.tracker.finish(run, end, f"http://10.0.0.1:{target.port}", loop.time())
        return end is RunEnd.WHOLE

    async def _work(
        self, target: _Target, run: Run, lasts_s: float, fatal: bool, stopped: asyncio.Event
    ) -> RunEnd:
        ended = target.ended
        if not await self._pass(self.random.expovariate(4.0), ended, stopped):
            return RunEnd.BROKEN if ended.is_set() else RunEnd.GIVEN_UP
        loop = asyncio.get_running_loop()
        if fatal:
            self.begun_by_fatal.setdefault(run.fingerprint, []).append(loop.time())
        if not (fatal and self.schedule.hides):
            run.answered_at = loop.time()
        lasts_s = self.random.uniform(*CRASHES_AFTER_S) if fatal else lasts_s
        if not await self._pass(lasts_s, ended, stopped):
            return RunEnd.BROKEN if ended.is_set() else RunEnd.GIVEN_UP
        if fatal:
            self.ends_by_fatal.setdefault(run.fingerprint, []).append(loop.time())
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
        for fingerprint, ends in self.ends_by_fatal.items():
            if len(ends) < 3:
                continue
            third = sorted(ends)[2]
            begun = self.begun_by_fatal[fingerprint]
            late = max(late, sum(at > third + 3.0 for at in begun))
            known_s = max(known_s, max(0.0, max(begun) - third))
        ended = sum(map(len, self.ends_by_fatal.values()))
        return FatalOutcome(
            self.innocent,
            self.innocent_served,
            self.innocent_held,
            ended,
            ended / max(1, self.schedule.fatal),
            late,
            known_s,
            sum(host.spread.published for host in self.hosts),
            sum(host.spread.published_bytes for host in self.hosts),
            self.most_in_flight,
        )


async def play(schedule: FatalSchedule) -> FatalOutcome:
    """Play one schedule on the running loop, which is to be one of virtual time."""
    return await FatalFleet(schedule).play()
