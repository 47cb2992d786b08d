"""Measure what a routing decision costs in processor time, and what the state costs in memory.

For 100, 1,000 and 12,000 targets of six models: microseconds for each decision and each
renewal, bytes for each target known, and bytes for each entry of the prefix index.
"""

import gc
import random
import time
import tracemalloc
from typing import NamedTuple

from cranberrywall.routing import Demand, Outcome, OutcomeKind, TargetRouter, make_router
from cranberrywall.targets import (
    TARGETS_CODEC,
    Announcement,
    Load,
    PrefixIndex,
    Targets,
    make_targets,
)
from measurements._figures import Figure, report_figures
from measurements._fleet_model import ModelConfiguration
from measurements._virtual_time import VirtualClock, run_virtual
from measurements._workload import Mix, draw_requests

SEED = 3
COUNTS = (100, 1000, 12000)
MODELS = 6
PLACES = tuple(f"place-{number}" for number in range(13))
TARGETS_PER_HOST = 7
DECISIONS = 3000
RENEWALS = 6000
ENTRIES = 100_000
IN_PROGRESS = 16


class Cost(NamedTuple):
    """Hold the cost with some number of targets."""

    decision_us: float
    renewal_us: float
    target_bytes: float


def main() -> None:
    """Measure each number of targets and print the figures and the slopes."""
    figures: dict[str, Figure] = {}
    for count in COUNTS:
        cost = run_virtual(_measure(count))
        figures[f"decision_us_{count}"] = cost.decision_us
        figures[f"renewal_us_{count}"] = cost.renewal_us
        figures[f"target_bytes_{count}"] = cost.target_bytes
    figures["prefix_entry_bytes"] = _prefix_entry_bytes()
    report_figures("routing_cost", figures)


async def _measure(count: int) -> Cost:
    clock = VirtualClock()
    gc.collect()
    tracemalloc.start()
    targets = make_targets()
    for number in range(count):
        targets.apply(_received(number, 1), 0.0)
    target_bytes = tracemalloc.get_traced_memory()[0] / count
    tracemalloc.stop()
    router = make_router(
        targets,
        ModelConfiguration(PLACES),
        clock,
        random.Random(SEED),
        "entry-1",
        PLACES[0],
        lambda: max(1, count // TARGETS_PER_HOST),
    )
    renewal_us = _time_renewals(targets, count)
    decision_us = await _time_decisions(router)
    return Cost(decision_us, renewal_us, target_bytes)


def _received(number: int, counter: int) -> Announcement:
    """Return an announcement as it comes from another host: decoded from bytes."""
    announcement = Announcement(
        target=f"engine-{number}",
        incarnation=1,
        counter=counter,
        kind="engine",
        name="asistent" if not number % MODELS else f"model-{number % MODELS}",
        place=PLACES[number % len(PLACES)],
        url=f"http://10.0.{number // 250}.{number % 250}:9001",
        capacity=16,
        versions=("2026-10",),
        load=Load(8, 0, 1_790_000_000.0 + counter),
    )
    decoded: Announcement = TARGETS_CODEC.decode(TARGETS_CODEC.encode(announcement))
    return decoded


def _time_renewals(targets: Targets, count: int) -> float:
    renewals = [_received(number % count, 2 + number // count) for number in range(RENEWALS)]
    start = time.process_time()
    for renewal in renewals:
        targets.apply(renewal, 1.0)
    return (time.process_time() - start) / RENEWALS * 1e6


async def _time_decisions(router: TargetRouter) -> float:
    """Return the time of a decision with its outcome, over prompts of 20 to 160 blocks."""
    requests = draw_requests(Mix(100.0, 200), DECISIONS / 100.0 * 1.2, SEED)
    demands = [
        Demand("desk", "engine", "asistent", "", "", request.rank, 1e9, 300, request.prefix)
        for request in requests
    ]
    slots = []
    start = time.process_time()
    for number, demand in enumerate(demands):
        now = number / 100.0
        slots.append((await router.acquire(demand, now)).unwrap())
        if len(slots) > IN_PROGRESS:
            slot = slots.pop(0)
            slot.record_first_token(now)
            slot.finish(Outcome(OutcomeKind.ANSWERED, 0.1, 100), now)
    return (time.process_time() - start) / len(demands) * 1e6


def _prefix_entry_bytes() -> float:
    gc.collect()
    tracemalloc.start()
    index = PrefixIndex(max_entries=4 * ENTRIES)
    for number in range(32):
        index.put(f"engine-{number}", 1)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(ENTRIES):
        block = number.to_bytes(8, "big")
        index.use(f"engine-{number % 32}", [block], float(number))
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(index)


if __name__ == "__main__":
    main()
