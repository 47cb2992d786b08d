"""Measure what draws and charges cost the control hosts, as real processes.

Three control hosts run one ledger group. Several hundred holders, each with a stream of its
own, send draws, then charges of one request each, at bounded rates; then batches of ten. The
processor time and the bytes are each process's own counts. A slope is that of the line
through the rates, so that heartbeats and idle streams are not in it.

- ``leader_*_us``, ``follower_*_us``: processor time for one draw or charge
- ``leader_*_out_bytes``, ``follower_*_in_bytes``: bytes on the streams for one
- ``*_memory_per_budget_bytes``: resident memory for one more budget, snapshots included
- ``idle_leader_percent``: share of a core with the holders' streams open and no work
"""

import asyncio
import os
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import click
import uvloop
from loguru import logger
from result import Ok, Result

from cranberrywall.budgets import LedgerClient, make_ledger_client
from cranberrywall.budgets.messages import Charge, ChargeBatch, Credit, Draw
from cranberrywall.budgets.messages import Holder as HolderId
from cranberrywall.control import make_control_client
from cranberrywall.demo import SAVINGS_BOARD, FleetFiles, FleetSize, read_deployment, write_fleet
from cranberrywall.links import Peer, make_caller
from cranberrywall.runtime import make_clock, make_network, make_random
from measurements._figures import Figure, report_figures
from measurements._process_usage import (
    Line,
    Usage,
    describe_usage,
    fit_line,
    mean_usage,
    read_state,
    read_usage,
    usage_per_second,
)
from measurements._processes import FleetProcesses

NET = 31
GROUP = "ledger-0"
HOLDERS = 300
DRAWN_BUDGETS = 50
RATES = (0, 200, 400, 800)
BATCHED_RATE = 100
BATCH = 10
FEW_BUDGETS, MANY_BUDGETS = 3_000, 9_000
CREDITS_AT_ONCE = 64
CREDIT = 10**9
ALLOTMENT = 10**5
CALL_S = 10.0
SETTLE_S = 1.0
HOST_NAMES = ("control-1", "control-2", "control-3")


class Step(NamedTuple):
    """Hold the usage a second of the leader and of a follower at ``rate`` calls a second."""

    rate: float
    leader: Usage
    follower: Usage


class Holder:
    """Hold one entry host's part: its stream, its ids and its numbers."""

    def __init__(self, number: int, files: FleetFiles) -> None:
        self._clock = make_clock()
        self._id = HolderId(f"entry-{number}", 1)
        peer = Peer(f"entry-{number}", "", 1)
        self._caller = make_caller(
            make_network(), self._clock, make_random(number), files.keys.fleet, peer
        )
        control = make_control_client(
            self._caller, self._clock, files.control_links(), make_random(number)
        )
        self.ledger: LedgerClient = make_ledger_client(control, 1)
        self._budget = f"budget-{number % DRAWN_BUDGETS:06}"
        self._draws = 0
        self._charges = 0

    async def draw(self) -> Result[Any, Any]:
        """Draw once."""
        self._draws += 1
        now = self._clock.wall()
        command = Draw(self._budget, self._id, self._draws, ALLOTMENT, 1, now)
        return await self.ledger.draw(command, CALL_S)

    async def charge(self, count: int = 1) -> Result[Any, Any]:
        """Charge ``count`` requests in one batch."""
        now = self._clock.wall()
        charges = tuple(self._next_charge(now) for _ in range(count))
        return await self.ledger.charge(ChargeBatch(self._id, charges, now), CALL_S)

    async def close(self) -> None:
        """Close the stream."""
        await self._caller.close()

    def _next_charge(self, now: float) -> Charge:
        self._charges += 1
        request = f"{self._id.host}-{self._charges:012}"
        return Charge(self._budget, "workspace-1", request, self._charges, 1, now)


class Run:
    """Hold the processes and the holders of one run."""

    def __init__(
        self, files: FleetFiles, processes: FleetProcesses, session: aiohttp.ClientSession
    ) -> None:
        self.files = files
        self.processes = processes
        self.session = session
        self.holders = [Holder(number, files) for number in range(HOLDERS)]
        self._credited = 0

    async def credit_up_to(self, budgets: int) -> float:
        """Credit further budgets, up to ``budgets``; return the leader's resident bytes."""
        numbers = iter(range(self._credited, budgets))
        self._credited = budgets

        async def work(ledger: LedgerClient) -> None:
            for number in numbers:
                _check(await ledger.credit(_credit(number), CALL_S))

        ledgers = [holder.ledger for holder in self.holders[:CREDITS_AT_ONCE]]
        await asyncio.gather(*(work(ledger) for ledger in ledgers))
        await asyncio.sleep(SETTLE_S)
        usages = await self._usages()
        return usages[await self._leader()].memory_bytes

    async def measure(
        self, rate: float, seconds: float, call: Callable[[Holder], Awaitable[Result[Any, Any]]]
    ) -> Step:
        """Make ``rate`` calls a second, evenly paced, and return what a second of it used."""
        leader = await self._leader()
        before, started = await self._usages(), time.monotonic()
        await asyncio.gather(self._pace(rate, seconds, call), asyncio.sleep(seconds))
        after, elapsed = await self._usages(), time.monotonic() - started
        if await self._leader() != leader:
            raise RuntimeError("the group changed its leader; the machine is too busy to measure")
        used = {host: usage_per_second(before[host], after[host], elapsed) for host in HOST_NAMES}
        followers = [used[host] for host in HOST_NAMES if host != leader]
        # A busy machine answers late; the rate is then what was answered, not what was meant.
        return Step(round(rate * seconds) / elapsed, used[leader], mean_usage(followers))

    async def _pace(
        self, rate: float, seconds: float, call: Callable[[Holder], Awaitable[Result[Any, Any]]]
    ) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        calls = []
        for number in range(round(rate * seconds)):
            await asyncio.sleep(max(0.0, started + number / rate - loop.time()))
            calls.append(asyncio.ensure_future(call(self.holders[number % HOLDERS])))
        for answer in await asyncio.gather(*calls):
            _check(answer)

    async def _leader(self) -> str:
        for host in HOST_NAMES:
            state = await read_state(self.session, self._admin(host))
            if state["control"]["groups"][GROUP]["role"] == "leader":
                return host
        raise RuntimeError(f"no host leads {GROUP}")

    async def _usages(self) -> dict[str, Usage]:
        return {host: await read_usage(self.session, self._admin(host)) for host in HOST_NAMES}

    def _admin(self, host: str) -> str:
        return self.files.by_host[host].listen["admin"]


