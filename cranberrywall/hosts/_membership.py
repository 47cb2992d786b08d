"""Take part in the membership of entry hosts."""

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
    load_item,
)
from cranberrywall.hosts._interfaces import Gossip, HostState, HostView, LiveMembership
from cranberrywall.hosts._pace import MembershipTimings
from cranberrywall.hosts._prober import Prober
from cranberrywall.hosts._ring import Rings
from cranberrywall.hosts._roster import Roster
from cranberrywall.hosts._spread import Contact, Spreading
from cranberrywall.hosts._sync import Syncing
from cranberrywall.hosts._table import Table
from cranberrywall.hosts.messages import (
    ASK,
    PROBE,
    PUSH,
    SYNC,
    AskReply,
    AskRequest,
    Item,
    ProbeReply,
    ProbeRequest,
    PushReply,
    PushRequest,
)
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock, Random

_VIEWS_KEPT_S = 0.2
_LONGEST_ASK_S = 5.0
_JITTER = 0.1
_JOIN_BY = 3
_MET_AT_MOST = 2
_MEET_NEXT_AFTER_S = 0.4
_LONGEST_SYNC_S = 5.0
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
    pace: MembershipTimings | None = None,
) -> LiveMembership:
    """Return the membership of the entry host ``identity``; it answers calls on ``server``.

    ``links`` and ``http`` are the host's own addresses, ``seeds`` the ``links`` addresses
    of some hosts to join by.
    """
    record = HostRecord(identity.place, links, http)
    version = HostVersion(identity.incarnation, leaving=0, number=1, verdict=ALIVE)
    own = Entry(identity.host, record, version)
    membership = _Membership(own, seeds, caller, clock, random, pace or MembershipTimings())
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
        pace: MembershipTimings,
    ) -> None:
        place = own.record.place
        self._host = own.host
        self._place = place
        self._seeds = [seed for seed in seeds if seed != own.record.links]
        self._clock = clock
        self._random = random
        self._pace = pace
        self._table = Table(place)
        self._roster = Roster(own, self._table, pace)
        self._spreading = Spreading(self._table, caller, clock, pace, self._contacts)
        self._syncing = Syncing(own.host, place, self._table, self._spreading, caller, clock, pace)
        self._prober = Prober(
            self._roster,
            self._table,
            self._spreading,
            caller,
            clock,
            random,
            pace,
            self._on_answer,
        )
        self._spreading.subscribe(HOSTS_TOPIC, self._on_host)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._load = 0.0
        self._published_load = 0.0
        self._load_number = 0
        self._load_at = float("-inf")
        self._place_load_at = float("-inf")
        self._alive: list[HostView] | None = None
        self._alive_at = float("-inf")

    @property
    def gossip(self) -> Gossip:
        return self._spreading

    @property
    def is_superseded(self) -> bool:
        return self._roster.is_superseded

    def register(self, server: Server) -> None:
        """Answer the other hosts' calls."""
        server.register(PROBE, self._answer_probe)
        server.register(ASK, self._answer_ask)
        server.register(PUSH, self._answer_push)
        server.register(SYNC, self._syncing.answer)

    def alive(self) -> Sequence[HostView]:
        now = self._clock.now()
        if self._alive is None or now - self._alive_at > _VIEWS_KEPT_S:
            views = self._roster.views(now)
            self._alive = [view for view in views if view.state is HostState.ALIVE]
            self._alive_at = now
        return self._alive

    def by_host(self, host: str) -> HostView | None:
        return self._roster.view(host, self._clock.now())

    def all(self) -> Sequence[HostView]:
        return self._roster.views(self._clock.now())

    def set_load(self, load: float) -> None:
        self._load = load

    def leave(self) -> None:
        self._alive = None
        self._spreading.publish(self._roster.change_own(leaving=True).item())

    async def start(self) -> None:
        self._spreading.publish(self._roster.own.item())
        self._start(self._probe_in_turn())
        self._start(self._keep_house())
        self._start(self._rejoin())
        await self._join()

    async def _join(self) -> None:
        """Compare with a few seeds; where none answers, with the rest.

        Only a few, for every host of a large fleet names the same seeds.
        """
        seeds = list(self._seeds)
        while seeds:
            some = [seeds.pop(self._random.randrange(0, len(seeds))) for _ in seeds[:_JOIN_BY]]
            if await self._sync_with_any(some, next_after_s=0.0):
                return

    async def contact_any(self, links: Sequence[str]) -> None:
        own = self._roster.own.record.links
        strangers = [address for address in self._out_of_touch(links) if address != own]
        count = min(_MET_AT_MOST, len(strangers))
        some = [strangers.pop(self._random.randrange(0, len(strangers))) for _ in range(count)]
        await self._sync_with_any(some, _MEET_NEXT_AFTER_S)

    async def _sync_with_any(self, links: Sequence[str], next_after_s: float) -> bool:
        """Compare with one host after the other, and return whether one has answered.

        The next is tried beside the one before once that took ``next_after_s``. A silent host takes
        the whole timeout of the call, and must not keep this one from knowing the others.
        """
        left: set[asyncio.Task[bool]] = set()
        for address in links:
            left.add(self._start(self._syncing.sync_with(address)))
            if next_after_s and await self._first_true(left, next_after_s):
                return True
        return await self._first_true(left, _LONGEST_SYNC_S)

    async def _first_true(self, tasks: set[asyncio.Task[bool]], within_s: float) -> bool:
        """Return whether one of the tasks ends with true in time; all go on."""
        pause = asyncio.get_running_loop().create_task(self._clock.sleep(within_s))
        left = set(tasks)
        try:
            while left and not pause.done():
                done, _ = await asyncio.wait({*left, pause}, return_when=asyncio.FIRST_COMPLETED)
                left -= done
                if any(task.result() for task in done if task is not pause):
                    return True
            return False
        finally:
            pause.cancel()

    async def close(self) -> None:
        self._spreading.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def state(self) -> dict[str, Any]:
        return {
            "hosts": self.all(),
            "neighbours": [entry.host for entry in self._roster.neighbours()],
            "is_delegate": self._roster.is_delegate(),
            "cut_places": sorted(self._roster.cut_places()),
            "is_superseded": self.is_superseded,
            "changes": dict(self._roster.transitions),
            "items": len(self._table),
            **self._counts(),
        }

    def export(self, metrics: Metrics) -> None:
        metrics.gauges_of(
            "membership_hosts",
            "Hosts known, by what is believed of them.",
            "state",
            self._hosts_by_state,
        )
        metrics.counters_of("membership_events", "What membership did.", "event", self._counts)

    def _hosts_by_state(self) -> dict[str, float]:
        states = [view.state for view in self.all()]
        return {str(state): states.count(state) for state in HostState}

    def _counts(self) -> dict[str, float]:
        return {
            "probes": self._prober.probes,
            "failed_probes": self._prober.failures,
            "suspicions": self._prober.suspicions,
            "syncs": self._syncing.syncs,
            "pushed_bytes": self._spreading.pushed_bytes,
            "delayed_pushes": self._spreading.delayed_pushes,
        }

    async def _probe_in_turn(self) -> None:
        while True:
            for entry in self._prober.next_targets():
                self._start(self._prober.probe(entry))
            await self._clock.sleep(self._jittered(self._pace.period))

    async def _keep_house(self) -> None:
        while True:
            began = self._clock.now()
            await self._clock.sleep(self._pace.period)
            now = self._clock.now()
            overslept = now - began - self._pace.period
            if overslept > self._pace.probe_timeout:
                # The refutations that came while this process stood still are not read yet.
                self._roster.excuse(overslept)
            for entry in self._roster.overdue(now):
                self._spreading.publish(entry.item())
            self._publish_load(now)
            for host in self._roster.forget_dead(now):
                self._table.remove(HOSTS_TOPIC, host)
                self._table.remove(LOAD_TOPIC, host)
            self._table.forget_gone(now - self._pace.forget_after)

    async def _rejoin(self) -> None:
        """Try hosts that are out of touch, so that two parts of a cut fleet find together."""
        wait = self._pace.rejoin_period
        while True:
            await self._clock.sleep(self._jittered(wait))
            former = [entry.record.links for entry in self._roster.former_neighbours()]
            lost = former + self._lost_seeds()
            wait = min(wait * 2, self._pace.rejoin_longest)
            if former or len(self._roster) == 1:
                wait = self._pace.rejoin_period
            if lost:
                # It is not waited for: one that stays silent must not delay the next.
                address = lost[self._random.randrange(0, len(lost))]
                self._start(self._syncing.sync_with(address))

    def _lost_seeds(self) -> list[str]:
        return self._out_of_touch(self._seeds)

    def _out_of_touch(self, links: Sequence[str]) -> list[str]:
        in_touch = {
            entry.record.links
            for entry in self._roster.entries()
            if entry.state is not HostState.DEAD
        }
        return [address for address in links if address not in in_touch]

    def _publish_load(self, now: float) -> None:
        shortest = self._roster.size_of_own_place() / self._pace.load_items_per_s
        longest = max(self._pace.load_period, shortest)
        changed = abs(self._load - self._published_load) >= self._pace.load_step
        if now - self._load_at >= (shortest if changed else longest):
            self._load_at = now
            self._load_number += 1
            self._published_load = self._load
            version = (self._roster.own.version.incarnation, self._load_number)
            item = load_item(LOAD_TOPIC, self._host, version, self._load, self._place)
            self._spreading.publish(item)
        if now - self._place_load_at >= self._pace.load_period:
            self._place_load_at = now
            self._publish_place_load()

    def _publish_place_load(self) -> None:
        """Tell other places the mean load of this one, where it falls to this host."""
        here = [view for view in self.alive() if view.place == self._place]
        if self._host not in Rings(view.host for view in here).delegates()[:1]:
            return
        mean = sum(view.load for view in here) / len(here)
        held = self._table.get(PLACE_LOAD_TOPIC, self._place)
        version = (held.version[0] + 1 if held else 1,)
        self._spreading.publish(load_item(PLACE_LOAD_TOPIC, self._place, version, mean))

    def _contacts(self) -> list[Contact]:
        return [
            Contact(entry.host, entry.record.place, entry.record.links)
            for entry in self._roster.neighbours()
        ]

    def _on_answer(self, entry: Entry, reply: ProbeReply) -> None:
        if self._syncing.is_due(entry.host, entry.record.place, reply):
            self._start(self._syncing.sync_with(entry.record.links))

    def _on_host(self, item: Item) -> None:
        now = self._clock.now()
        before = self._roster.entry(item.key)
        was_superseded = self._roster.is_superseded
        answer = self._roster.take(item, now)
        self._alive = None
        if answer is not None:
            self._spreading.publish(answer.item())
        after = self._roster.entry(item.key)
        if after is not None and (before is None or before.state is not after.state):
            log_event("INFO", "host_changed", changed=after.host, state=after.state)
        if self._roster.is_superseded and not was_superseded:
            log_event("ERROR", "host_superseded", incarnation=item.version[0])

    async def _answer_probe(self, request: ProbeRequest, peer: Peer) -> Result[ProbeReply, Refusal]:
        self._spreading.absorb(request.items, peer.host)
        items = self._spreading.take(peer.place)
        reply = ProbeReply(self._host, items, self._table.fleet_digest, self._table.place_digest)
        return Ok(reply)

    async def _answer_ask(self, request: AskRequest, peer: Peer) -> Result[AskReply, Refusal]:
        if request.timeout > _LONGEST_ASK_S:
            return Err(Refusal(ErrorKind.MALFORMED, "the timeout is too long", "timeout"))
        reply = await self._prober.ask(request.host, request.links, request.timeout)
        return Ok(AskReply(reply is not None))

    async def _answer_push(self, request: PushRequest, peer: Peer) -> Result[PushReply, Refusal]:
        self._spreading.absorb(request.items, peer.host)
        return Ok(PushReply())

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(1.0 - _JITTER, 1.0 + _JITTER)

    def _start(self, work: Coroutine[Any, Any, _T]) -> asyncio.Task[_T]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
