"""Drive a trace through a scheme, or through the real allotments, and count refusals.

A refusal is false where a ledger that knew every side's true state had the money at that
moment: credits less what was settled anywhere less what is held by requests in progress.
"""

import asyncio
import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Mapping
from functools import partial
from typing import NamedTuple

from result import Err

from cranberrywall.budgets import Reservation, ReserveRequest, SpendPolicy
from cranberrywall.budgets.ledger import make_ledger_machine
from cranberrywall.budgets.messages import LEDGER_CODEC, BudgetQuery
from cranberrywall.errors import ErrorKind
from cranberrywall.runtime import Storage
from measurements._budget_trace import Cut, Death, Deployment, Request, TopUp, Trace
from tests.fakes.clock import VirtualClock
from tests.fakes.money import LEDGER, MoneyFleet
from tests.fakes.storage import FakeStorage
from tests.naive.budget_schemes import Hold, Scheme


class Outcome(NamedTuple):
    """Sum up one run."""

    requests: int
    refusals: int
    false_refusals: int
    overspend: int
    unbilled: int
    lost_with_host: int
    calls: int


class TrueState:
    """Know what every side spent and holds."""

    def __init__(self) -> None:
        self.credited: dict[str, int] = defaultdict(int)
        self.settled: dict[str, int] = defaultdict(int)
        self.held: dict[str, int] = defaultdict(int)
        self.refusals = 0
        self.false_refusals = 0
        self.false_by_budget: dict[str, int] = defaultdict(int)
        self.overspend: dict[str, int] = defaultdict(int)
        self.lost_with_host = 0

    def refuse(self, request: Request) -> None:
        """Count a refusal, and whether it was false."""
        self.refusals += 1
        budget = request.budget
        if request.bound <= self.credited[budget] - self.settled[budget] - self.held[budget]:
            self.false_refusals += 1
            self.false_by_budget[budget] += 1

    def settle(self, request: Request) -> None:
        """Count a settled request."""
        budget = request.budget
        self.held[budget] -= request.bound
        self.settled[budget] += request.actual
        over = self.settled[budget] - self.credited[budget]
        self.overspend[budget] = max(self.overspend[budget], over)

    def lose(self, request: Request) -> None:
        """Count an answer that was not whole: its charge was lost with its host."""
        self.settled[request.budget] -= request.actual
        self.lost_with_host += 1

    def outcome(self, requests: int, unbilled: int, calls: int) -> Outcome:
        """Return the sums."""
        overspend = sum(max(0, over) for over in self.overspend.values())
        return Outcome(
            requests,
            self.refusals,
            self.false_refusals,
            overspend,
            unbilled,
            self.lost_with_host,
            calls,
        )


def hosts_of(
    request: Request, deployment: Deployment, is_up: Callable[[str], bool], cut: Cut | None
) -> list[str]:
    """Return the two addresses that the caller tries, those in its place first.

    Each is up, and on the caller's side of a cut of places. A caller that is refused
    without the ledger's word tries the second one, in every scheme.
    """
    away = cut.away if cut is not None else frozenset()
    hosts = [
        host
        for host, place in deployment.place_by_host.items()
        if is_up(host) and (place in away) == (request.place in away)
    ]
    near = [host for host in hosts if deployment.place_by_host[host] == request.place]
    far = [host for host in hosts if host not in near]
    return (_from(near, request.pick) + _from(far, request.pick))[:2]


def _from(hosts: list[str], pick: float) -> list[str]:
    start = int(pick * len(hosts))
    return hosts[start:] + hosts[:start]


def away_hosts(cut: Cut, deployment: Deployment) -> frozenset[str]:
    """Return the hosts that a cut puts on the side of ``away``."""
    return frozenset(
        host
        for host, place in deployment.place_by_host.items()
        if host in cut.away or place in cut.away
    )


def run_scheme(trace: Trace, scheme: Scheme) -> Outcome:
    """Drive a trace through a naive scheme."""
    return _SchemeRun(trace, scheme).run()


