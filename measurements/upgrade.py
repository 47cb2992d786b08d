"""Run a fleet of two builds: the one in this checkout and an older one in another checkout.

Each phase starts both programs as processes of their own:

- ``data``: the old build writes budgets, charges, a closed period, configuration and orders, and
  stops. The new build starts on the same folders. ``data_equal`` is 1 if totals, revision and
  closed periods are the same, and requests sent again under their old ids are not billed again.
- ``old-leader``, ``new-leader``: one control host and one entry host of the old build in a fleet of
  the new one, under load; the leaders of all groups run the old build, or the new one.
- ``platform``: the same mix with the platform's adapter, while configurations change, a target is
  throttled, one asks for backoffs, and one leaves.

``refused`` and ``lost`` count requests without an answer. ``decode_errors`` counts log lines and
dropped frames that report malformed messages, ``error_lines`` log lines of level ERROR.
"""

import asyncio
import json
import re
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import click

from cranberrywall.budgets import LedgerClient, make_ledger_client
from cranberrywall.budgets.messages import ClosePeriod, PeriodsQuery
from cranberrywall.control import make_control_client
from cranberrywall.demo import (
    EXAMPLES,
    SAVINGS_BOARD,
    FleetClient,
    FleetFiles,
    FleetSize,
    Targets,
    make_fleet_client,
    read_deployment,
    start_targets,
    wait_for_targets,
    write_fleet,
)
from cranberrywall.links import Peer, make_caller
from cranberrywall.load import (
    Outcome,
    OutcomeKind,
    PlannedRequest,
    make_plan,
    read_profile,
    run_load,
)
from cranberrywall.runtime import make_clock, make_network, make_random
from measurements._figures import report_figures
from measurements._processes import ROOT, FleetProcesses
from standins import check_answer
from standins._platform import Platform, Worker, configuration, route

CREDIT = 10_000_000
START_S = 30.0
CALL_S = 5.0
LOAD_S = 8.0
SETTLE_S = 3.0
NET = 11
PHASES = ("data", "old-leader", "new-leader", "platform")
SIZE = FleetSize(controls=3, entries=3, consoles=0)
PERIOD = "before-the-upgrade"
LEADER_MOVES = 12
LEADER_MOVE_S = 2.5
RESENT = 40
PLATFORM_ASKS = 25
ASK_PAUSE_S = 0.02
THROTTLED_PER_S = "20"
BACKOFF_S = 0.3
PREPAID = 100_000_000

_DECODE_ERROR = re.compile(
    r"malformed|unknown message type|DecodeError|ValidationError|bad_version|unknown_method"
)
_ERROR_LINE = re.compile(r"\blevel=(ERROR|CRITICAL)\b|Traceback")
_DROPPED = re.compile(
    r'links_dropped_total\{reason="(?:malformed_\w+|unknown_\w+|bad_version|truncated)"\} (\S+)'
)


class Ledgers(NamedTuple):
    """Represent the durable state of a fleet, as its control hosts report it."""

    totals: Mapping[str, tuple[int, int]]
    overspend: int
    revision: int
    periods: tuple[str, ...]


