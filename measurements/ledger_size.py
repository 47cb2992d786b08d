"""Measure one ledger group by the number of its budgets.

Bytes in memory and in the snapshot, the time to write a snapshot and to restart from it,
and the draws and charges that one core applies a second, at two sizes. A slope is the
difference between the two sizes by one budget, allotment or request id.
"""

import tempfile
import tracemalloc
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import NamedTuple

from cranberrywall.budgets.ledger import IdLimits, make_ledger_machine
from cranberrywall.budgets.messages import (
    LEDGER_CODEC,
    Charge,
    ChargeBatch,
    Credit,
    Draw,
    Holder,
)
from cranberrywall.replication import StateMachine
from cranberrywall.runtime import Clock, Storage, make_clock, make_storage
from measurements._figures import Figure, report_figures

SIZES = (10_000, 100_000)
HOLDERS = 3
"""Hosts that hold a part of each budget; the busiest budgets have more."""

DRAWS = 20_000
IDS = 100_000
CHARGES_IN_BATCH = 100
SINGLE_CHARGES = 5_000
FEW_IDS = IdLimits(per_segment=2_048, merged=8, kept=65_536)
"""As many segments as by default, with a 32nd of the ids, so that they are full at once."""

AT = 1_793_000_000.0
SNAPSHOT = "ledger.snapshot"


class Sized(NamedTuple):
    """Hold one size's figures; times in seconds, bytes in memory and on disk."""

    budgets: int
    memory_bytes: int
    snapshot_bytes: int
    snapshot_s: float
    restart_s: float
    draws_per_s: float


def main() -> None:
    """Measure both sizes and print the figures."""
    clock = make_clock()
    with tempfile.TemporaryDirectory() as folder:
        small, large = (measure(size, clock, make_storage(folder)) for size in SIZES)
    for sized in (small, large):
        print(" ".join(f"{name}={value:.6g}" for name, value in sized._asdict().items()))
    one_holder = memory_of(lambda machine: fill(machine, SIZES[0], 1))
    report_figures("ledger_size", {**slopes(small, large, one_holder), **measure_charges(clock)})


def measure(budgets: int, clock: Clock, storage: Storage) -> Sized:
    """Return the figures of a group with ``budgets`` budgets."""
    memory = memory_of(lambda machine: fill(machine, budgets, HOLDERS))
    machine = make_ledger_machine()
    fill(machine, budgets, HOLDERS)
    draws = [LEDGER_CODEC.encode(draw) for draw in islice(_draws(budgets, HOLDERS + 1), DRAWS)]
    drawing_s = timed(clock, lambda: apply_all(machine, draws))
    snapshot_s = timed(clock, lambda: storage.replace(SNAPSHOT, machine.snapshot()))
    restart_s = timed(clock, lambda: restart(storage))
    size = len(storage.read(SNAPSHOT) or b"")
    return Sized(budgets, memory, size, snapshot_s, restart_s, len(draws) / drawing_s)


def slopes(small: Sized, large: Sized, one_holder: int) -> dict[str, Figure]:
    """Return what one more budget costs, and one more allotment of a budget."""
    more = large.budgets - small.budgets
    allotment = (small.memory_bytes - one_holder) / (small.budgets * (HOLDERS - 1))
    return {
        "budgets": large.budgets,
        "holders": HOLDERS,
        "memory_per_budget_bytes": (large.memory_bytes - small.memory_bytes) / more,
        "memory_per_allotment_bytes": allotment,
        "snapshot_per_budget_bytes": (large.snapshot_bytes - small.snapshot_bytes) / more,
        "snapshot_s": large.snapshot_s,
        "snapshot_per_budget_us": (large.snapshot_s - small.snapshot_s) / more * 1e6,
        "restart_s": large.restart_s,
        "restart_per_budget_us": (large.restart_s - small.restart_s) / more * 1e6,
        "draws_per_s": large.draws_per_s,
        "draws_ratio": large.draws_per_s / small.draws_per_s,
    }