class _SchemeRun:
    def __init__(self, trace: Trace, scheme: Scheme) -> None:
        self._trace = trace
        self._scheme = scheme
        self._true = TrueState()
        self._down: set[str] = set()
        self._now_cut: Cut | None = None
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._open: dict[str, set[tuple[Request, Hold]]] = defaultdict(set)

    def run(self) -> Outcome:
        trace = self._trace
        everybody = frozenset(trace.deployment.place_by_host)
        for top_up in trace.top_ups:
            self._at(top_up.at, self._credit(top_up))
        for cut in trace.cuts:
            with_ledger = everybody - away_hosts(cut, trace.deployment)
            self._at(cut.at, partial(self._cut, cut, with_ledger))
            self._at(cut.ends_at, partial(self._cut, None, everybody))
        for death in trace.deaths:
            self._at(death.at, self._die(death))
            self._at(death.back_at, partial(self._come_back, death.host))
        for request in trace.requests:
            self._at(request.at, self._arrive(request))
        while self._queue:
            now, _, action = heapq.heappop(self._queue)
            action(now)
        return self._true.outcome(len(trace.requests), 0, 0)

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), action))

    def _cut(self, cut: Cut | None, with_ledger: frozenset[str], now: float) -> None:
        self._now_cut = cut
        self._scheme.cut(with_ledger, now)

    def _come_back(self, host: str, now: float) -> None:
        self._down.discard(host)

    def _credit(self, top_up: TopUp) -> Callable[[float], None]:
        def credit(now: float) -> None:
            self._true.credited[top_up.budget] += top_up.amount
            self._scheme.credit(top_up.budget, top_up.amount, now)

        return credit

    def _die(self, death: Death) -> Callable[[float], None]:
        def die(now: float) -> None:
            self._down.add(death.host)
            self._scheme.die(death.host, now)
            for request, hold in self._open.pop(death.host, ()):
                # What the naive schemes do about a lost host's open requests: their money
                # is free again at once, which is more than any of them could know.
                self._true.held[request.budget] -= request.bound
                self._scheme.settle(hold, 0, now)

        return die

    def _arrive(self, request: Request) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            deployment = self._trace.deployment
            hosts = hosts_of(request, deployment, lambda one: one not in self._down, self._now_cut)
            for host in hosts:
                hold = self._scheme.reserve(host, request.budget, request.bound, now)
                if hold is not None:
                    self._true.held[request.budget] += request.bound
                    self._open[host].add((request, hold))
                    self._at(now + request.takes_s, self._end(request, hold))
                    return
            if hosts:
                self._true.refuse(request)

        return arrive

    def _end(self, request: Request, hold: Hold) -> Callable[[float], None]:
        def end(now: float) -> None:
            if (request, hold) not in self._open[hold.host]:
                return
            self._open[hold.host].discard((request, hold))
            self._true.settle(request)
            self._scheme.settle(hold, request.actual, now)

        return end


async def run_allotments(
    trace: Trace, policy: SpendPolicy, disks: frozenset[str], seed: int = 1
) -> Outcome:
    """Drive a trace through the real allotments and ledger; call it in virtual time."""
    return await _AllotmentsRun(trace, policy, disks, seed).run()


