"""Fetch what leads to a newer revision, from whichever peer answers first."""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from result import Err

from cranberrywall.configuration._packing import unpack
from cranberrywall.configuration.messages import FETCH, Fetch, Pack
from cranberrywall.errors import Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import EventLimiter
from cranberrywall.runtime import Clock

FETCH_TIMEOUT_S = 2.0
"""A peer has this long to hand a revision on, in seconds."""

NEXT_AFTER_S = 0.2
"""The next peer is asked besides after so long without an answer, in seconds.

It is several times what an answer takes over a line of 5 Mbit/s."""

MOST_AT_ONCE = 3
"""Peers that are asked at the same time at most: all answers come over this host's one line."""


class Source(NamedTuple):
    """Name a peer to ask by its address, and how often it has told of a revision.

    One that tells again is asked again: the call of before may wait on a cut connection.
    """

    links: str
    told: int


class Fetched(NamedTuple):
    """Hold an answer's content, who gave it, how long it took, in seconds, and its packed size."""

    links: str
    heard: int
    content: Pack
    seconds: float
    size: int


_Attempts = list[asyncio.Task[Fetched | None]]
"""The attempts under way, the oldest first."""


class Fetching:
    """Ask one peer after the other, and the next before the one before has answered.

    A peer that told of a revision may lose its power before it hands it on. Its call then takes
    ``FETCH_TIMEOUT_S``, which is most of the time that a change has; nobody is kept waiting for it.
    ``asking`` lists the peers whose answers are waited for.
    """

    def __init__(self, caller: Caller, clock: Clock) -> None:
        self._caller = caller
        self._clock = clock
        self._failures = EventLimiter(clock.now)
        self.asking: list[str] = []

    async def first_useful(
        self, sources: Callable[[], Sequence[Source]], fetch: Fetch
    ) -> Fetched | None:
        """Return the first answer that has something newer, or ``None`` where none has.

        ``sources`` gives the peers to ask as of now, the best first. Each is asked once; the next
        is asked after ``NEXT_AFTER_S``, in place of the oldest where many are being asked.
        """
        attempts: _Attempts = []
        asked: set[Source] = set()
        try:
            while True:
                source = next((one for one in sources() if one not in asked), None)
                if source is None and not attempts:
                    return None
                if source is not None:
                    asked.add(source)
                    self._begin(attempts, source, fetch)
                found = await self._next_answer(attempts)
                if found is not None:
                    return found
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _begin(self, attempts: _Attempts, source: Source, fetch: Fetch) -> None:
        if len(attempts) >= MOST_AT_ONCE:
            attempts.pop(0).cancel()
        work = self._ask(source.links, fetch)
        attempts.append(asyncio.get_running_loop().create_task(work))

    async def _next_answer(self, attempts: _Attempts) -> Fetched | None:
        """Return a useful answer; ``None`` once an attempt ended without one, or the pause did."""
        pause = asyncio.get_running_loop().create_task(self._clock.sleep(NEXT_AFTER_S))
        try:
            await asyncio.wait([*attempts, pause], return_when=asyncio.FIRST_COMPLETED)
        finally:
            pause.cancel()
        for attempt in [one for one in attempts if one.done()]:
            attempts.remove(attempt)
            fetched = attempt.result()
            if fetched is not None:
                return fetched
        return None

    async def _ask(self, links: str, fetch: Fetch) -> Fetched | None:
        began_at = self._clock.now()
        self.asking.append(links)
        try:
            answer = await self._caller.call(links, FETCH, fetch, FETCH_TIMEOUT_S)
        finally:
            self.asking.remove(links)
        seconds = self._clock.now() - began_at
        if isinstance(answer, Err):
            self._note_failure(links, fetch, seconds, answer.err_value)
            return None
        reply = answer.ok_value
        if not reply.packed:
            return None
        unpacked = unpack(reply.packed, Pack)
        if isinstance(unpacked, Err):
            self._note_failure(links, fetch, seconds, unpacked.err_value)
            return None
        return Fetched(links, reply.heard, unpacked.ok_value, seconds, len(reply.packed))

    def _note_failure(self, links: str, fetch: Fetch, seconds: float, refusal: Refusal) -> None:
        self._failures.log(
            "WARNING",
            "configuration_fetch_failed",
            str(refusal.kind),
            source=links,
            revision=fetch.since,
            waited_s=seconds,
            refusal=refusal,
        )
