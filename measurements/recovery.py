"""Kill, cut off, tear and wipe five hosts while they commit, and check every history.

Time, network and disks are faked; the histories are checked against a single copy. The
restarts are measured on real files.
"""

import asyncio
import json
import statistics
import tempfile
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple

import click
import uvloop
from loguru import logger
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Peer, make_caller, make_link_server
from cranberrywall.replication import GroupSettings, InitialMembers, Replica, make_group
from cranberrywall.runtime import make_runtime
from measurements._figures import report_figures
from tests.fakes.clock import run_virtual
from tests.fakes.network import Rule
from tests.fakes.storage import SYNC_FAILED
from tests.naive.single_copy import Change, Read, SingleCopy, Verdict, judge
from tests.replication.fleet import KEY, Fleet, FleetHost

if TYPE_CHECKING:
    from loguru import Message

_HOSTS = ("a", "b", "c", "d", "e")
_CLIENTS = 10
_SETTINGS = GroupSettings(snapshot_bytes=3000, retained_entries=30, chunk_bytes=1000)
_TIMEOUT_S = 0.5
_READ_SHARE = 0.3
_PAUSE_S = 2.5
_CLOCK_JUMP_S = 600.0
_CHANGE_S = 2.0
_RESTARTS = 15
_FILL_CONCURRENT = 200
_FILL_TIMEOUT_S = 30.0
_FEW, _MANY = 1_000, 100_000


class History(NamedTuple):
    """Hold what one history gave."""

    verdict: Verdict
    faults: int
    changes: int
    two_leaders: int


class Clients:
    """Send changes and reads, and remember what was answered."""

    def __init__(self, fleet: Fleet, count: int) -> None:
        self.changes: list[Change] = []
        self.reads: list[Read] = []
        self._fleet = fleet
        self._left = count
        self._next_number = 0

    @property
    def are_done(self) -> bool:
        """Say whether all changes are acknowledged."""
        return self._left <= 0

    async def run(self) -> None:
        """Run all clients until every change is acknowledged."""
        await asyncio.gather(*(self._run_one(client) for client in range(_CLIENTS)))

    async def _run_one(self, client: int) -> None:
        while not self.are_done:
            self._next_number += 1
            await self._change(f"{client}-{self._next_number}")
            if self._fleet.random.random() < _READ_SHARE:
                await self._read()
            await self._fleet.clock.sleep(self._fleet.random.uniform(0.0, _PAUSE_S))

    async def _change(self, change_id: str) -> None:
        """Send one change, again and again with its id, to whatever host answers."""
        begun_at = self._fleet.clock.now()
        while True:
            host = self._fleet.random.choice(list(self._fleet.by_name.values()))
            if host.is_up:
                answer = await _in_time(host.group.propose(change_id.encode(), _TIMEOUT_S))
                if isinstance(answer, Ok):
                    break
            await self._fleet.clock.sleep(0.02)
        # A client that lost the first answer sends the change once more.
        if self._fleet.random.random() < 0.1 and host.is_up:
            await _in_time(host.group.propose(change_id.encode(), _TIMEOUT_S))
        self._left -= 1
        now = self._fleet.clock.now()
        self.changes.append(Change(change_id, answer.ok_value, begun_at, now))

    async def _read(self) -> None:
        while True:
            begun_at = self._fleet.clock.now()
            host = self._fleet.random.choice(list(self._fleet.by_name.values()))
            if host.is_up:
                answer = await _in_time(host.group.query(b"", _TIMEOUT_S))
                if isinstance(answer, Ok):
                    break
            await self._fleet.clock.sleep(0.02)
        ids = tuple(json.loads(answer.ok_value))
        self.reads.append(Read(ids, begun_at, self._fleet.clock.now()))


