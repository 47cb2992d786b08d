"""Measure what documents of some sizes cost: in bytes between hosts, and on a host's processor.

For each size, a whole document comes in force at once at a host that has none of it, and a small
change follows. Times are of this machine, one core, in milliseconds.
"""

import json
import time
from collections.abc import Callable
from functools import partial
from typing import Any, cast

import click
from loguru import logger

from cranberrywall.configuration import Document, edits_between, make_host_configuration
from cranberrywall.configuration._machine import chain_after
from cranberrywall.configuration._packing import pack, unpack
from cranberrywall.configuration.messages import Delta, Pack, PublishNumbered, Revision
from cranberrywall.forwarding._routes import map_routes_by_prefix
from measurements._figures import report_figures
from measurements.confirmed_changes import with_routes
from tests.fakes.clock import run_virtual

ROUTES_BY_SIZE = {"10KB": 40, "60KB": 245, "360KB": 1470, "2MB": 8200}
"""Routes that make a document of about the size, as an operator sends it."""

RUNS = 7


def fastest_ms(work: Callable[[], object]) -> float:
    """Return the fastest of some runs, in milliseconds."""
    times = []
    for _ in range(RUNS):
        began = time.perf_counter()
        work()
        times.append(time.perf_counter() - began)
    return min(times) * 1000.0


def delta_between(before: dict[str, Any], after: dict[str, Any], number: int, chain: int) -> Delta:
    """Return the delta that leads from one document to the next."""
    edits = edits_between(before, after)
    revision = Revision(number, "operator", 0.0, f"number {number}", ())
    return Delta(revision, edits, chain_after(chain, edits))


def apply_ms(first: Delta) -> float:
    """Return what it takes a host to check a delta and bring it in force, in milliseconds."""

    async def apply_once() -> float:
        configuration = make_host_configuration(None)
        began = time.perf_counter()
        await configuration.apply_deltas((first,))
        return time.perf_counter() - began

    return min(run_virtual(apply_once()) for _ in range(RUNS)) * 1000.0


@click.command()
def main() -> None:
    """Print the figures of each size."""
    logger.remove()
    figures: dict[str, Any] = {}
    empty: dict[str, Any] = {"ledger_groups": 1}
    for name, routes in ROUTES_BY_SIZE.items():
        document = with_routes(routes)
        source = json.dumps(document).encode()
        whole = delta_between(empty, document, 1, 0)
        moved = {**document, "routes": dict(document["routes"])}
        changed = next(iter(moved["routes"]))
        moved["routes"][changed] = {**moved["routes"][changed], "timeout_s": 9.0}
        small = delta_between(document, moved, 2, whole.chain)
        content = Pack((whole,), None)
        packed = pack(content)
        row = {
            "sent_bytes": len(source),
            "log_bytes": len(pack(PublishNumbered(1, document, source, 0.0))),
            "whole_bytes": len(packed),
            "small_bytes": len(pack(Pack((small,), None))),
            "pack_ms": fastest_ms(partial(pack, content)),
            "unpack_ms": fastest_ms(partial(unpack, packed, Pack)),
            "apply_ms": apply_ms(whole),
            "route_ms": fastest_ms(partial(map_routes_by_prefix, cast(Document, document))),
        }
        print(name, " ".join(f"{key}={value:.4g}" for key, value in row.items()), flush=True)
        figures.update({f"{key}_{name}": value for key, value in row.items()})
    report_figures("document_sizes", figures)


if __name__ == "__main__":
    main()
