"""Failure detector: probes the neighbours, directly and through other hosts."""

import asyncio
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts._entries import SUSPECT, Entry
from cranberrywall.hosts._interfaces import HostState
from cranberrywall.hosts._roster import Roster
from cranberrywall.hosts._spread import PiggybackGossip
from cranberrywall.hosts._table import ItemTable
from cranberrywall.hosts._timings import MembershipTimings
from cranberrywall.hosts.messages import (
    INDIRECT_PROBE,
    PROBE,
    IndirectProbeRequest,
    ProbeReply,
    ProbeRequest,
)
from cranberrywall.links import Caller
from cranberrywall.runtime import Clock, Random

_INDIRECT_PROBE_TIMEOUTS = 2
"""Maximum wait for indirect probes, in probe timeouts: each helper waits one timeout itself."""
_STALL_TIMEOUTS = 6.0
"""A failed probe takes three timeouts. If it took twice that, this process was stalled."""


class Prober:
    """Detects which neighbours do not answer, and publishes suspicions."""

    def __init__(
        self,
        roster: Roster,
        table: ItemTable,
        gossip: PiggybackGossip,
        caller: Caller,
        clock: Clock,
        random: Random,
        timings: MembershipTimings,
        on_reply: Callable[[Entry, ProbeReply], None],
    ) -> None:
        self._roster = roster
        self._table = table
        self._gossip = gossip
        self._caller = caller
        self._clock = clock
        self._random = random
        self._timings = timings
        self._on_probe_reply = on_reply
        self._probed_at: dict[str, float] = {}
        self._in_flight: set[str] = set()
        self.probes = 0
        self.failures = 0
        self.suspicions = 0

    def next_targets(self) -> list[Entry]:
        """Return the next neighbour in this place and, for a delegate, the next in other places.

        The least recently probed neighbour is next, so that each is probed at regular
        intervals. With a new random order per round, one could wait for almost two rounds.
        """
        own_place = self._roster.own.record.place
        neighbours = self._roster.neighbours()
        self._probed_at = {
            entry.host: self._probed_at.get(entry.host) or -self._random.random()
            for entry in neighbours
        }
        local = [entry for entry in neighbours if entry.record.place == own_place]
        remote = [entry for entry in neighbours if entry.record.place != own_place]
        targets = [self._least_recently_probed(group) for group in (local, remote) if group]
        for target in targets:
            self._probed_at[target.host] = self._clock.now()
        return [entry for entry in targets if entry.host not in self._in_flight]

    async def probe(self, entry: Entry) -> None:
        """Probe one host, and publish a suspicion if neither it nor a helper confirms it."""
        self._in_flight.add(entry.host)
        try:
            await self._probe(entry)
        finally:
            self._in_flight.discard(entry.host)

    async def probe_once(self, host: str, links: str, timeout: float) -> ProbeReply | None:
        """Send one probe and return the reply, or ``None`` unless ``host`` itself answered."""
        result = await self._call(host, links, timeout)
        return result.ok_value if isinstance(result, Ok) else None

    async def _call(self, host: str, links: str, timeout: float) -> Result[ProbeReply, Refusal]:
        place = self._place_of(host)
        request = ProbeRequest(
            self._gossip.select_items(place), self._table.fleet_digest, self._table.place_digest
        )
        result = await self._caller.call(links, PROBE, request, timeout)
        if isinstance(result, Ok) and result.ok_value.host != host:
            return Err(
                Refusal(ErrorKind.UNREACHABLE, f"{links} now belongs to {result.ok_value.host}")
            )
        if isinstance(result, Ok):
            self._gossip.merge(result.ok_value.items, host)
        return result

    async def _probe(self, entry: Entry) -> None:
        self.probes += 1
        timeout = self._timings.probe_timeout
        started_at = self._clock.now()
        result = await self._call(entry.host, entry.record.links, timeout)
        if isinstance(result, Err) and result.err_value.retry_after:
            # After refused connections the caller waits before it dials again, and calls fail
            # without an attempt in the meantime. Such a failure is no evidence against a host
            # that has just restarted.
            await self._clock.sleep(result.err_value.retry_after)
            started_at = self._clock.now()
            result = await self._call(entry.host, entry.record.links, timeout)
        if isinstance(result, Ok):
            self._on_probe_reply(entry, result.ok_value)
            return
        self.failures += 1
        if await self._probe_indirectly(entry, timeout):
            return
        # If this process was stopped or had no processor time for a while, all its probes time
        # out at the same time. These failures are no evidence against the other hosts.
        if self._clock.now() - started_at > _STALL_TIMEOUTS * timeout:
            return
        suspect = self._roster.propose_verdict(entry.host, SUSPECT)
        if suspect is not None and suspect.version[:3] == entry.version[:3]:
            self.suspicions += 1
            self._gossip.publish(suspect.to_item())

    async def _probe_indirectly(self, entry: Entry, timeout: float) -> bool:
        """Return whether the host answers helpers or a second direct probe.

        The network path from this host may be broken although the host is alive.
        """
        request = IndirectProbeRequest(entry.host, entry.record.links, timeout)
        max_wait = _INDIRECT_PROBE_TIMEOUTS * timeout
        helpers = self._helpers(entry.host)
        indirect = [self._request_indirect_probe(helper, request, max_wait) for helper in helpers]
        retry = self.probe_once(entry.host, entry.record.links, max_wait)
        replies = await asyncio.gather(retry, *indirect)
        return any(replies)

    async def _request_indirect_probe(
        self, helper: Entry, request: IndirectProbeRequest, timeout: float
    ) -> bool:
        result = await self._caller.call(helper.record.links, INDIRECT_PROBE, request, timeout)
        return isinstance(result, Ok) and result.ok_value.answered

    def _helpers(self, target: str) -> Sequence[Entry]:
        candidates = [
            entry
            for entry in self._roster.neighbours()
            if entry.host != target and entry.state is HostState.ALIVE
        ]
        self._shuffle(candidates)
        return candidates[: self._timings.helpers]

    def _least_recently_probed(self, group: Sequence[Entry]) -> Entry:
        return min(group, key=lambda entry: self._probed_at[entry.host])

    def _shuffle(self, items: list[Entry]) -> None:
        for last in range(len(items) - 1, 0, -1):
            other = self._random.randrange(0, last + 1)
            items[last], items[other] = items[other], items[last]

    def _place_of(self, host: str) -> str:
        entry = self._roster.entry(host)
        return "" if entry is None else entry.record.place
