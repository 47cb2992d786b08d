"""Kill and restart a fleet's real processes under load.

3 control and 7 entry hosts run as processes of their own on loopback addresses. Load comes
from the load tool; the targets are stand-ins in this process. One process after another gets
SIGKILL or SIGTERM and is started again; one dies twice, and three die together. The last line
compares what callers saw with the ledger's bills and the targets' counts:

- ``answered``: requests that got their whole, own answer, checked word for word
- ``refused``: requests whose last word was that they did not run
- ``unknown``: not repeatable requests whose outcome the system says it does not know
- ``lost``: no whole answer and no true refusal, or a wrong answer
- ``double``: not repeatable requests that ran twice; what was billed twice is in ``overbilled``
- ``unbilled``: tokens of answers that nobody paid; ``overbilled``: tokens billed beyond what
  ran, by workspace, as worked out from the requests themselves
- ``overspend``: what was charged or held above what was credited
"""

import asyncio
import json
import signal
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import click
import uvloop

from cranberrywall.configuration import Document
from cranberrywall.demo import (
    EXAMPLES,
    SAVINGS_BOARD,
    FleetFiles,
    FleetSize,
    Ran,
    Targets,
    Totals,
    make_fleet_client,
    read_deployment,
    start_targets,
    wait_for_targets,
    write_fleet,
)
from cranberrywall.load import (
    Outcome,
    OutcomeKind,
    PlannedRequest,
    Profile,
    make_plan,
    make_report,
    read_profile,
    run_load,
)
from cranberrywall.runtime import make_clock, make_random
from measurements._figures import report_figures
from measurements._processes import FleetProcesses
from standins import answer_words, check_answer, count_prompt_tokens

CREDIT = 10_000_000
PATIENCE_S = 30.0
PAUSE_S = 1.2
RESTART_S = 1.5
LOAD_AFTER_LAST_S = 2.0
NOT_REPEATABLE = "renewal-confirmations"
NET = 9

# A service works so long on a call that each end of a process meets calls in progress.
WORK_S = 0.1
SIZE = FleetSize(controls=3, entries=7, consoles=0)


class Step(NamedTuple):
    """End hosts' processes by a signal, together, then start them again.

    They stay ended for ``down_s`` seconds, and ``before_s`` seconds pass before.
    """

    hosts: tuple[str, ...]
    signal: signal.Signals
    before_s: float = PAUSE_S
    down_s: float = PAUSE_S


STEPS = (
    Step(("entry-1",), signal.SIGKILL),
    Step(("entry-2",), signal.SIGTERM),
    Step(("control-1",), signal.SIGKILL),
    Step(("entry-3",), signal.SIGKILL),
    # The same host dies again as soon as it is back.
    Step(("entry-3",), signal.SIGKILL, before_s=0.0),
    Step(("control-2",), signal.SIGTERM),
    Step(("entry-7",), signal.SIGTERM),
    Step(("control-3",), signal.SIGKILL),
    # Three die together, one of them a control host.
    Step(("entry-4", "entry-5", "control-1"), signal.SIGKILL),
)


@click.command()
@click.option("--rate", default=80.0, help="Requests a second.")
@click.option("--seed", default=1, help="Seed of the load.")
def main(rate: float, seed: int) -> None:
    """Measure what callers, bills and targets say while processes end."""
    with tempfile.TemporaryDirectory(prefix="processes-") as folder:
        uvloop.run(_measure(Path(folder), rate, seed))


async def _measure(folder: Path, rate: float, seed: int) -> None:
    deployment = read_deployment(SAVINGS_BOARD)
    files = write_fleet(folder / "fleet", deployment, SIZE, NET)
    processes = FleetProcesses(files)
    client = make_fleet_client(files)
    targets = Targets([], [])
    try:
        await processes.start([host.name for host in files.of_role("control")])
        await client.commit(files.document, PATIENCE_S)
        credits = dict.fromkeys(files.document["budgets"], CREDIT)
        await client.credit(files.document, credits, PATIENCE_S)
        await processes.start([host.name for host in files.of_role("entry")])
        targets = await start_targets(deployment, files, WORK_S)
        await wait_for_targets(files, len(targets.standins), PATIENCE_S)
        outcomes = await _load_while_ending(files, processes, rate, seed)
        totals = await client.totals(PATIENCE_S)
        _report(files.document, outcomes, targets.ran_by_request(), totals)
    finally:
        await targets.close()
        await client.close()
        await processes.end_all()


async def _load_while_ending(
    files: FleetFiles, processes: FleetProcesses, rate: float, seed: int
) -> list[Outcome]:
    plan_s = len(STEPS) * (2 * PAUSE_S + RESTART_S) + LOAD_AFTER_LAST_S
    profile = _profile(files, rate, seed, plan_s)
    plan = make_plan(profile, f"processes-{seed}")
    load = asyncio.create_task(
        run_load(profile, plan, make_clock(), make_random(seed), _check_planned)
    )
    ending = asyncio.create_task(_end_in_turn(processes))
    await ending
    return await load