class Fleet:
    """Run one fleet whose hosts use either build."""

    def __init__(self, folder: Path, root_by_host: Mapping[str, Path], net: int) -> None:
        self.deployment = read_deployment(SAVINGS_BOARD)
        self.files: FleetFiles = write_fleet(folder, self.deployment, SIZE, net)
        self.processes = FleetProcesses(self.files, root_by_host)
        self.client: FleetClient = make_fleet_client(self.files)
        self.targets = Targets([], [])
        self.controls = [host.name for host in self.files.of_role("control")]
        self.entries = [host.name for host in self.files.of_role("entry")]

    async def start(self) -> None:
        """Start all hosts for the first time, with a configuration, credits and targets."""
        await self.processes.start(self.controls)
        await self.client.commit(self.files.document, START_S)
        credits = dict.fromkeys(self.files.document["budgets"], CREDIT)
        await self.client.credit(self.files.document, credits, START_S)
        await self.processes.start(self.entries)
        self.targets = await start_targets(self.deployment, self.files, 0.02)
        await wait_for_targets(self.files, len(self.targets.standins), START_S)

    async def stop(self) -> None:
        """Stop all processes."""
        await self.targets.close()
        await self.client.close()
        await self.processes.end_all()

    async def load(self, run_id: str, rate: float, seed: int) -> list[Outcome]:
        """Send requests at a rate for ``LOAD_S`` seconds, and return their outcomes."""
        text = (EXAMPLES / SAVINGS_BOARD.folder / "load.yaml").read_text("utf-8")
        profile = read_profile(text).unwrap()
        profile["seed"] = seed
        profile["duration_s"] = LOAD_S
        profile["arrivals"]["rate"] = rate
        profile["entries"] = self.files.entry_urls()
        profile["retries"] = {"most": 40, "wait_s": 0.2, "longest_wait_s": 4.0}
        plan = make_plan(profile, run_id)
        return await run_load(profile, plan, make_clock(), make_random(seed), _check_planned)

    async def ledgers(self) -> Ledgers:
        """Return the durable state."""
        totals = await self.client.totals(START_S)
        state = await self.state(self.controls[0])
        periods = []
        ledger, caller = self._ledger()
        for group in ledger.groups():
            query = PeriodsQuery(make_clock().wall())
            listed = (await ledger.periods(group, query, CALL_S)).unwrap()
            periods += [f"{group}:{one.period}:{one.digest}" for one in listed.periods]
        await caller.close()
        by_workspace = {name: (b.amount, b.requests) for name, b in totals.by_workspace().items()}
        return Ledgers(
            by_workspace, totals.overspend, state["configuration"]["revision"], tuple(periods)
        )

    async def close_period(self) -> None:
        """Close the open period in all ledger groups."""
        ledger, caller = self._ledger()
        closing = ClosePeriod(PERIOD, make_clock().wall(), "upgrade", make_clock().wall())
        for group in ledger.groups():
            (await ledger.close_period(group, closing, CALL_S)).unwrap()
        await caller.close()

    async def state(self, host: str) -> dict[str, Any]:
        """Return a host's state dump."""
        found: dict[str, Any] = json.loads(await self._get(host, "/state"))
        return found

    async def leaders(self) -> Counter[str]:
        """Return the number of groups that each control host leads."""
        led: Counter[str] = Counter()
        for host in self.controls:
            groups = (await self.state(host))["control"]["groups"]
            values = groups.values() if isinstance(groups, dict) else groups
            led[host] += sum(group["role"] == "leader" for group in values)
        return led

    async def move_leaders(self, host: str, should_lead: bool) -> Counter[str]:
        """Restart leaders until ``host`` leads all groups, or none."""
        for _ in range(LEADER_MOVES):
            led = await self.leaders()
            others = [name for name in self.controls if name != host and led[name]]
            restarted = others[:1] if should_lead else [host] * bool(led[host])
            if not restarted:
                break
            await self.processes.end(restarted[0], signal.SIGTERM)
            await asyncio.sleep(LEADER_MOVE_S)
            await self.processes.start(restarted)
            await asyncio.sleep(LEADER_MOVE_S)
        return await self.leaders()

    async def faults(self) -> tuple[int, int]:
        """Return the number of decode errors and of error lines, of all hosts."""
        dropped = 0
        for host in self.files.by_host:
            text = await self._get(host, "/metrics")
            dropped += sum(int(float(number)) for number in _DROPPED.findall(text))
        logs = [self.processes.log(host) for host in self.files.by_host]
        decode, errors = count_faults(logs)
        return decode + dropped, errors

    async def _get(self, host: str, path: str) -> str:
        url = f"http://{self.files.by_host[host].listen['admin']}{path}"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            response.raise_for_status()
            return await response.text()

    def _ledger(self) -> tuple[LedgerClient, Any]:
        clock = make_clock()
        peer = Peer("operator-2", "", int(clock.wall() * 1000))
        caller = make_caller(make_network(), clock, make_random(), self.files.keys.fleet, peer)
        control = make_control_client(caller, clock, self.files.control_links())
        return make_ledger_client(control, self.files.document["ledger_groups"]), caller


def count_faults(logs: Iterable[str]) -> tuple[int, int]:
    """Return the number of log lines that report malformed messages, and of error lines."""
    decode = errors = 0
    for log in logs:
        for line in log.splitlines():
            is_decode = bool(_DECODE_ERROR.search(line))
            decode += is_decode
            errors += bool(_ERROR_LINE.search(line))
            if is_decode or _ERROR_LINE.search(line):
                print(f"  {line[:240]}")
    return decode, errors


