"""Cache prompt prefixes in limited memory, and publish the changes late and with gaps."""

import random
from collections import OrderedDict, deque
from typing import Literal, NamedTuple, TypedDict

import xxhash

BLOCK_CHARACTERS = 256
MOST_EVENTS_PER_REPORT = 512


class CacheEvent(TypedDict):
    """Tell of one block that came or went; ``seq`` counts every change, also lost ones."""

    seq: int
    op: Literal["add", "drop"]
    prefix: str


class _Pending(NamedTuple):
    due_at: float
    event: CacheEvent


def block_hashes(text: str) -> list[int]:
    """Return the chained hashes of the whole blocks of ``text``.

    >>> block_hashes("short")
    []
    >>> block_hashes("a" * 300) == [xxhash.xxh64_intdigest(b"a" * 256)]
    True
    """
    hashes: list[int] = []
    chained = b""
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = text[start : start + BLOCK_CHARACTERS].encode()
        chained = xxhash.xxh64_digest(chained + block)
        hashes.append(int.from_bytes(chained, "big"))
    return hashes


class PrefixCache:
    """Keep the most recently used blocks; ``delay_s`` and ``loss`` spoil its events."""

    def __init__(self, blocks: int, delay_s: float, loss: float, seed: int) -> None:
        self._most_blocks = blocks
        self._delay_s = delay_s
        self._loss = loss
        self._random = random.Random(seed)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._pending: deque[_Pending] = deque()
        self._seq = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def use(self, text: str, now: float) -> int:
        """Return how many leading blocks of ``text`` were cached, and cache them all."""
        hashes = block_hashes(text)
        cached = self._count_cached(hashes)
        for block in hashes:
            if block not in self._blocks:
                self._publish("add", block, now)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._most_blocks:
            dropped, _ = self._blocks.popitem(last=False)
            self._publish("drop", dropped, now)
        return cached

    def clear(self) -> None:
        """Forget all, as the model that filled it is gone."""
        self._blocks.clear()
        self._pending.clear()

    def take_events(self, now: float) -> list[CacheEvent]:
        """Return the events that are due; each is given once."""
        events: list[CacheEvent] = []
        while self._pending and len(events) < MOST_EVENTS_PER_REPORT:
            if self._pending[0].due_at > now:
                break
            events.append(self._pending.popleft().event)
        return events

    def _count_cached(self, hashes: list[int]) -> int:
        for position, block in enumerate(hashes):
            if block not in self._blocks:
                return position
        return len(hashes)

    def _publish(self, op: Literal["add", "drop"], block: int, now: float) -> None:
        self._seq += 1
        if self._random.random() < self._loss:
            return
        event = CacheEvent(seq=self._seq, op=op, prefix=f"{block:016x}")
        self._pending.append(_Pending(now + self._delay_s, event))