class _AllotmentsRun:
    def __init__(self, trace: Trace, policy: SpendPolicy, disks: frozenset[str], seed: int) -> None:
        self._trace = trace
        self._true = TrueState()
        self._clock = VirtualClock()
        self._machine = make_ledger_machine()
        storages: Mapping[str, Storage] = {host: FakeStorage() for host in sorted(disks)}
        self._fleet = MoneyFleet(
            trace.deployment.place_by_host,
            self._machine,
            self._clock,
            random.Random(seed),
            policy,
            storages,
        )
        self._tasks_by_host: dict[str, set[asyncio.Task[None]]] = defaultdict(set)
        self._now_cut: Cut | None = None
        self._in_memory: dict[str, list[Request]] = defaultdict(list)

    async def run(self) -> Outcome:
        trace = self._trace
        await self._fleet.start()
        events: list[tuple[float, int, Callable[[], None]]] = []
        order = itertools.count()
        for top_up in trace.top_ups:
            events.append((top_up.at, next(order), partial(self._credit, top_up)))
        for cut in trace.cuts:
            events.append((cut.at, next(order), partial(self._cut, cut)))
            events.append((cut.ends_at, next(order), self._mend))
        for death in trace.deaths:
            events.append((death.at, next(order), partial(self._die, death)))
        for request in trace.requests:
            events.append((request.at, next(order), partial(self._arrive, request)))
        for at, _, action in sorted(events):
            wait = at - self._clock.now()
            if wait > 0.0:
                await self._clock.sleep(wait)
            action()
        await self._clock.sleep(600.0)
        unbilled = sum(self._true.settled.values()) - self._billed()
        calls = self._fleet.net.calls
        await self._fleet.stop()
        return self._true.outcome(len(trace.requests), unbilled, calls)

    def _billed(self) -> int:
        billed = 0
        for budget in self._true.credited:
            query = LEDGER_CODEC.encode(BudgetQuery(budget))
            billed += LEDGER_CODEC.decode(self._machine.query(query)).charged
        return billed

    def _credit(self, top_up: TopUp) -> None:
        self._true.credited[top_up.budget] += top_up.amount
        self._fleet.credit(top_up.budget, top_up.amount, top_up.budget)

    def _mend(self) -> None:
        self._now_cut = None
        self._fleet.net.heal()

    def _cut(self, cut: Cut) -> None:
        self._now_cut = cut
        self._fleet.net.cut(dict.fromkeys(away_hosts(cut, self._trace.deployment), 1))
        assert LEDGER not in self._fleet.net.side_by_node

    def _die(self, death: Death) -> None:
        host = self._fleet.host_by_name[death.host]
        host.is_up = False
        for task in list(self._tasks_by_host.pop(death.host, ())):
            task.cancel()
        self._lose_what_is_in_memory(death.host)
        asyncio.ensure_future(self._restart(death))

    def _lose_what_is_in_memory(self, host: str) -> None:
        net = self._fleet.net
        if net.reaches(host, LEDGER):
            self._in_memory.pop(host, None)
        for request in self._in_memory.pop(host, ()):
            self._true.lose(request)

    async def _restart(self, death: Death) -> None:
        host = self._fleet.host_by_name[death.host]
        await host.kill()
        await self._clock.sleep(death.back_at - death.at)
        await host.start()

    def _arrive(self, request: Request) -> None:
        by_name = self._fleet.host_by_name
        deployment = self._trace.deployment
        hosts = hosts_of(request, deployment, lambda one: by_name[one].is_up, self._now_cut)
        if hosts:
            self._start(hosts, request)

    def _start(self, hosts: list[str], request: Request) -> None:
        task = asyncio.ensure_future(self._serve(hosts, request))
        tasks = self._tasks_by_host[hosts[0]]
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def _serve(self, hosts: list[str], request: Request) -> None:
        host = hosts[0]
        allotments = self._fleet.host_by_name[host].allotments
        now = self._clock.now()
        ask = ReserveRequest(
            request.budget, request.budget, request.id, request.bound, now + request.deadline_s
        )
        answer = await allotments.reserve(ask, now)
        if isinstance(answer, Err):
            is_final = answer.err_value.kind is ErrorKind.BUDGET_EXHAUSTED
            if is_final or not hosts[1:]:
                self._true.refuse(request)
            else:
                self._start(hosts[1:], request)
            return
        self._true.held[request.budget] += request.bound
        try:
            await self._run_request(host, answer.ok_value, request)
        except asyncio.CancelledError:
            self._true.held[request.budget] -= request.bound
            raise

    async def _run_request(self, host: str, reservation: Reservation, request: Request) -> None:
        await self._clock.sleep(request.takes_s)
        settled = await reservation.settle(request.actual, self._clock.now())
        self._true.settle(request)
        if isinstance(settled, Err):
            # The caller is told that the answer is not whole. It is billed if the host
            # lives to reach the ledger.
            self._in_memory[host].append(request)
