"""Model an engine: continuous batching, chunked prefill, a prefix cache, late reports.

One step gives a token to each decoding request and prefills one chunk. Times are seconds,
lengths are blocks of 256 characters.
"""

import asyncio
import heapq
import random
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cranberrywall.targets import Announcement, CacheEvent, Load
from measurements._virtual_time import WALL_AT_START

STEP_S = 0.020
STEP_PER_REQUEST_S = 0.0008
CHUNK_BLOCKS = 8
PREFILL_BLOCK_S = 0.0015
MAX_EVENTS = 512


class EngineOptions(NamedTuple):
    """Describe one engine; ``slow`` multiplies its step, ``event_loss`` is a share.

    ``reported_load`` multiplies the load that it reports: 0 is an engine that claims to
    be idle.
    """

    target: str
    place: str
    model: str = "asistent"
    slots: int = 12
    cache_blocks: int = 1200
    slow: float = 1.0
    event_loss: float = 0.0
    reported_load: float = 1.0


class Work(NamedTuple):
    """Describe one request as the engine sees it."""

    prefix: tuple[bytes, ...]
    output_tokens: int
    rank: int
    on_first_token: Callable[[float], None]
    on_end: Callable[[float], None]


class _Prefill:
    def __init__(self, work: Work, blocks: int) -> None:
        self.work = work
        self.blocks_left = blocks


class EngineModel:
    """Run work over the virtual time of the running loop."""

    def __init__(self, options: EngineOptions, seed: int) -> None:
        self.options = options
        self.gaps_ms: Counter[int] = Counter()
        self.cached_blocks = 0
        self.prompt_blocks = 0
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._waiting: list[tuple[int, int, Work]] = []
        self._prefilling: list[_Prefill] = []
        self._decoding = 0
        self._ends_by_step: dict[int, list[Work]] = {}
        self._cache: OrderedDict[bytes, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._step = 0
        self._number = 0
        self._event_seq = 0
        self._counter = 0
        self._stepping = False

    @property
    def running(self) -> int:
        """Return how many requests hold a slot."""
        return self._decoding + len(self._prefilling)

    def submit(self, work: Work) -> None:
        """Queue work by rank and arrival."""
        self._number += 1
        heapq.heappush(self._waiting, (work.rank, self._number, work))
        if not self._stepping:
            self._start_step()

    def announcement(self, leaving: bool = False) -> Announcement:
        """Return the engine's next announcement, with its load and cache events of now."""
        self._counter += 1
        events, self._events = self._events[:MAX_EVENTS], self._events[MAX_EVENTS:]
        options = self.options
        return Announcement(
            target=options.target,
            incarnation=1,
            counter=self._counter,
            kind="engine",
            name=options.model,
            place=options.place,
            url=f"http://{options.target}",
            capacity=options.slots,
            leaving=leaving,
            load=self._load(),
            cache_events=tuple(events),
        )

    def _load(self) -> Load:
        share = self.options.reported_load
        at = WALL_AT_START + self._loop.time()
        return Load(int(self.running * share), int(len(self._waiting) * share), at)

    def _start_step(self) -> None:
        self._fill()
        if not self.running:
            self._stepping = False
            return
        self._stepping = True
        chunk = self._take_chunk()
        duration = STEP_S + STEP_PER_REQUEST_S * self.running + PREFILL_BLOCK_S * chunk
        duration *= self.options.slow
        self.gaps_ms[round(duration * 1000)] += self._decoding
        self._loop.call_later(duration, self._end_step)

    def _fill(self) -> None:
        while self._waiting and self.running < self.options.slots:
            work = heapq.heappop(self._waiting)[2]
            cached = self._count_cached(work.prefix)
            self.cached_blocks += cached
            self.prompt_blocks += len(work.prefix)
            # One block more is always computed: the tail that no block covers.
            self._prefilling.append(_Prefill(work, len(work.prefix) - cached + 1))
        # An engine that honours priorities computes the prompts of the first rank first.
        self._prefilling.sort(key=lambda prefill: prefill.work.rank)

    def _take_chunk(self) -> int:
        chunk = CHUNK_BLOCKS
        for prefill in self._prefilling:
            taken = min(chunk, prefill.blocks_left)
            prefill.blocks_left -= taken
            chunk -= taken
            if not chunk:
                break
        return CHUNK_BLOCKS - chunk

    def _end_step(self) -> None:
        now = self._loop.time()
        self._step += 1
        for work in self._ends_by_step.pop(self._step, ()):
            self._decoding -= 1
            work.on_end(now)
        while self._prefilling and not self._prefilling[0].blocks_left:
            self._begin_decoding(self._prefilling.pop(0).work, now)
        self._start_step()

    def _begin_decoding(self, work: Work, now: float) -> None:
        self._store(work.prefix)
        self._decoding += 1
        self._ends_by_step.setdefault(self._step + work.output_tokens, []).append(work)
        work.on_first_token(now)

    def _count_cached(self, prefix: Sequence[bytes]) -> int:
        for position, block in enumerate(prefix):
            if block not in self._cache:
                return position
            self._cache.move_to_end(block)
        return len(prefix)

    def _store(self, prefix: Sequence[bytes]) -> None:
        for block in prefix:
            if block not in self._cache:
                self._publish("add", block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self.options.cache_blocks:
            self._publish("drop", self._cache.popitem(last=False)[0])

    def _publish(self, op: str, block: bytes) -> None:
        self._event_seq += 1
        if self._random.random() >= self.options.event_loss:
            self._events.append(CacheEvent(self._event_seq, op, block))
