"""Hold one attempt: its words, the chunks made so far, and who reads them."""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from standins._counts import Usage

MOST_KEPT_ATTEMPTS = 4096


class AttemptPlan(NamedTuple):
    """Say what an attempt will make.

    ``prefill_steps`` pass before the first word. ``cut_short`` tells that the words end at
    the limit that the request set.
    """

    attempt_id: str
    request_id: str
    model: str
    rank: int
    words: list[str]
    cut_short: bool
    prefill_steps: int
    usage: Usage
    created: int


class Attempt:
    """Make chunks step by step; any number of readers follow them from any index."""

    def __init__(self, plan: AttemptPlan) -> None:
        self.plan = plan
        self.chunks: list[dict[str, Any]] = []
        self.finished = False
        self.cancelled = False
        self.readers = 0
        self._prefill_left = plan.prefill_steps
        self._made = 0
        self._changed = asyncio.Event()

    @property
    def text(self) -> str:
        """Return the words made so far."""
        return " ".join(self.plan.words[: self._made])

    @property
    def finish_reason(self) -> str:
        """Return why the answer ends, in the words of the chat completions interface."""
        return "length" if self.plan.cut_short else "stop"

    def advance(self) -> None:
        """Do one step of the batch."""
        if self._prefill_left > 0:
            self._prefill_left -= 1
            return
        if self._made < len(self.plan.words):
            self._add_word()
        if self._made == len(self.plan.words):
            self._add_end()
        self._wake()

    def cancel(self) -> None:
        """Stop making words; readers get what was made and no end."""
        if not self.finished:
            self.cancelled = True
            self._wake()

    async def follow(self, start: int) -> AsyncIterator[dict[str, Any]]:
        """Yield the chunks from index ``start`` on, until the end or a cancel."""
        index = start
        while True:
            while index < len(self.chunks):
                yield self.chunks[index]
                index += 1
            if self.finished or self.cancelled:
                return
            await self._changed.wait()

    async def wait(self) -> None:
        """Wait for the end or a cancel."""
        while not (self.finished or self.cancelled):
            await self._changed.wait()

    def _add_word(self) -> None:
        word = self.plan.words[self._made]
        content = word if self._made == 0 else f" {word}"
        self._made += 1
        self._add_chunk({"delta": {"role": "assistant", "content": content}})

    def _add_end(self) -> None:
        self._add_chunk({"delta": {}, "finish_reason": self.finish_reason})
        self._add_chunk(None)
        self.chunks[-1]["usage"] = usage_document(self.plan.usage)
        self.finished = True

    def _add_chunk(self, choice: dict[str, Any] | None) -> None:
        choices = [] if choice is None else [{"index": 0, "finish_reason": None, **choice}]
        self.chunks.append(
            {
                "id": self.plan.attempt_id,
                "object": "chat.completion.chunk",
                "created": self.plan.created,
                "model": self.plan.model,
                "index": len(self.chunks),
                "choices": choices,
            }
        )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Attempts:
    """Find attempts by id; the oldest ended ones are forgotten."""

    def __init__(self) -> None:
        self._by_id: OrderedDict[str, Attempt] = OrderedDict()

    def add(self, attempt: Attempt) -> None:
        """Keep an attempt for resuming and cancelling."""
        self._by_id[attempt.plan.attempt_id] = attempt
        if len(self._by_id) > MOST_KEPT_ATTEMPTS:
            self._by_id.popitem(last=False)

    def by_id(self, attempt_id: str) -> Attempt | None:
        """Return the attempt, or ``None`` where it is unknown or forgotten."""
        return self._by_id.get(attempt_id)

    def other_than(self, attempt_id: str) -> Attempt | None:
        """Return the newest ended attempt with another id, to cross answers with."""
        for other_id, other in reversed(self._by_id.items()):
            if other_id != attempt_id and other.finished:
                return other
        return None


def usage_document(usage: Usage) -> dict[str, int]:
    """Return usage in the shape of the chat completions interface."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    }
