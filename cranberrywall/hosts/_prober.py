"""Probe the neighbours in turn, directly and through others."""

import asyncio
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts._entries import SUSPECT, Entry
from cranberrywall.hosts._interfaces import HostState
from cranberrywall.hosts._pace import MembershipTimings
from cranberrywall.hosts._roster import Roster
from cranberrywall.hosts._spread import Spreading
from cranberrywall.hosts._table import Table
from cranberrywall.hosts.messages import ASK, PROBE, AskRequest, ProbeReply, ProbeRequest
from cranberrywall.links import Caller
from cranberrywall.runtime import Clock, Random

_THROUGH_OTHERS_TIMEOUTS = 2
"""The time for helpers, in timeouts: each of them waits for one of its own."""
_FROZEN_TIMEOUTS = 6.0
"""A failed probe takes three timeouts; one that took twice that did not run meanwhile."""


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
        pace: MembershipTimings,
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
        self._probed_at: dict[str, float] = {}
        self._under_way: set[str] = set()
        self.probes = 0
        self.failures = 0
        self.suspicions = 0

    def next_targets(self) -> list[Entry]:
        """Return the next neighbour in this place and, for a delegate, the next beyond.

        It is the one that has waited longest, so that each is probed at even times: in a new
        order for each round, one could wait for almost two rounds.
        """
        own_place = self._roster.own.record.place
        neighbours = self._roster.neighbours()
        self._probed_at = {
            entry.host: self._probed_at.get(entry.host) or -self._random.random()
            for entry in neighbours
        }
        near = [entry for entry in neighbours if entry.record.place == own_place]
        far = [entry for entry in neighbours if entry.record.place != own_place]
        targets = [self._longest_waiting(group) for group in (near, far) if group]
        for target in targets:
            self._probed_at[target.host] = self._clock.now()
        return [entry for entry in targets if entry.host not in self._under_way]

    async def probe(self, entry: Entry) -> None:
        """Probe one host, and suspect it where neither it nor a helper answers."""
        self._under_way.add(entry.host)
        try:
            await self._probe(entry)
        finally:
            self._under_way.discard(entry.host)

    async def ask(self, host: str, links: str, timeout: float) -> ProbeReply | None:
        """Probe once, and return the answer where ``host`` itself gave it."""
        answered = await self._call(host, links, timeout)
        return answered.ok_value if isinstance(answered, Ok) else None

    async def _call(self, host: str, links: str, timeout: float) -> Result[ProbeReply, Refusal]:
        place = self._place_of(host)
        request = ProbeRequest(
            self._spreading.take(place), self._table.fleet_digest, self._table.place_digest
        )
        result = await self._caller.call(links, PROBE, request, timeout)
        if isinstance(result, Ok) and result.ok_value.host != host:
            return Err(Refusal(ErrorKind.UNREACHABLE, f"{links} is of {result.ok_value.host} now"))
        if isinstance(result, Ok):
            self._spreading.absorb(result.ok_value.items, host)
        return result

    async def _probe(self, entry: Entry) -> None:
        self.probes += 1
        timeout = self._pace.probe_timeout
        began = self._clock.now()
        answered = await self._call(entry.host, entry.record.links, timeout)
        if isinstance(answered, Err) and answered.err_value.retry_after:
            # After connections that were refused the next is not tried at once, and calls fail
            # without a try meanwhile. That says nothing of a host that has just come back.
            await self._clock.sleep(answered.err_value.retry_after)
            began = self._clock.now()
            answered = await self._call(entry.host, entry.record.links, timeout)
        if isinstance(answered, Ok):
            self._on_answer(entry, answered.ok_value)
            return
        self.failures += 1
        if await self._ask_through_others(entry, timeout):
            return
        # A process that did not run for a while, since it was stopped or got no processor
        # time, finds that all its probes timed out at once. That says nothing of the others.
        if self._clock.now() - began > _FROZEN_TIMEOUTS * timeout:
            return
        suspect = self._roster.judge(entry.host, SUSPECT)
        if suspect is not None and suspect.version[:3] == entry.version[:3]:
            self.suspicions += 1
            self._spreading.publish(suspect.item())

    async def _ask_through_others(self, entry: Entry, timeout: float) -> bool:
        """Ask helpers to probe the host, and try it once more: the way to it may be cut."""
        request = AskRequest(entry.host, entry.record.links, timeout)
        longest = _THROUGH_OTHERS_TIMEOUTS * timeout
        helpers = self._helpers(entry.host)
        asked = [self._ask_helper(helper, request, longest) for helper in helpers]
        again = self.ask(entry.host, entry.record.links, longest)
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

    def _longest_waiting(self, group: Sequence[Entry]) -> Entry:
        return min(group, key=lambda entry: self._probed_at[entry.host])

    def _shuffle(self, items: list[Entry]) -> None:
        for last in range(len(items) - 1, 0, -1):
            other = self._random.randrange(0, last + 1)
            items[last], items[other] = items[other], items[last]

    def _place_of(self, host: str) -> str:
        entry = self._roster.entry(host)
        return "" if entry is None else entry.record.place