async def play_data(folder: Path, old: Path, rate: float, seed: int) -> dict[str, int]:
    """Write state with the old build, and read it with the new one."""
    hosts = _host_names()
    root_by_host = dict.fromkeys(hosts, old)
    fleet = Fleet(folder, root_by_host, NET)
    try:
        await fleet.start()
        first = await fleet.load("closed", rate, seed)
        await asyncio.sleep(SETTLE_S)
        await fleet.close_period()
        second = await fleet.load("open", rate, seed + 1)
        await asyncio.sleep(SETTLE_S)
        before = await fleet.ledgers()
        await fleet.processes.end_all()
        root_by_host.update(dict.fromkeys(hosts, ROOT))
        await fleet.processes.start(fleet.controls)
        await fleet.processes.start(fleet.entries)
        await wait_for_targets(fleet.files, len(fleet.targets.standins), START_S)
        after = await fleet.ledgers()
        _print_difference("state", before, after)
        billed_again = await _resend(fleet, [*first[-RESENT:], *second[-RESENT:]], after)
        third = await fleet.load("new", rate, seed + 2)
        decode, errors = await fleet.faults()
        figures = _figures([*first, *second, *third], decode, errors)
        return {"data_equal": int(before == after), "billed_again": billed_again, **figures}
    finally:
        await fleet.stop()


async def _resend(fleet: Fleet, outcomes: Sequence[Outcome], before: Ledgers) -> int:
    """Send requests again under their ids; return the number of requests billed again."""
    async with aiohttp.ClientSession() as session:
        for number, outcome in enumerate(outcomes):
            planned = outcome.planned
            url = fleet.files.entry_urls()[number % len(fleet.entries)] + planned.path
            headers = {
                "Authorization": f"Bearer {fleet.deployment.key(planned.workspace)}",
                "Idempotency-Key": planned.idempotency_key,
            }
            send = session.request(planned.method, url, data=planned.body, headers=headers)
            async with send as answer:
                await answer.read()
    await asyncio.sleep(SETTLE_S)
    after = await fleet.ledgers()
    _print_difference("resent", before, after)
    count = {name: requests for name, (_, requests) in before.totals.items()}
    return sum(requests - count.get(name, 0) for name, (_, requests) in after.totals.items())


async def play_mixed(
    folder: Path, old: Path, old_leads: bool, rate: float, seed: int
) -> dict[str, int]:
    """Run one control host and one entry host of the old build in a fleet of the new one."""
    root_by_host = dict.fromkeys(_host_names(), ROOT)
    fleet = Fleet(folder, root_by_host, NET + 1 + old_leads)
    old_control, old_entry = fleet.controls[0], fleet.entries[0]
    root_by_host.update({old_control: old, old_entry: old})
    try:
        await fleet.start()
        led = await fleet.move_leaders(old_control, old_leads)
        before = await fleet.ledgers()
        outcomes = await fleet.load("mixed", rate, seed)
        # Leaders change once under load: each build takes over the other's log.
        load = asyncio.create_task(fleet.load("moved", rate, seed + 1))
        await asyncio.sleep(LEADER_MOVE_S)
        leader = max(fleet.controls, key=lambda host: led[host])
        await fleet.processes.end(leader, signal.SIGTERM)
        await fleet.processes.start([leader])
        moved = await load
        await asyncio.sleep(SETTLE_S)
        after = await fleet.ledgers()
        decode, errors = await fleet.faults()
        answered = _answered([*outcomes, *moved])
        billed = sum(requests for _, requests in after.totals.values())
        return {
            "led_by_old": led[old_control],
            "groups": sum(led.values()),
            "answered_not_billed": max(0, len(answered) - billed),
            "billed_not_answered": max(0, billed - len(answered)),
            "overspend": after.overspend,
            "revision_kept": int(before.revision == after.revision),
            **_figures([*outcomes, *moved], decode, errors),
        }
    finally:
        await fleet.stop()


