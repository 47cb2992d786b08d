"""Membership of one entry host: its tasks, and its answers to other hosts."""

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any, TypeVar

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts._entries import (
    ALIVE,
    HOSTS_TOPIC,
    LOAD_TOPIC,
    PLACE_LOAD_TOPIC,
    Entry,
    HostRecord,
    HostVersion,
    encode_load,
)
from cranberrywall.hosts._interfaces import (
    HostState,
    HostView,
    LiveMembership,
    RestorableGossip,
)
from cranberrywall.hosts._prober import Prober
from cranberrywall.hosts._ring import Rings
from cranberrywall.hosts._roster import Roster
from cranberrywall.hosts._spread import GossipPeer, PiggybackGossip
from cranberrywall.hosts._sync import AntiEntropy
from cranberrywall.hosts._table import ItemTable
from cranberrywall.hosts._timings import MembershipTimings
from cranberrywall.hosts.messages import (
    INDIRECT_PROBE,
    PROBE,
    PUSH,
    SYNC,
    IndirectProbeReply,
    IndirectProbeRequest,
    Item,
    ProbeReply,
    ProbeRequest,
    PushReply,
    PushRequest,
)
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock, Random

_VIEWS_TTL_S = 0.2
_MAX_INDIRECT_PROBE_TIMEOUT_S = 5.0
# Maximum random change of an interval, as a fraction of it, up or down.
_JITTER_FRACTION = 0.1
# Number of seeds that are tried at the same time while the host joins.
_SEEDS_PER_JOIN_ROUND = 3
_MAX_CONTACTED_HOSTS = 2
_NEXT_CONTACT_DELAY_S = 0.4
_MAX_SYNC_S = 5.0
_T = TypeVar("_T")


def make_membership(
    identity: Peer,
    links: str,
    http: str,
    seeds: Sequence[str],
    server: Server,
    caller: Caller,
    clock: Clock,
    random: Random,
    timings: MembershipTimings | None = None,
) -> LiveMembership:
    """Return the membership of the entry host ``identity``, and register its calls on ``server``.

    ``links`` and ``http`` are the host's own addresses. ``seeds`` are the ``links`` addresses
    of some hosts through which it joins the fleet.
    """
    record = HostRecord(identity.place, links, http)
    version = HostVersion(identity.incarnation, leaving=0, number=1, verdict=ALIVE)
    own = Entry(identity.host, record, version)
    membership = _Membership(own, seeds, caller, clock, random, timings or MembershipTimings())
    membership.register(server)
    return membership


