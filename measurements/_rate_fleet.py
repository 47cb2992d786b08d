"""Play targets that name rates against the real routers of many hosts, in virtual time.

There is no network: what hosts tell each other arrives after a delay, unless one of them is down or
cut off. Everything that decides is the product's own.
"""

import asyncio
import bisect
from collections.abc import Sequence
from random import Random
from typing import Any, NamedTuple, cast

import msgspec
from result import Err, Ok, Result

from cranberrywall.configuration import ColdStart
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import HostState, HostView, Item
from cranberrywall.links import Method, Peer
from cranberrywall.rates import RateNotice, TargetRates, make_rates
from cranberrywall.routing import Demand, Outcome, OutcomeKind, TargetRouter, make_router
from cranberrywall.targets import Announcement, Targets, make_targets
from measurements._router_fleet import EXPIRE_S, KIND, LINK_S, SERVICE, FleetConfiguration
from measurements._virtual_time import VirtualClock

WINDOW_S = 4.0
USE_WINDOW_S = 20.0
FULL_SHARE = 0.9
HEARD_S = 0.5
"""Hosts have heard of a rate so long after the first one did, in seconds."""

BURST_SENDER = "w-0"
SUSPECTED_S = (0.8, 1.6)
DEAD_AFTER_S = 2.0
BACK_S = 0.3


class Fault(NamedTuple):
    """Take hosts away: ``kind`` is ``kill``, ``cut``, ``freeze`` or ``kill_coordinator``.

    Killed hosts are back, with an empty memory, after ``for_s`` seconds.
    """

    kind: str
    at: float
    for_s: float
    hosts: tuple[int, ...] = ()


class RateSchedule(NamedTuple):
    """Describe one schedule.

    ``targets`` serve alike; ``in_need`` of them name ``per_s`` from ``named_at`` on, until
    ``over_at``. Requests come ``asked_per_s`` in all, each with ``deadline_s``, of ``workspaces``;
    the first one sends a ``burst_share`` of them. ``keeps`` is False for hosts that take no rate
    in, as before. ``spread_s`` is how long news takes to a host, at the median.
    """

    seed: int = 0
    hosts: int = 8
    targets: int = 1
    in_need: int = 1
    per_s: float = 1.0
    asked_per_s: float = 30.0
    deadline_s: float = 2.0
    lasts_s: float = 0.05
    seconds: float = 50.0
    named_at: float = 5.0
    over_at: float = float("inf")
    workspaces: int = 3
    ranks: int = 2
    burst_share: float = 0.0
    spread_s: float = 0.015
    faults: tuple[Fault, ...] = ()
    keeps: bool = True


class RateOutcome(NamedTuple):
    """Count what a schedule did.

    ``most`` is the most arrivals in 4 s at one target in need, of all hosts, from half a second
    after the first host heard the rate; ``bound`` what it is held to. ``least_use`` is the smallest
    share of its rate that arrived in some 20 s. ``held_s`` is the longest that a request was kept
    waiting before it was refused. ``least_part`` is the smallest share of its even part, or of what
    it asked where that is less, that a workspace got which sent no burst; it is for schedules in
    which all targets are in need. ``full_after_s`` is when, after its need was over, a target had
    in a second nine tenths of what callers ask for.
    """

    most: int
    bound: float
    least_use: float
    asked: int
    served: int
    refused: int
    late: int
    held_s: float
    messages_per_s: float
    bytes_per_s: float
    items: int
    least_part: float
    full_after_s: float


class _Spread:
    def __init__(self, host: "_Host", fleet: "RateFleet") -> None:
        self._host = host
        self._fleet = fleet
        self.item_by_key: dict[tuple[str, str], Item] = {}
        self._receive_by_topic: dict[str, Any] = {}

    def subscribe(self, topic: str, receive: Any) -> None:
        self._receive_by_topic[topic] = receive

    def publish(self, item: Item) -> None:
        self._fleet.items += 1
        self.take(item)
        loop = asyncio.get_running_loop()
        for peer in self._fleet.hosts:
            if peer is not self._host:
                wait_s = self._fleet.schedule.spread_s * self._fleet.random.uniform(0.5, 2.0)
                loop.call_later(wait_s, self._pass_to, peer, item)

    def items(self, topic: str) -> Sequence[Item]:
        return [item for item in self.item_by_key.values() if item.topic == topic]

    def take(self, item: Item) -> None:
        key = (item.topic, item.key)
        held = self.item_by_key.get(key)
        if held is None or item.version > held.version:
            self.item_by_key[key] = item
            if item.topic in self._receive_by_topic:
                self._receive_by_topic[item.topic](item)

    def _pass_to(self, peer: "_Host", item: Item) -> None:
        if self._fleet.reaches(self._host, peer):
            peer.gossip.take(item)


