"""Fleet of quarantines in virtual time, with targets that end if a test says so."""

from collections.abc import Awaitable, Callable
from typing import Any

from cranberrywall.hosts import RecordedGossip
from cranberrywall.quarantine import (
    NO_TRAITS,
    RECORD_LIFETIME_BY_TOPIC,
    Fingerprint,
    Quarantine,
    Run,
    RunEnd,
    RunTracker,
    Traits,
    fingerprint_of,
    traits_of,
)
from cranberrywall.records import RecordClient, RecordStore
from cranberrywall.targets import Targets, make_targets
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.links import Switchboard
from tests.fakes.spread import MemorySpread
from tests.quarantine.scene import ScriptedNetwork, announcement

EVALUATION_S = 0.3
"""Time in which hosts exchange their reports and evaluate them, in seconds."""


def fingerprint_for(name: str) -> Fingerprint:
    return fingerprint_of("desk", f"/letters/{name}", b"")


def traits_for(prompt: str, workspace: str = "desk", service: str = "letters") -> Traits:
    """Return the traits of a prompt, whose parts are the words of ``prompt``."""
    return traits_of(prompt.split(), workspace, service)


class Host:
    """One host's quarantine; ``stopped`` lists the runs that it stopped early."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.name = name
        self.fleet = fleet
        self.targets: Targets = make_targets()
        self.gossip = MemorySpread()
        self.stopped: list[str] = []
        network: Any = fleet.network  # only ``dial`` is called
        tracker = RunTracker(self.targets, network, fleet.clock)
        records = RecordClient(lambda: fleet.controls, fleet.board.caller(name), fleet.clock)
        self.recorded = RecordedGossip(self.gossip, records, fleet.clock, RECORD_LIFETIME_BY_TOPIC)
        self.quarantine = Quarantine(name, tracker, self.recorded, self.recorded.clock)
        for port in fleet.ports:
            self.targets.apply(announcement(f"t{port}", port), fleet.clock.now())

    def send(
        self, request: str, target: int, answered: bool = True, traits: Traits = NO_TRAITS
    ) -> Run:
        """Send a request to a target, which starts to answer immediately if ``answered``."""
        run = self.quarantine.tracker.begin(
            request, f"t{target}", fingerprint_for(request), True, traits
        )
        if answered:
            run.answered_at = self.fleet.clock.now()
        run.on_stop = lambda: self.stopped.append(request)
        return run

    def finish(self, run: Run, end: RunEnd) -> None:
        port = int(run.target_incarnation.target.removeprefix("t"))
        now = self.fleet.clock.now()
        self.quarantine.tracker.finish(run, end, f"http://10.0.0.1:{port}", now)

    def refuses(self, request: str, traits: Traits = NO_TRAITS) -> bool:
        now = self.fleet.clock.now()
        return self.quarantine.check(fingerprint_for(request), now, traits) is not None

    def refuses_prompt(self, prompt: str, **limits: str) -> bool:
        """Return whether a new request with this prompt is refused."""
        return self.refuses(self.fleet.new_name(), traits_for(prompt, **limits))

    async def answer(self, prompt: str, **limits: str) -> None:
        """Let a target answer a new request with this prompt completely."""
        run = self.send(self.fleet.new_name(), 40, traits=traits_for(prompt, **limits))
        self.finish(run, RunEnd.WHOLE)


class Fleet:
    """Hosts that receive each other's items, and forty targets."""

    def __init__(self, hosts: int, controls: int = 0) -> None:
        self.clock = VirtualClock()
        self.network = ScriptedNetwork()
        self.ports = range(1, 41)
        self.board = Switchboard()
        self.controls = [f"control-{number}" for number in range(controls)]
        for name in self.controls:
            store = RecordStore(lambda: (), self.board.caller(name), self.clock, None)
            store.register(self.board.server(name))
        self.hosts = [Host(f"entry-{number}", self) for number in range(hosts)]
        self.connect()
        self._next = 0
        self._names = 0

    def connect(self) -> None:
        for host in self.hosts:
            host.gossip.join([other.gossip for other in self.hosts])

    def add(self) -> Host:
        """Start one more host, which receives the items of the others."""
        host = Host(f"entry-{len(self.hosts)}", self)
        self.hosts.append(host)
        self.connect()
        return host

    async def restart_all(self) -> None:
        """Let all hosts lose power at the same moment and start again."""
        await self.clock.sleep(0.1)
        self.hosts = [Host(host.name, self) for host in self.hosts]
        self.connect()
        for host in self.hosts:
            assert await host.recorded.restore(0.3)

    async def pass_time(self, seconds: float) -> None:
        """Let time pass, and all hosts remove what is too old."""
        until = self.clock.now() + seconds
        while (remaining_s := until - self.clock.now()) > 0.0:
            await self.clock.sleep(min(1.0, remaining_s))
            for host in self.hosts:
                host.quarantine.expire(self.clock.now())

    def next_target(self) -> int:
        self._next += 1
        return self._next

    def new_name(self) -> str:
        self._names += 1
        return f"letter-{self._names}"

    async def end(self, *runs: tuple[Host, Run]) -> None:
        """End one target with all these runs, and wait until all hosts have the reports."""
        self.network.refuses.add(
            f"10.0.0.1:{runs[0][1].target_incarnation.target.removeprefix('t')}"
        )
        for host, run in runs:
            host.finish(run, RunEnd.BROKEN)
        await self.clock.sleep(EVALUATION_S)

    async def end_under(self, host: Host, *requests: str, age_s: float = 0.05) -> None:
        """Let a new target end while it runs these requests of one host."""
        target = self.next_target()
        runs = [(host, host.send(request, target)) for request in requests]
        await self.clock.sleep(age_s)
        await self.end(*runs)

    async def end_under_prompts(self, host: Host, *prompts: str, **limits: str) -> None:
        """Let a new target end while it answers a new request with each of these prompts."""
        target = self.next_target()
        runs = [
            (host, host.send(self.new_name(), target, traits=traits_for(prompt, **limits)))
            for prompt in prompts
        ]
        await self.clock.sleep(0.05)
        await self.end(*runs)


def run_fleet(
    scenario: Callable[[Fleet], Awaitable[None]], hosts: int = 3, controls: int = 0
) -> None:
    async def main() -> None:
        fleet = Fleet(hosts, controls)
        await scenario(fleet)
        for host in fleet.hosts:
            host.quarantine.close()

    run_virtual(main())
