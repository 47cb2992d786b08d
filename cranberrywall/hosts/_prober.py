"""Probe the neighbours in turn, directly and through others."""

import asyncio
from collections.abc import Callable, Sequence
from typing import TypeVar

from result import Ok

from cranberrywall.hosts._entries import SUSPECT, Entry
from cranberrywall.hosts._interfaces import HostState
from cranberrywall.hosts._pace import Pace
from cranberrywall.hosts._roster import Roster
from cranberrywall.hosts._spread import Spreading
from cranberrywall.hosts._table import Table
from cranberrywall.hosts.messages import ASK, PROBE, AskRequest, ProbeReply, ProbeRequest
from cranberrywall.links import Caller
from cranberrywall.runtime import Clock, Random

T = TypeVar("T")

_FROZEN_FACTOR = 2.0


class Prober:
    """Find out which neighbours answer."""

    def __init__(
        self,
        roster: Roster,
        table: Table,
        spreading: Spreading,
        caller: Caller,
        clock: Clock,
        random: Random,
        pace: Pace,
        on_answer: Callable[[Entry, ProbeReply], None],
    ) -> None:
        self._roster = roster
        self._table = table
        self._spreading = spreading
        self._caller = caller
        self._clock = clock
        self._random = random
        self._pace = pace
        self._on_answer = on_answer
        self._near_round: list[str] = []
        self._far_round: list[str] = []
        self._under_way: set[str] = set()
        self.probes = 0
        self.failures = 0
        self.suspicions = 0

    def next_targets(self) -> list[Entry]:
        """Return the next neighbour in this place and, for a delegate, the next beyond.

        Each round takes every neighbour once, in a new order: so each is probed within a
        known time, and no two hosts keep probing the same one at the same moments.
        """
        own_place = self._roster.own.record.place
        near: list[Entry] = []
        far: list[Entry] = []
        for entry in self._roster.neighbours():
            (near if entry.record.place == own_place else far).append(entry)
        targets = (self._next(self._near_round, near), self._next(self._far_round, far))
        return [entry for entry in targets if entry and entry.host not in self._under_way]

    async def probe(self, entry: Entry) -> None:
        """Probe one host, and suspect it where neither it nor a helper answers."""
        self._under_way.add(entry.host)
        try:
            await self._probe(entry)
        finally:
            self._under_way.discard(entry.host)

    async def ask(self, host: str, links: str, timeout: float) -> ProbeReply | None:
        """Probe once, and return the answer where ``host`` itself gave it."""
        place = self._place_of(host)
        request = ProbeRequest(
            self._spreading.take(place), self._table.fleet_digest, self._table.place_digest
        )
        result = await self._caller.call(links, PROBE, request, timeout)
        if not isinstance(result, Ok) or result.ok_value.host != host:
            return None
        self._spreading.absorb(result.ok_value.items, host)
        return result.ok_value

    async def _probe(self, entry: Entry) -> None:
        self.probes += 1
        timeout = self._pace.probe_timeout
        began = self._clock.now()
        reply = await self.ask(entry.host, entry.record.links, timeout)
        if reply is not None:
            self._on_answer(entry, reply)
            return
        self.failures += 1
        if await self._ask_through_others(entry, timeout):
            return
        # A process that did not run for a while, as one that was stopped or starved, finds
        # that all its probes timed out at once. That says nothing of the others.
        if self._clock.now() - began > _FROZEN_FACTOR * 3 * timeout:
            return
        suspect = self._roster.judge(entry.host, SUSPECT)
        if suspect is not None and suspect.version[:3] == entry.version[:3]:
            self.suspicions += 1
            self._spreading.publish(suspect.item())

    async def _ask_through_others(self, entry: Entry, timeout: float) -> bool:
        """Ask helpers to probe the host, and try it once more: the way to it may be cut."""
        request = AskRequest(entry.host, entry.record.links, timeout)
        asked = [
            self._ask_helper(helper, request, 2 * timeout) for helper in self._helpers(entry.host)
        ]
        again = self.ask(entry.host, entry.record.links, 2 * timeout)
        replies = await asyncio.gather(again, *asked)
        return any(replies)

    async def _ask_helper(self, helper: Entry, request: AskRequest, timeout: float) -> bool:
        result = await self._caller.call(helper.record.links, ASK, request, timeout)
        return isinstance(result, Ok) and result.ok_value.answered

    def _helpers(self, target: str) -> Sequence[Entry]:
        willing = [
            entry
            for entry in self._roster.neighbours()
            if entry.host != target and entry.state is HostState.ALIVE
        ]
        self._shuffle(willing)
        return willing[: self._pace.helpers]

    def _next(self, order: list[str], group: Sequence[Entry]) -> Entry | None:
        by_host = {entry.host: entry for entry in group}
        while order:
            host = order.pop()
            if host in by_host:
                return by_host[host]
        order += by_host
        self._shuffle(order)
        return by_host[order.pop()] if order else None

    def _shuffle(self, items: list[T]) -> None:
        for last in range(len(items) - 1, 0, -1):
            other = self._random.randrange(0, last + 1)
            items[last], items[other] = items[other], items[last]

    def _place_of(self, host: str) -> str:
        entry = self._roster.entry(host)
        return "" if entry is None else entry.record.place