async def _in_time(answer: Awaitable[Result[bytes, Refusal]]) -> Result[bytes, Refusal]:
    """Give up by the client's own clock: the host's may stand still."""
    try:
        return await asyncio.wait_for(answer, 2 * _TIMEOUT_S)
    except TimeoutError:
        return Err(Refusal(ErrorKind.TIMEOUT, "the host does not answer"))


class Faults:
    """Cause one fault after the other, several of which may last at once."""

    def __init__(self, fleet: Fleet) -> None:
        self.count_by_name: dict[str, int] = defaultdict(int)
        self._fleet = fleet
        self._busy: set[str] = set()
        self._lasting: set[asyncio.Task[None]] = set()

    async def run(self, until: Callable[[], bool]) -> None:
        """Cause faults until told to stop, then wait until all are over."""
        random = self._fleet.random
        faults = [self._kill, self._kill, self._cut, self._cut_one_way, self._slow]
        faults += [self._stand_still, self._fail_sync, self._jump, self._wipe, self._leave]
        while not until():
            await self._fleet.clock.sleep(random.uniform(0.1, 1.5))
            fault = random.choice(faults)
            host = random.choice(list(self._fleet.by_name.values()))
            if host.name not in self._busy:
                self._begin(host, fault)
        await asyncio.gather(*self._lasting)

    def _begin(self, host: FleetHost, fault: Callable[[FleetHost], Awaitable[bool]]) -> None:
        async def last() -> None:
            self._busy.add(host.name)
            if await fault(host):
                self.count_by_name[fault.__name__.lstrip("_")] += 1
            self._busy.discard(host.name)

        task = asyncio.ensure_future(last())
        self._lasting.add(task)
        task.add_done_callback(self._lasting.discard)

    async def _wait(self) -> None:
        await self._fleet.clock.sleep(self._fleet.random.uniform(0.2, 6.0))

    async def _kill(self, host: FleetHost) -> bool:
        """Cut the power in the middle of a write, and so tear it."""
        host.storage.crash_at = host.storage.operations + self._fleet.random.randrange(1, 12)
        await self._wait()
        await host.kill()
        await self._wait()
        await _start(host)
        return True

    async def _cut(self, host: FleetHost) -> bool:
        self._fleet.cut_off(host.name)
        await self._wait()
        self._mend(host)
        return True

    async def _cut_one_way(self, host: FleetHost) -> bool:
        for other in self._fleet.by_name.values():
            if other is not host:
                self._fleet.fabric.cut_one_way(host.ip, other.ip)
        await self._wait()
        self._mend(host)
        return True

    async def _stand_still(self, host: FleetHost) -> bool:
        """Stop a host's timers while it is cut off, so that it does not notice."""
        host.clock.stand_still()
        self._fleet.cut_off(host.name)
        await self._wait()
        self._mend(host)
        await self._fleet.clock.sleep(self._fleet.random.uniform(0.0, 1.0))
        host.clock.run_on()
        return True

    async def _slow(self, host: FleetHost) -> bool:
        """Let messages of a host arrive late and out of order, some after an election."""
        for other in self._fleet.by_name.values():
            self._fleet.fabric.set_rule(host.ip, other.ip, Rule(delay=0.05, jitter=2.5))
        await self._wait()
        for other in self._fleet.by_name.values():
            self._fleet.fabric.set_rule(host.ip, other.ip, self._fleet.fabric.default_rule)
        return True

    async def _fail_sync(self, host: FleetHost) -> bool:
        failing = host.storage.operations + self._fleet.random.randrange(1, 6)
        host.storage.error_by_operation = {failing: SYNC_FAILED}
        await self._wait()
        await host.kill()
        host.storage.error_by_operation = {}
        await _start(host)
        return True

    async def _jump(self, host: FleetHost) -> bool:
        host.clock.jump += self._fleet.random.uniform(-_CLOCK_JUMP_S, _CLOCK_JUMP_S)
        return True

    async def _wipe(self, host: FleetHost) -> bool:
        """Exchange a disk, but only while all five hosts hold the log.

        Three disks lost one after the other, faster than they are caught up, may have
        been the majority that held a change.
        """
        for leader in self._fleet.leaders():
            members = leader.group.members().unwrap_or([])
            whole = all(member.voter and member.answers and not member.lag for member in members)
            if whole and len(members) == len(_HOSTS):
                await host.wipe()
                return True
        return False

    async def _leave(self, host: FleetHost) -> bool:
        """Remove a host from the group, which may be the leader, and add it again later."""
        for leader in self._fleet.leaders():
            await leader.group.remove(host.name, _CHANGE_S)
        await self._wait()
        # A removal that timed out may be committed later, so the members decide.
        while not await self._is_member(host):
            for leader in self._fleet.leaders():
                await leader.group.add(host.name, host.address, _CHANGE_S)
            await self._fleet.clock.sleep(0.2)
        return True

    async def _is_member(self, host: FleetHost) -> bool:
        """Return what a leader says that is confirmed by a read."""
        for leader in self._fleet.leaders():
            if isinstance(await leader.group.query(b"", _CHANGE_S), Ok):
                members = leader.group.members().unwrap_or([])
                return any(member.host == host.name for member in members)
        return False

    def _mend(self, host: FleetHost) -> None:
        for other in self._fleet.by_name.values():
            if other is not host:
                self._fleet.fabric.heal(host.ip, other.ip)