class _Membership:
    def __init__(
        self,
        own: Entry,
        seeds: Sequence[str],
        caller: Caller,
        clock: Clock,
        random: Random,
        timings: MembershipTimings,
    ) -> None:
        place = own.record.place
        self._host = own.host
        self._place = place
        self._seeds = [seed for seed in seeds if seed != own.record.links]
        self._clock = clock
        self._random = random
        self._timings = timings
        self._table = ItemTable(place)
        self._roster = Roster(own, self._table, timings)
        self._gossip = PiggybackGossip(self._table, caller, clock, timings, self._gossip_peers)
        self._anti_entropy = AntiEntropy(
            own.host, place, self._table, self._gossip, caller, clock, timings
        )
        self._prober = Prober(
            self._roster,
            self._table,
            self._gossip,
            caller,
            clock,
            random,
            timings,
            self._on_probe_reply,
        )
        self._gossip.subscribe(HOSTS_TOPIC, self._on_host_item)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._load = 0.0
        self._published_load = 0.0
        self._load_number = 0
        self._load_published_at = float("-inf")
        self._place_load_published_at = float("-inf")
        self._views: list[HostView] | None = None
        self._alive_views: list[HostView] = []
        self._views_at = float("-inf")

    @property
    def gossip(self) -> RestorableGossip:
        return self._gossip

    @property
    def is_superseded(self) -> bool:
        return self._roster.is_superseded

    def register(self, server: Server) -> None:
        """Register the handlers of the other hosts' calls."""
        server.register(PROBE, self._answer_probe)
        server.register(INDIRECT_PROBE, self._answer_indirect_probe)
        server.register(PUSH, self._answer_push)
        server.register(SYNC, self._anti_entropy.answer)

    def alive(self) -> Sequence[HostView]:
        self._current_views()
        return self._alive_views

    def by_host(self, host: str) -> HostView | None:
        return self._roster.view(host, self._clock.now())

    def all(self) -> Sequence[HostView]:
        return self._current_views()

    def set_load(self, load: float) -> None:
        self._load = load

    def leave(self) -> None:
        self._views = None
        self._gossip.publish(self._roster.update_own(leaving=True).to_item())

    async def start(self) -> None:
        self._gossip.publish(self._roster.own.to_item())
        self._start(self._probe_periodically())
        self._start(self._run_maintenance())
        self._start(self._rejoin_periodically())
        await self._join()

    async def _join(self) -> None:
        """Synchronize with a few seeds, and with the next few if none of them answers.

        Only a few at a time, because every host of a large fleet has the same seeds.
        """
        seeds = list(self._seeds)
        while seeds:
            batch = [
                seeds.pop(self._random.randrange(0, len(seeds)))
                for _ in seeds[:_SEEDS_PER_JOIN_ROUND]
            ]
            if await self._sync_with_any(batch, next_delay_s=0.0):
                return

    async def contact_any(self, links: Sequence[str]) -> None:
        own = self._roster.own.record.links
        candidates = [address for address in self._without_contact(links) if address != own]
        count = min(_MAX_CONTACTED_HOSTS, len(candidates))
        chosen = [candidates.pop(self._random.randrange(0, len(candidates))) for _ in range(count)]
        await self._sync_with_any(chosen, _NEXT_CONTACT_DELAY_S)

    async def _sync_with_any(self, links: Sequence[str], next_delay_s: float) -> bool:
        """Synchronize with the hosts at ``links``, and return whether one of them has answered.

        If a host does not answer within ``next_delay_s`` seconds, the next attempt starts while
        the first one continues. If it is 0, all attempts start at the same time. A call to an
        unresponsive host takes the full timeout, and must not delay the answers of the others.
        """
        pending: set[asyncio.Task[bool]] = set()
        for address in links:
            pending.add(self._start(self._anti_entropy.sync_with(address)))
            if next_delay_s and await self._first_true(pending, next_delay_s):
                return True
        return await self._first_true(pending, _MAX_SYNC_S)

    async def _first_true(self, tasks: set[asyncio.Task[bool]], timeout_s: float) -> bool:
        """Return whether one of the tasks returns true in time; all tasks continue."""
        timeout = asyncio.get_running_loop().create_task(self._clock.sleep(timeout_s))
        pending = set(tasks)
        try:
            while pending and not timeout.done():
                done, _ = await asyncio.wait(
                    {*pending, timeout}, return_when=asyncio.FIRST_COMPLETED
                )
                pending -= done
                if any(task.result() for task in done if task is not timeout):
                    return True
            return False
        finally:
            timeout.cancel()

    async def close(self) -> None:
        self._gossip.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def state(self) -> dict[str, Any]:
        return {
            "hosts": self.all(),
            "neighbours": [entry.host for entry in self._roster.neighbours()],
            "is_delegate": self._roster.is_delegate(),
            "cut_places": sorted(self._roster.unreachable_places()),
            "is_superseded": self.is_superseded,
            "changes": dict(self._roster.transitions),
            "items": len(self._table),
            **self._counts(),
        }

    def export(self, metrics: Metrics) -> None:
        metrics.gauges_of(
            "membership_hosts",
            "Recorded hosts, by the state in which this host sees them.",
            "state",
            self._hosts_by_state,
        )
        metrics.counters_of("membership_events", "Events of membership.", "event", self._counts)

    def _hosts_by_state(self) -> dict[str, float]:
        states = [view.state for view in self.all()]
        return {str(state): states.count(state) for state in HostState}

    def _current_views(self) -> list[HostView]:
        """Return the views of all hosts, computed at most once in ``_VIEWS_TTL_S`` or a change."""
        now = self._clock.now()
        if self._views is None or now - self._views_at > _VIEWS_TTL_S:
            self._views = self._roster.views(now)
            self._alive_views = [view for view in self._views if view.state is HostState.ALIVE]
            self._views_at = now
        return self._views

    def _counts(self) -> dict[str, float]:
        return {
            "probes": self._prober.probes,
            "failed_probes": self._prober.failures,
            "suspicions": self._prober.suspicions,
            "syncs": self._anti_entropy.syncs,
            "pushed_bytes": self._gossip.pushed_bytes,
            "delayed_pushes": self._gossip.delayed_pushes,
        }

    async def _probe_periodically(self) -> None:
        while True:
            for entry in self._prober.next_targets():
                self._start(self._prober.probe(entry))
            await self._clock.sleep(self._jittered(self._timings.period))

    async def _run_maintenance(self) -> None:
        while True:
            started_at = self._clock.now()
            await self._clock.sleep(self._timings.period)
            now = self._clock.now()
            stall_s = now - started_at - self._timings.period
            if stall_s > self._timings.probe_timeout:
                # Refutations that arrived while this process was stalled are not read yet.
                self._roster.extend_suspicions(stall_s)
            for entry in self._roster.expired_suspects(now):
                self._gossip.publish(entry.to_item())
            self._publish_load(now)
            for host in self._roster.remove_expired_dead(now):
                self._table.remove(HOSTS_TOPIC, host)
                self._table.remove(LOAD_TOPIC, host)
            self._table.remove_expired(now - self._timings.dead_retention)

    async def _rejoin_periodically(self) -> None:
        """Contact hosts without contact, so that two parts of a partitioned fleet rejoin."""
        wait = self._timings.rejoin_period
        while True:
            await self._clock.sleep(self._jittered(wait))
            dead = [entry.record.links for entry in self._roster.dead_neighbours()]
            unreachable = dead + self._seeds_without_contact()
            wait = min(wait * 2, self._timings.max_rejoin_period)
            if dead or len(self._roster) == 1:
                wait = self._timings.rejoin_period
            if unreachable:
                # The loop does not wait: an unresponsive host must not delay the next attempt.
                address = unreachable[self._random.randrange(0, len(unreachable))]
                self._start(self._anti_entropy.sync_with(address))

    def _seeds_without_contact(self) -> list[str]:
        return self._without_contact(self._seeds)

    def _without_contact(self, links: Sequence[str]) -> list[str]:
        with_contact = {
            entry.record.links
            for entry in self._roster.entries()
            if entry.state is not HostState.DEAD
        }
        return [address for address in links if address not in with_contact]

    def _publish_load(self, now: float) -> None:
        min_interval = self._roster.size_of_own_place() / self._timings.load_items_per_s
        max_interval = max(self._timings.load_period, min_interval)
        changed = abs(self._load - self._published_load) >= self._timings.load_step
        if now - self._load_published_at >= (min_interval if changed else max_interval):
            self._load_published_at = now
            self._load_number += 1
            self._published_load = self._load
            version = (self._roster.own.version.incarnation, self._load_number)
            item = encode_load(LOAD_TOPIC, self._host, version, self._load, self._place)
            self._gossip.publish(item)
        if now - self._place_load_published_at >= self._timings.load_period:
            self._place_load_published_at = now
            self._publish_place_load()

    def _publish_place_load(self) -> None:
        """Publish the mean load of this place, if this host is its first delegate."""
        local = [view for view in self.alive() if view.place == self._place]
        if self._host not in Rings(view.host for view in local).delegates()[:1]:
            return
        mean = sum(view.load for view in local) / len(local)
        stored = self._table.get(PLACE_LOAD_TOPIC, self._place)
        version = (stored.version[0] + 1 if stored else 1,)
        self._gossip.publish(encode_load(PLACE_LOAD_TOPIC, self._place, version, mean))

    def _gossip_peers(self) -> list[GossipPeer]:
        return [
            GossipPeer(entry.host, entry.record.place, entry.record.links)
            for entry in self._roster.neighbours()
        ]

    def _on_probe_reply(self, entry: Entry, reply: ProbeReply) -> None:
        if self._anti_entropy.is_due(entry.host, entry.record.place, reply):
            self._start(self._anti_entropy.sync_with(entry.record.links))

    def _on_host_item(self, item: Item) -> None:
        now = self._clock.now()
        before = self._roster.entry(item.key)
        was_superseded = self._roster.is_superseded
        answer = self._roster.apply(item, now)
        self._views = None
        if answer is not None:
            self._gossip.publish(answer.to_item())
        after = self._roster.entry(item.key)
        if after is not None and (before is None or before.state is not after.state):
            log_event("INFO", "host_changed", changed=after.host, state=after.state)
        if self._roster.is_superseded and not was_superseded:
            log_event("ERROR", "host_superseded", incarnation=item.version[0])

    async def _answer_probe(self, request: ProbeRequest, peer: Peer) -> Result[ProbeReply, Refusal]:
        self._gossip.merge(request.items, peer.host)
        items = self._gossip.select_items(peer.place)
        reply = ProbeReply(self._host, items, self._table.fleet_digest, self._table.place_digest)
        return Ok(reply)

    async def _answer_indirect_probe(
        self, request: IndirectProbeRequest, peer: Peer
    ) -> Result[IndirectProbeReply, Refusal]:
        if request.timeout > _MAX_INDIRECT_PROBE_TIMEOUT_S:
            return Err(Refusal(ErrorKind.MALFORMED, "the timeout exceeds the maximum", "timeout"))
        reply = await self._prober.probe_once(request.host, request.links, request.timeout)
        return Ok(IndirectProbeReply(reply is not None))

    async def _answer_push(self, request: PushRequest, peer: Peer) -> Result[PushReply, Refusal]:
        self._gossip.merge(request.items, peer.host)
        return Ok(PushReply())

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(1.0 - _JITTER_FRACTION, 1.0 + _JITTER_FRACTION)

    def _start(self, work: Coroutine[Any, Any, _T]) -> asyncio.Task[_T]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
