"""Measure what the configuration's size costs a control host and an entry host.

Documents of two sizes are made: ``--workspaces`` with their budgets and ``--hosts``, and a
tenth of both. Times are medians over ``--changes`` changes of one workspace. Memory is what a
host's copy of the document takes; ``bytes_per_budget`` is measured alone, since a fleet may
have many budgets for each workspace.
"""

import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any

import click
import msgspec

from cranberrywall.configuration import Document, Edit, make_configuration_machine
from cranberrywall.configuration._in_force import make_in_force, make_next_in_force
from cranberrywall.configuration.messages import CONFIGURATION_CODEC, Change
from measurements._figures import report_figures
from tests.configuration.documents import make_document, whole_document_edits

BUDGETS = 100_000


@click.command()
@click.option("--workspaces", default=2700)
@click.option("--hosts", default=1700)
@click.option("--changes", default=30)
def main(workspaces: int, hosts: int, changes: int) -> None:
    """Print the costs at full size, and the ratio to a tenth of it."""
    large = measure(make_sized_document(workspaces, hosts), changes)
    small = measure(make_sized_document(workspaces // 10, hosts // 10), changes)
    figures: dict[str, int | float | str] = {"workspaces": workspaces, "hosts": hosts, **large}
    figures["change_ratio"] = large["change_ms"] / small["change_ms"]
    figures["host_change_ratio"] = large["host_change_ms"] / small["host_change_ms"]
    figures["bytes_per_budget"] = memory_of(make_budgets) / BUDGETS
    report_figures("config_size", figures)


def make_sized_document(workspaces: int, hosts: int) -> Any:
    """Return a valid document with so many workspaces, each with its budget, and hosts."""
    document = make_document()
    workspace = document["workspaces"].pop("desk")
    for number in range(workspaces):
        name = f"workspace-{number}"
        keys = {"first": {"sha256": f"{number:064x}"}, "second": {"sha256": f"f{number:063x}"}}
        document["workspaces"][name] = {**workspace, "keys": keys, "budget": name}
        document["budgets"][name] = {"unit": "tokens"}
    host = document["hosts"].pop("entry-1")
    for number in range(hosts):
        address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
        document["hosts"][f"entry-{number}"] = {
            **host,
            "links": f"{address}:7001",
            "http": f"{address}:7002",
        }
    return document


def make_budgets() -> Any:
    """Return budgets as a host decodes them."""
    data = msgspec.msgpack.encode(
        {f"budget-{number}": {"unit": "tokens"} for number in range(BUDGETS)}
    )
    return msgspec.msgpack.decode(data)


def measure(document: Document, changes: int) -> dict[str, float]:
    """Return the costs of one document."""
    machine = make_configuration_machine()
    first = Change(whole_document_edits(dict(document)), 0, "first", "ana", 1.0)
    machine.apply(CONFIGURATION_CODEC.encode(first))
    before = make_in_force(1, 0, document)
    change_times: list[float] = []
    host_times: list[float] = []
    for number in range(1, changes + 1):
        workspace = dict(document["workspaces"]["workspace-7"], concurrent=number)
        edits = (Edit("workspaces", "workspace-7", workspace),)
        command = CONFIGURATION_CODEC.encode(Change(edits, number, f"c{number}", "ana", 2.0))
        change_times.append(timed(partial(machine.apply, command)))
        (delta,) = machine.deltas_after(number, 1) or ()
        host_times.append(timed(partial(make_next_in_force, before, delta)))
    assert machine.revision == changes + 1
    encoded = msgspec.msgpack.encode(document)
    snapshot = machine.snapshot()
    return {
        "document_bytes": len(encoded),
        "change_ms": statistics.median(change_times),
        "host_change_ms": statistics.median(host_times),
        "snapshot_ms": timed(machine.snapshot),
        "restore_ms": timed(lambda: make_configuration_machine().restore(snapshot)),
        "host_memory_bytes": memory_of(
            lambda: make_in_force(1, 0, msgspec.msgpack.decode(encoded))
        ),
    }


def timed(work: Callable[[], object]) -> float:
    """Return how long ``work`` takes, in milliseconds."""
    started = time.perf_counter()
    work()
    return (time.perf_counter() - started) * 1000


def memory_of(make: Callable[[], object]) -> int:
    """Return the bytes that what ``make`` returns takes."""
    tracemalloc.start()
    made = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return size


if __name__ == "__main__":
    main()
