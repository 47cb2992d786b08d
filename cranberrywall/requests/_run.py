"""Hold one run of one chat completion, which any number of listeners follow.

The run's task reads the engine at the engine's speed and appends frames here; each
listener reads them at its own. So a slow caller never holds a place at a target.
"""

import asyncio
from enum import StrEnum

from cranberrywall.errors import Refusal
from cranberrywall.requests._identity import RequestName
from cranberrywall.requests._usage import Usage


class RunState(StrEnum):
    """Say how far a run is."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"


class Run:
    """Collect the frames of one answer.

    ``frames`` holds each chunk as an event for callers. Those up to ``released`` may go to
    them: the last one waits until the charge is durable. ``sent`` is true once a byte may
    have gone to a target. ``is_followed`` is true where another host owns the run, and
    ``followed_until`` is when followers at other hosts will have asked again.
    """

    def __init__(self, name: RequestName, fingerprint: str, started_at: float) -> None:
        self.name = name
        self.fingerprint = fingerprint
        self.started_at = started_at
        self.ended_at: float | None = None
        self.state = RunState.RUNNING
        self.refusal: Refusal | None = None
        self.usage: Usage | None = None
        self.frames: list[bytes] = []
        self.bytes_held = 0
        self.released = 0
        self.listeners = 0
        self.sent = False
        self.is_followed = False
        self.followed_until = float("-inf")
        self._waiters: set[asyncio.Future[None]] = set()

    def append(self, frame: bytes, usage: Usage | None) -> None:
        """Add a frame; one that has the usage is the last, and is held until ``answer``."""
        self.frames.append(frame)
        self.bytes_held += len(frame)
        if usage is None:
            self.released = len(self.frames)
            self._wake()
        else:
            self.usage = usage

    def answer(self, now: float) -> None:
        """End the run with its whole answer."""
        self.state = RunState.ANSWERED
        self.ended_at = now
        self.released = len(self.frames)
        self._wake()

    def fail(self, refusal: Refusal, now: float) -> None:
        """End the run without a whole answer."""
        if self.state is not RunState.RUNNING:
            return
        self.state = RunState.FAILED
        self.refusal = refusal
        self.ended_at = now
        self._wake()

    async def wait_for_frame(self, count: int) -> None:
        """Return once more than ``count`` frames are released or the run has ended."""
        while self.released <= count and self.state is RunState.RUNNING:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            try:
                await waiter
            finally:
                self._waiters.discard(waiter)

    async def wait_beyond_for(self, count: int, seconds: float) -> None:
        """Wait as ``wait_for_frame`` does, and for ``seconds`` at most."""
        try:
            async with asyncio.timeout(seconds):
                await self.wait_for_frame(count)
        except TimeoutError:
            return

    async def wait_ended(self) -> None:
        """Return once the run has ended."""
        while self.state is RunState.RUNNING:
            await self.wait_for_frame(self.released)

    def _wake(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