def measure_charges(clock: Clock) -> dict[str, Figure]:
    """Return the rate of charges, and what one kept request id costs.

    ``single_charges_per_s`` is that of batches of one, with as many segments of ids to
    search as a ledger of long standing has.
    """
    machine = make_ledger_machine()
    fill(machine, 1_000, 1)
    batches = [LEDGER_CODEC.encode(batch) for batch in _batches(1_000, IDS, CHARGES_IN_BATCH)]
    charging_s = timed(clock, lambda: apply_all(machine, batches))
    charged = memory_of(lambda fresh: _fill_and_charge(fresh, batches))
    empty = memory_of(lambda fresh: fill(fresh, 1_000, 1))
    return {
        "charges_per_s": IDS / charging_s,
        "single_charges_per_s": _single_charges_per_s(clock),
        "memory_per_id_bytes": (charged - empty) / IDS,
    }


def _single_charges_per_s(clock: Clock) -> float:
    machine = make_ledger_machine(FEW_IDS)
    fill(machine, 1_000, 1)
    apply_all(machine, (LEDGER_CODEC.encode(batch) for batch in _batches(1_000, IDS, 100)))
    more = islice(_batches(1_000, IDS + SINGLE_CHARGES, 1), IDS, None)
    commands = [LEDGER_CODEC.encode(batch) for batch in more]
    return SINGLE_CHARGES / timed(clock, lambda: apply_all(machine, commands))


def _fill_and_charge(machine: StateMachine, batches: Iterable[bytes]) -> None:
    fill(machine, 1_000, 1)
    apply_all(machine, batches)


def fill(machine: StateMachine, budgets: int, holders: int) -> None:
    """Credit every budget and let hosts hold a part of it."""
    apply_all(machine, (LEDGER_CODEC.encode(credit) for credit in _credits(budgets)))
    for host in range(holders):
        draws = islice(_draws(budgets, host), budgets)
        apply_all(machine, (LEDGER_CODEC.encode(draw) for draw in draws))


def apply_all(machine: StateMachine, commands: Iterable[bytes]) -> None:
    """Apply encoded commands, as a group does."""
    for command in commands:
        machine.apply(command)


def restart(storage: Storage) -> None:
    """Read the snapshot from the disk into a fresh machine."""
    make_ledger_machine().restore(storage.read(SNAPSHOT) or b"")


def memory_of(work: Callable[[StateMachine], None]) -> int:
    """Return the bytes that a machine holds after ``work``."""
    tracemalloc.start()
    machine = make_ledger_machine()
    work(machine)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held


def timed(clock: Clock, work: Callable[[], object]) -> float:
    """Return the seconds that ``work`` takes."""
    start = clock.now()
    work()
    return clock.now() - start


def _credits(budgets: int) -> Iterator[Credit]:
    for number in range(budgets):
        name = f"budget-{number:06}"
        workspace = f"workspace-{number % 2_700}"
        yield Credit(name, workspace, "tokens", 10**9, f"change-{number}", "ann", AT)


def _draws(budgets: int, host: int) -> Iterator[Draw]:
    holder = Holder(f"entry-{host}", 1_793_000_000_000)
    number = 1
    while True:
        for budget in range(budgets):
            yield Draw(f"budget-{budget:06}", holder, number, 1_000, 1, AT)
        number += 1


def _batches(budgets: int, count: int, size: int) -> Iterator[ChargeBatch]:
    holder = Holder("entry-0", 1_793_000_000_000)
    charges = (
        Charge(
            f"budget-{number % budgets:06}",
            "workspace-1",
            f"request-{number:012}",
            number // budgets + 1,
            1,
            AT + number / 1_000,
        )
        for number in range(count)
    )
    while batch := tuple(islice(charges, size)):
        yield ChargeBatch(holder, batch, AT)


if __name__ == "__main__":
    main()