async def _end_in_turn(processes: FleetProcesses) -> None:
    for step in STEPS:
        await asyncio.sleep(step.before_s)
        ends = (processes.end(host, step.signal) for host in step.hosts)
        statuses = await asyncio.gather(*ends)
        ended = zip(step.hosts, statuses, strict=True)
        text = ", ".join(f"{host} (exit status {status})" for host, status in ended)
        print(f"{step.signal.name}: {text}")
        await asyncio.sleep(step.down_s)
        await processes.start(step.hosts)


def _profile(files: FleetFiles, rate: float, seed: int, duration_s: float) -> Profile:
    text = (EXAMPLES / SAVINGS_BOARD.folder / "load.yaml").read_text("utf-8")
    profile = read_profile(text).unwrap()
    profile["seed"] = seed
    profile["duration_s"] = duration_s
    profile["arrivals"]["rate"] = rate
    profile["entries"] = files.entry_urls()
    profile["retries"] = {"most": 60, "wait_s": 0.2, "longest_wait_s": 6.0}
    return profile


def _check_planned(planned: PlannedRequest, text: str) -> bool:
    return check_answer(planned.method, planned.path, planned.body, text)


def _report(
    document: Document,
    outcomes: Sequence[Outcome],
    ran_by_request: dict[str, Ran],
    totals: Totals,
) -> None:
    print(make_report(outcomes).table(), end="")
    kinds = Counter(outcome.kind for outcome in outcomes)
    bills = _compare_bills(document, outcomes, ran_by_request, totals)
    for text in bills.disagreements:
        print(text)
    figures = {
        "requests": len(outcomes),
        "answered": kinds[OutcomeKind.ANSWERED],
        "refused": kinds[OutcomeKind.REFUSED],
        "unknown": kinds[OutcomeKind.UNKNOWN],
        "lost": kinds[OutcomeKind.LOST] + kinds[OutcomeKind.WRONG],
        "double": _ran_twice(outcomes, ran_by_request),
        "unbilled": bills.unbilled,
        "overbilled": bills.overbilled,
        "overspend": totals.overspend,
    }
    report_figures("processes", figures)


class Bills(NamedTuple):
    """Compare bills with answers: tokens that were not billed, or billed beyond them."""

    unbilled: int
    overbilled: int
    disagreements: tuple[str, ...]


def _compare_bills(
    document: Document,
    outcomes: Sequence[Outcome],
    ran_by_request: dict[str, Ran],
    totals: Totals,
) -> Bills:
    """Compare each workspace's bill with what its requests cost by themselves.

    Each answered request must be billed, once. One that ran and was not answered, since its
    host died, may be billed or not.
    """
    planned_by_id = {o.planned.idempotency_key: o.planned for o in outcomes}
    answered = {o.planned.idempotency_key for o in outcomes if o.kind is OutcomeKind.ANSWERED}
    due: Counter[str] = Counter()
    may_be_due: Counter[str] = Counter()
    for request_id, planned in planned_by_id.items():
        if request_id in answered:
            due[planned.workspace] += _cost(document, planned)
        elif request_id in ran_by_request:
            may_be_due[planned.workspace] += _cost(document, planned)
    billed = {name: amount for name, (amount, _) in totals.by_workspace().items()}
    gaps = {name: billed.get(name, 0) - due[name] for name in due.keys() | billed.keys()}
    unbilled = {name: -gap for name, gap in gaps.items() if gap < 0}
    overbilled = {
        name: gap - may_be_due[name] for name, gap in gaps.items() if gap > may_be_due[name]
    }
    texts = [f"{name}: {amount} not billed" for name, amount in unbilled.items()]
    texts += [f"{name}: {amount} billed too much" for name, amount in overbilled.items()]
    return Bills(sum(unbilled.values()), sum(overbilled.values()), tuple(texts))


def _cost(document: Document, planned: PlannedRequest) -> int:
    if not planned.tokens:
        service = planned.path.split("/")[3]
        return document["services"][service]["cost"]
    messages = json.loads(planned.body)["messages"]
    return count_prompt_tokens(messages) + len(answer_words(messages)[: planned.tokens])


def _ran_twice(outcomes: Sequence[Outcome], ran_by_request: dict[str, Ran]) -> int:
    once = {o.planned.idempotency_key for o in outcomes if o.planned.mix == NOT_REPEATABLE}
    return sum(max(0, ran_by_request[key].executions - 1) for key in once & ran_by_request.keys())


if __name__ == "__main__":
    main()