@click.command()
@click.option("--seconds", default=4.0, help="Time measured at each rate.")
def main(seconds: float) -> None:
    """Measure what the ledger's hosts spend on a draw and on a charge."""
    logger.remove()
    with tempfile.TemporaryDirectory(prefix="control-cost-") as folder:
        uvloop.run(_measure(Path(folder), seconds))


async def _measure(folder: Path, seconds: float) -> None:
    deployment = read_deployment(SAVINGS_BOARD)
    deployment.document["ledger_groups"] = 1
    files = write_fleet(folder / "fleet", deployment, FleetSize(3, 0, 0), NET)
    processes = FleetProcesses(files)
    async with aiohttp.ClientSession() as session:
        run = Run(files, processes, session)
        try:
            await processes.start(HOST_NAMES)
            report_figures("control_cost", await _measure_run(run, seconds))
        finally:
            await asyncio.gather(*(holder.close() for holder in run.holders))
            await processes.end_all()


async def _measure_run(run: Run, seconds: float) -> dict[str, Figure]:
    few = await run.credit_up_to(FEW_BUDGETS)
    many = await run.credit_up_to(MANY_BUDGETS)
    for holder in run.holders:
        _check(await holder.draw())
    draws = [await run.measure(rate, seconds, Holder.draw) for rate in RATES]
    charges = [await run.measure(rate, seconds, Holder.charge) for rate in RATES]
    batched = [await run.measure(BATCHED_RATE, seconds, lambda holder: holder.charge(BATCH))]
    for kind, steps in (("draw", draws), ("charge", charges), (f"charge x{BATCH}", batched)):
        for step in steps:
            leader, follower = describe_usage(step.leader), describe_usage(step.follower)
            print(f"{kind} {step.rate:.0f}/s: leader {leader}; follower {follower}")
    idle = charges[0]
    more = batched[0].leader.cpu_s - idle.leader.cpu_s
    more_follower = batched[0].follower.cpu_s - idle.follower.cpu_s
    batched_charges = batched[0].rate * BATCH
    fastest = charges[-1]
    return {
        "holders": HOLDERS,
        **_slopes("draw", draws),
        **_slopes("charge", charges),
        "fastest_charges_per_s": fastest.rate,
        "fastest_leader_percent": fastest.leader.cpu_s * 100,
        "batch": BATCH,
        "leader_batched_charge_us": more / batched_charges * 1e6,
        "follower_batched_charge_us": more_follower / batched_charges * 1e6,
        "idle_leader_percent": idle.leader.cpu_s * 100,
        "idle_follower_percent": idle.follower.cpu_s * 100,
        "memory_per_budget_bytes": (many - few) / (MANY_BUDGETS - FEW_BUDGETS),
        "base_memory_bytes": few - (many - few) / (MANY_BUDGETS - FEW_BUDGETS) * FEW_BUDGETS,
        "load_average": os.getloadavg()[0],
    }


def _slopes(kind: str, steps: Sequence[Step]) -> dict[str, Figure]:
    def line(read: Callable[[Step], float]) -> Line:
        return fit_line([(step.rate, read(step)) for step in steps])

    return {
        f"leader_{kind}_us": line(lambda step: step.leader.cpu_s).slope * 1e6,
        f"follower_{kind}_us": line(lambda step: step.follower.cpu_s).slope * 1e6,
        f"leader_{kind}_out_bytes": line(lambda step: step.leader.bytes_out).slope,
        f"leader_{kind}_in_bytes": line(lambda step: step.leader.bytes_in).slope,
        f"follower_{kind}_in_bytes": line(lambda step: step.follower.bytes_in).slope,
        f"follower_{kind}_out_bytes": line(lambda step: step.follower.bytes_out).slope,
    }


def _credit(number: int) -> Credit:
    name = f"budget-{number:06}"
    workspace = f"workspace-{number % 2_700}"
    return Credit(name, workspace, "tokens", CREDIT, f"change-{number}", "ann", 1_793_000_000.0)


def _check(answer: Result[Any, Any]) -> None:
    if not isinstance(answer, Ok):
        raise RuntimeError(f"the ledger refused: {answer.err_value}")


if __name__ == "__main__":
    main()