class _Links:
    """Call and answer calls, through the fleet's imagined network."""

    def __init__(self, host: "_Host", fleet: "RateFleet") -> None:
        self._host = host
        self._fleet = fleet
        self.handler_by_method: dict[str, Any] = {}

    def register(self, method: Method[Any, Any], handler: Any) -> None:
        self.handler_by_method[method.name] = handler

    async def call(
        self, address: str, method: Method[Any, Any], request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        try:
            async with asyncio.timeout(timeout):
                return await self._call(address, method, request)
        except TimeoutError:
            return Err(Refusal(ErrorKind.TIMEOUT))

    async def _call(
        self, address: str, method: Method[Any, Any], request: Any
    ) -> Result[Any, Refusal]:
        peer = self._fleet.host_by_name[address]
        await self._travel(peer, request)
        handler = peer.links.handler_by_method[method.name]
        answered = await handler(request, Peer(self._host.name, "p", 1))
        if isinstance(answered, Ok):
            await self._travel(peer, answered.ok_value)
        return cast(Result[Any, Refusal], answered)

    async def _travel(self, peer: "_Host", message: Any) -> None:
        self._fleet.messages += 1
        self._fleet.message_bytes += len(msgspec.msgpack.encode(message))
        await asyncio.sleep(self._fleet.random.uniform(*LINK_S))
        while not self._fleet.reaches(self._host, peer):
            await asyncio.sleep(0.5)


class _Membership:
    def __init__(self, host: "_Host", fleet: "RateFleet") -> None:
        self._host = host
        self._fleet = fleet
        self.gossip: Any = host.gossip
        self._views: list[HostView] = []
        self._views_at = float("-inf")

    def alive(self) -> Sequence[HostView]:
        return [view for view in self.all() if view.state is HostState.ALIVE]

    def all(self) -> Sequence[HostView]:
        now = asyncio.get_running_loop().time()
        fleet = self._fleet
        if not fleet.schedule.faults:
            # All see the same, which is seen once: many hosts that each look cost minutes.
            if len(fleet.calm_views) != len(fleet.hosts):
                fleet.calm_views = [self._view(peer, now) for peer in fleet.hosts]
            return fleet.calm_views
        if now - self._views_at > 0.2:
            self._views_at = now
            self._views = [self._view(peer, now) for peer in self._fleet.hosts]
        return self._views

    def by_host(self, host: str) -> HostView | None:
        return next((view for view in self.all() if view.host == host), None)

    def _view(self, peer: "_Host", now: float) -> HostView:
        state = HostState.ALIVE
        lost_since = self._fleet.lost_since(self._host, peer)
        if lost_since is not None and now - lost_since > self._fleet.suspected_s:
            dead_at = lost_since + self._fleet.suspected_s + DEAD_AFTER_S
            state = HostState.DEAD if now > dead_at else HostState.SUSPECT
        return HostView(peer.name, "p", peer.name, peer.name, 1, state, 0.0)


class _Host:
    def __init__(self, number: int, fleet: "RateFleet") -> None:
        self.number = number
        self.name = f"entry-{number}"
        self.fleet = fleet
        self.down_until = 0.0
        self.frozen_until = 0.0
        self.start()

    def start(self) -> None:
        """Begin with an empty memory."""
        fleet = self.fleet
        clock = VirtualClock()
        self.targets: Targets = make_targets()
        self.gossip = _Spread(self, fleet)
        self.links = _Links(self, fleet)
        membership: Any = _Membership(self, fleet)
        links: Any = self.links
        self.rates: TargetRates = make_rates(
            self.name,
            self.targets,
            membership,
            links,
            links,
            clock,
            fleet.random,
            fleet.configuration,
        )
        self.router: TargetRouter = make_router(
            self.targets,
            fleet.configuration,
            clock,
            fleet.random,
            self.name,
            "p",
            lambda: fleet.schedule.hosts,
            rates=self.rates,
        )
        for target in fleet.targets:
            self.targets.apply(target.announcement, clock.now())


class _Target:
    def __init__(self, number: int) -> None:
        name = f"t-{number}"
        url = f"http://10.0.0.1:{1000 + number}"
        self.announcement = Announcement(name, 1, 1, KIND, SERVICE, "p", url, 1000)
        self.arrived_at: list[float] = []
        self.first_named_at = float("inf")
        self.notice = RateNotice()


class RateFleet:
    """Hold hosts, targets and callers of one schedule."""

    def __init__(self, schedule: RateSchedule, cold_start: ColdStart | None = None) -> None:
        self.schedule = schedule
        self.configuration = FleetConfiguration(cold_start)
        self.random = Random(schedule.seed)
        self.suspected_s = self.random.uniform(*SUSPECTED_S)
        self.targets = [_Target(number) for number in range(schedule.targets)]
        self.calm_views: list[HostView] = []
        self.hosts: list[_Host] = []
        for number in range(schedule.hosts):
            self.hosts.append(_Host(number, self))
        self.host_by_name = {host.name: host for host in self.hosts}
        self.items = self.messages = self.message_bytes = 0
        self.asked = self.served = self.refused = self.late = 0
        self.held_s = 0.0
        self.asked_by_workspace: dict[str, int] = {}
        self.served_by_workspace: dict[str, int] = {}
        self._cuts: list[Fault] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def reaches(self, one: _Host, other: _Host) -> bool:
        """Say whether a message gets from one host to another now."""
        return self.lost_since(one, other) is None

    def lost_since(self, one: _Host, other: _Host) -> float | None:
        """Return since when two hosts have lost touch."""
        now = asyncio.get_running_loop().time()
        if one is other:
            return None
        for fault in self.schedule.faults:
            if not fault.at <= now < fault.at + fault.for_s:
                continue
            hit = set(fault.hosts)
            if fault.kind == "cut" and (one.number in hit) != (other.number in hit):
                return fault.at
            if fault.kind != "cut" and ({one.number, other.number} & hit):
                return fault.at
        return None

    def is_up(self, host: _Host) -> bool:
        """Say whether a host serves callers now."""
        now = asyncio.get_running_loop().time()
        return not any(
            fault.kind != "cut"
            and host.number in fault.hosts
            and fault.at <= now < fault.at + fault.for_s
            for fault in self.schedule.faults
        )

    async def play(self) -> RateOutcome:
        """Play the schedule to its end."""
        self.spawn(self._name_rates())
        self.spawn(self._expire())
        self.start_more()
        for fault in self.schedule.faults:
            if fault.kind == "kill":
                self.spawn(self._restart(fault))
        await self._ask()
        await asyncio.sleep(self.schedule.deadline_s + 1.0)
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            host.rates.close()
        return self._outcome()

    def start_more(self) -> None:
        """Start what a kind of fleet plays besides."""

    def spawn(self, work: Any) -> None:
        """Run a coroutine until the schedule ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _name_rates(self) -> None:
        await asyncio.sleep(self.schedule.named_at)
        for target in self.targets[: self.schedule.in_need]:
            target.notice = RateNotice(self.schedule.per_s)
        if self.schedule.over_at < float("inf"):
            await asyncio.sleep(self.schedule.over_at - self.schedule.named_at)
            for target in self.targets:
                target.notice = RateNotice()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            for host in self.hosts:
                host.rates.expire(asyncio.get_running_loop().time())

    async def _restart(self, fault: Fault) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(fault.at + fault.for_s - loop.time())
        for number in fault.hosts:
            host = self.hosts[number]
            host.rates.close()
            host.start()
            others = [peer for peer in self.hosts if peer is not host and self.is_up(peer)]
            if others:
                for item in list(others[0].gossip.item_by_key.values()):
                    host.gossip.take(item)

    async def _ask(self) -> None:
        loop = asyncio.get_running_loop()
        schedule = self.schedule
        while loop.time() < schedule.seconds:
            await asyncio.sleep(self.random.expovariate(schedule.asked_per_s))
            name = f"w-{self.random.randrange(schedule.workspaces)}"
            if self.random.random() < schedule.burst_share:
                name = BURST_SENDER
            self.spawn(self._call(name, self.random.randrange(schedule.ranks)))

    async def _call(self, workspace: str, rank: int) -> None:
        loop = asyncio.get_running_loop()
        up = [host for host in self.hosts if self.is_up(host)]
        host = self.random.choice(up)
        began = loop.time()
        in_need = began > self.schedule.named_at + HEARD_S
        self.asked += in_need
        if in_need:
            asked = self.asked_by_workspace
            asked[workspace] = asked.get(workspace, 0) + 1
        deadline = began + self.schedule.deadline_s
        demand = Demand("", KIND, SERVICE, "", "", rank, deadline, 1, caller=workspace)
        acquired = await host.router.acquire(demand, began)
        if not self.is_up(host):
            return
        if isinstance(acquired, Err):
            waited = loop.time() - began
            self.refused += in_need
            self.held_s = max(self.held_s, waited)
            self.late += waited >= self.schedule.deadline_s
            return
        slot = acquired.ok_value
        await asyncio.sleep(self.random.uniform(*LINK_S))
        target = next(one for one in self.targets if one.announcement.target == slot.target_id)
        target.arrived_at.append(loop.time())
        notice = target.notice
        await asyncio.sleep(self.schedule.lasts_s * self.random.uniform(0.3, 2.0))
        if not self.is_up(host):
            return
        if notice.per_s is not None:
            target.first_named_at = min(target.first_named_at, loop.time())
        if self.schedule.keeps:
            slot.record_rate(notice, True, "id", loop.time())
        slot.finish(Outcome(OutcomeKind.ANSWERED), loop.time())
        self.served += in_need
        if in_need:
            served = self.served_by_workspace
            served[workspace] = served.get(workspace, 0) + 1

    def _least_part(self) -> float:
        schedule = self.schedule
        span_s = schedule.seconds - schedule.named_at - HEARD_S
        even = schedule.per_s * schedule.in_need * span_s / schedule.workspaces
        parts = [
            self.served_by_workspace.get(name, 0) / min(asked, even)
            for name, asked in self.asked_by_workspace.items()
            if name != BURST_SENDER and even
        ]
        return min(parts, default=0.0)

    def _outcome(self) -> RateOutcome:
        schedule = self.schedule
        needy = self.targets[: schedule.in_need]
        span_s = schedule.seconds - schedule.named_at
        until = min(schedule.over_at, schedule.seconds)
        return RateOutcome(
            max((_most(target, until) for target in needy), default=0),
            WINDOW_S * schedule.per_s + 3,
            min((_least_use(target, schedule.per_s, until) for target in needy), default=0.0),
            self.asked,
            self.served,
            self.refused,
            self.late,
            self.held_s,
            self.messages / span_s,
            self.message_bytes / span_s,
            self.items,
            self._least_part(),
            max((_full_after(target, schedule) for target in needy), default=0.0),
        )


def _most(target: _Target, until: float) -> int:
    since = target.first_named_at + HEARD_S
    times = [at for at in target.arrived_at if since < at < until]
    counts = (bisect.bisect_left(times, at + WINDOW_S) - n for n, at in enumerate(times))
    return max(counts, default=0)


def _least_use(target: _Target, per_s: float, until: float) -> float:
    """Return the smallest share of the rate in windows that begin half a second apart."""
    begin = target.first_named_at + HEARD_S
    shares = []
    while begin + USE_WINDOW_S <= until:
        arrived = sum(begin <= at < begin + USE_WINDOW_S for at in target.arrived_at)
        shares.append(arrived / max(per_s * USE_WINDOW_S, 1e-9))
        begin += 0.5
    return min(shares, default=0.0)


def _full_after(target: _Target, schedule: RateSchedule) -> float:
    """Return the seconds from the first arrival after the need to a second of nearly all work."""
    if schedule.over_at >= schedule.seconds:
        return 0.0
    times = [at for at in target.arrived_at if at >= schedule.over_at]
    wanted = FULL_SHARE * schedule.asked_per_s / schedule.targets
    for begin in times[1:]:
        if sum(begin <= at < begin + 1.0 for at in times) >= wanted:
            return begin - times[0]
    return float("inf")


async def play(schedule: RateSchedule) -> RateOutcome:
    """Play one schedule."""
    return await RateFleet(schedule).play()