async def _start(host: FleetHost) -> None:
    started = await host.start()
    assert isinstance(started, Ok), f"{host.name} did not come back: {started.err_value}"


class Elected:
    """Count terms that two hosts won, from the log lines of the groups."""

    def __init__(self) -> None:
        self.hosts_by_term: dict[int, set[str]] = defaultdict(set)

    def take(self, message: "Message") -> None:
        """Take one line of the log."""
        extra = message.record["extra"]
        if extra.get("event") == "election_won":
            fields = extra["fields"]
            self.hosts_by_term[fields["term"]].add(fields["host"])

    @property
    def two_leaders(self) -> int:
        """Return the number of terms with two leaders."""
        return sum(len(hosts) > 1 for hosts in self.hosts_by_term.values())


async def run_history(seed: int, changes: int) -> History:
    """Commit ``changes`` under faults, then let all be well and compare."""
    elected = Elected()
    sink = logger.add(elected.take, level="INFO", format="{message}")
    fleet = Fleet(_HOSTS, seed, _SETTINGS, SingleCopy)
    await fleet.start()
    clients = Clients(fleet, changes)
    faults = Faults(fleet)
    await asyncio.gather(clients.run(), faults.run(lambda: clients.are_done))
    fleet.heal()
    await fleet.leader()
    longest = max(len(host.machine.commands) for host in fleet.up)
    await fleet.until(
        lambda: all(len(host.machine.commands) >= longest for host in fleet.up), 300.0
    )
    verdict = judge(clients.changes, clients.reads, [host.machine for host in fleet.up])
    await fleet.stop()
    logger.remove(sink)
    count = sum(faults.count_by_name.values())
    print(
        f"history seed={seed} changes={len(clients.changes)} reads={len(clients.reads)} "
        f"terms={len(elected.hosts_by_term)} "
        + " ".join(f"{name}={number}" for name, number in sorted(faults.count_by_name.items()))
    )
    return History(verdict, count, len(clients.changes), elected.two_leaders)


