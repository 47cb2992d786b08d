"""Run of one chat completion, which any number of listeners follow.

A task reads the engine's stream as fast as the engine sends it, and appends the frames to
the run. Each listener reads the frames at its own speed, so a slow caller does not occupy
capacity of a target.
"""

import asyncio
from enum import StrEnum

from cranberrywall.errors import Refusal
from cranberrywall.requests._identity import RequestName
from cranberrywall.requests._usage import Usage


class RunState(StrEnum):
    """State of a run."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"


class Run:
    """Frames and state of one run.

    ``frames`` contains each chunk as an event for callers. The first ``released`` frames
    may be sent to them; the last frame is withheld until the charge is durable. ``sent`` is
    true once a byte may have gone to a target. ``is_followed`` is true while this host
    follows a run that another host owns. ``followed_until`` is the monotonic time by which
    followers at other hosts will have requested the next frames.
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
        self.frame_bytes = 0
        self.released = 0
        self.listeners = 0
        self.sent = False
        self.is_followed = False
        self.followed_until = float("-inf")
        self._waiters: set[asyncio.Future[None]] = set()

    def append(self, frame: bytes, usage: Usage | None) -> None:
        """Add a frame; the frame with the usage is the last one, and ``complete`` releases it."""
        self.frames.append(frame)
        self.frame_bytes += len(frame)
        if usage is None:
            self.released = len(self.frames)
            self._wake()
        else:
            self.usage = usage

    def complete(self, now: float) -> None:
        """End the run with a complete answer, and release all frames."""
        self.state = RunState.ANSWERED
        self.ended_at = now
        self.released = len(self.frames)
        self._wake()

    def fail(self, refusal: Refusal, now: float) -> None:
        """End the run without a complete answer, unless it has ended already."""
        if self.state is not RunState.RUNNING:
            return
        self.state = RunState.FAILED
        self.refusal = refusal
        self.ended_at = now
        self._wake()

    async def wait_for_frame(self, number: int) -> None:
        """Return once frame ``number``, counted from 0, is released or the run has ended."""
        while self.released <= number and self.state is RunState.RUNNING:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            try:
                await waiter
            finally:
                self._waiters.discard(waiter)

    async def wait_for_frame_within(self, number: int, timeout_s: float) -> None:
        """Wait as ``wait_for_frame`` does, but at most ``timeout_s`` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.wait_for_frame(number)
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