async def play_platform(folder: Path, old: Path) -> dict[str, int]:
    """Run the platform's adapter with one control host and one entry host of the old build."""
    folder.mkdir(parents=True, exist_ok=True)
    platform = Platform(folder, cores=3, fronts=4)
    platform.root_by_name.update({"core-3": old, "front-1": old})
    statuses: Counter[int] = Counter()
    try:
        await platform.start()
        await platform.publish(2, PREPAID)
        workers = [Worker(f"ledger:{number}", "ledger", False) for number in range(4)]
        for worker in [*workers, Worker("engines:0", "engines", True)]:
            await platform.add_worker(worker)
        await platform.until_ready()
        for front in platform.fronts:
            await platform.until_answered(front, "/checks/1")
        workers[0].limit = THROTTLED_PER_S
        workers[1].most_running, workers[1].backoff_s = 1, BACKOFF_S
        await _ask_all(platform, statuses)
        await platform.withdraw_worker(workers[2])
        left_at = time.monotonic() + 1.0
        moved = [route("checks", "idempotent", "ledger", attempts=3)]
        late = 0
        for version in (3, 4, 5):
            await platform.publish_body(configuration(version, PREPAID, moved))
            await _ask_all(platform, statuses)
        late += sum(at > left_at for at in workers[2].arrived_at)
        await platform.terminate(platform.cores[0])
        await platform.start_machine(platform.cores[0])
        await _ask_all(platform, statuses)
        read = await platform.read_configuration()
    finally:
        await platform.stop()
    decode, errors = count_faults(path.read_text("utf-8") for path in folder.glob("*.log"))
    return {
        "asked": statuses.total(),
        "answered": statuses[200],
        "version": int(read["version"]),
        "sent_to_left": late,
        "decode_errors": decode,
        "error_lines": errors,
    }


async def _ask_all(platform: Platform, statuses: Counter[int]) -> None:
    for _ in range(PLATFORM_ASKS):
        for front in platform.fronts:
            statuses[(await platform.ask(front, "/checks/1")).status] += 1
        await asyncio.sleep(ASK_PAUSE_S)


def _figures(outcomes: Sequence[Outcome], decode: int, errors: int) -> dict[str, int]:
    kinds = Counter(outcome.kind for outcome in outcomes)
    return {
        "requests": len(outcomes),
        "answered": kinds[OutcomeKind.ANSWERED],
        "refused": kinds[OutcomeKind.REFUSED],
        "unknown": kinds[OutcomeKind.UNKNOWN],
        "lost": kinds[OutcomeKind.LOST] + kinds[OutcomeKind.WRONG],
        "decode_errors": decode,
        "error_lines": errors,
    }


def _answered(outcomes: Sequence[Outcome]) -> set[str]:
    return {one.planned.idempotency_key for one in outcomes if one.kind is OutcomeKind.ANSWERED}


def _host_names() -> list[str]:
    names = []
    for role, count in SIZE.by_role().items():
        names += [f"{role}-{number}" for number in range(1, count + 1)]
    return names


def _check_planned(planned: PlannedRequest, text: str) -> bool:
    return check_answer(planned.method, planned.path, planned.body, text)


def _print_difference(name: str, before: Ledgers, after: Ledgers) -> None:
    for field, old, new in zip(Ledgers._fields, before, after, strict=True):
        if old != new:
            print(f"  {name}: {field}: {old} -> {new}")


async def _measure(folder: Path, old: Path, rate: float, seed: int, phases: Sequence[str]) -> None:
    play_by_phase = {
        "data": partial(play_data, folder / "data", old, rate, seed),
        "old-leader": partial(play_mixed, folder / "old-leader", old, True, rate, seed),
        "new-leader": partial(play_mixed, folder / "new-leader", old, False, rate, seed),
        "platform": partial(play_platform, folder / "platform", old),
    }
    for phase in phases:
        report_figures(f"upgrade {phase}", await play_by_phase[phase]())


@click.command()
@click.argument(
    "old", type=click.Path(exists=True, file_okay=False, path_type=Path), default=str(ROOT)
)
@click.option("--rate", default=60.0, help="Requests a second.")
@click.option("--seed", default=1, help="Seed of the load.")
@click.option(
    "--phase",
    "phases",
    type=click.Choice(PHASES),
    multiple=True,
    default=PHASES,
    help="Repeatable.",
)
def main(old: Path, rate: float, seed: int, phases: tuple[str, ...]) -> None:
    """Run this checkout's build with the build of the checkout OLD, or with itself without OLD."""
    with tempfile.TemporaryDirectory(prefix="upgrade-") as folder:
        asyncio.run(_measure(Path(folder), old.resolve(), rate, seed, phases))


if __name__ == "__main__":
    main()