class Registers:
    """Keep the newest value of each of a few keys: a state that does not grow."""

    def __init__(self) -> None:
        self._value_by_key: dict[int, bytes] = {}
        self._applied = 0

    def apply(self, command: bytes) -> bytes:
        """Set the next key."""
        self._applied += 1
        self._value_by_key[self._applied % 100] = command
        return b""

    def query(self, query: bytes) -> bytes:
        """Return how many commands were applied."""
        return str(self._applied).encode()

    def snapshot(self) -> bytes:
        """Return the count and the values."""
        values = b"".join(self._value_by_key.get(key, b"x" * 100) for key in range(100))
        return self._applied.to_bytes(8) + values

    def restore(self, snapshot: bytes) -> None:
        """Take over a snapshot."""
        self._applied = int.from_bytes(snapshot[:8])
        rest = snapshot[8:]
        self._value_by_key = {key: rest[key * 100 : key * 100 + 100] for key in range(100)}


async def open_lone_group(folder: str) -> Replica:
    """Return a group of one host on real files, once it answers."""
    runtime = make_runtime(folder, seed=1)
    peer = Peer("a", "place", 1)
    caller = make_caller(runtime.network, runtime.clock, runtime.random, KEY, peer)
    server = make_link_server(runtime.network, runtime.clock, "127.0.0.1:0", KEY, peer)
    group = make_group(
        "measured",
        InitialMembers(("127.0.0.1:1",), "127.0.0.1:1"),
        "a",
        Registers(),
        runtime,
        caller,
        server,
    )
    started = await group.start()
    assert isinstance(started, Ok), started
    while isinstance(answer := await group.query(b"", 5.0), Err):
        assert answer.err_value.kind is ErrorKind.NOT_CURRENT, answer
        await asyncio.sleep(0.001)
    return group


async def fill(folder: str, changes: int) -> None:
    """Commit ``changes``, many at a time."""
    group = await open_lone_group(folder)
    numbers = iter(range(changes))

    async def work() -> None:
        for number in numbers:
            answer = await group.propose(b"%0100d" % number, _FILL_TIMEOUT_S)
            assert isinstance(answer, Ok), answer

    await asyncio.gather(*(work() for _ in range(_FILL_CONCURRENT)))
    await group.stop()


async def time_restart(folder: str, changes: int) -> float:
    """Return the time, in seconds, from start to the first answer."""
    begun = time.monotonic()
    group = await open_lone_group(folder)
    elapsed = time.monotonic() - begun
    assert (await group.query(b"", _FILL_TIMEOUT_S)).unwrap() == str(changes).encode()
    await group.stop()
    return elapsed


async def measure_restarts() -> float:
    """Return how much longer a restart takes after many changes than after few.

    The two are timed in turn, so that what else the machine does falls on both.
    """
    few: list[float] = []
    many: list[float] = []
    with tempfile.TemporaryDirectory() as few_folder, tempfile.TemporaryDirectory() as many_folder:
        await fill(few_folder, _FEW)
        await fill(many_folder, _MANY)
        for _ in range(_RESTARTS):
            few.append(await time_restart(few_folder, _FEW))
            many.append(await time_restart(many_folder, _MANY))
    print(f"restart changes={_FEW} median_ms={statistics.median(few) * 1000:.1f}")
    print(f"restart changes={_MANY} median_ms={statistics.median(many) * 1000:.1f}")
    return statistics.median(many) / statistics.median(few)


@click.command()
@click.option("--histories", default=10, help="Histories to run.")
@click.option("--changes", default=500, help="Changes in each history.")
@click.option("--seed", default=1, help="Seed of the first history.")
def main(histories: int, changes: int, seed: int) -> None:
    """Measure recovery from faults."""
    logger.remove()
    results = [
        run_virtual(run_history(number, changes)) for number in range(seed, seed + histories)
    ]
    ratio = uvloop.run(measure_restarts())
    figures = {
        "histories": len(results),
        "faults": sum(result.faults for result in results),
        "lost": sum(result.verdict.lost for result in results),
        "reverted": sum(result.verdict.reverted for result in results),
        "applied_twice": sum(result.verdict.applied_twice for result in results),
        "two_leaders": sum(result.two_leaders for result in results),
        "restart_ratio": ratio,
    }
    report_figures("recovery", figures)


if __name__ == "__main__":
    main()
