"""Assemble the real runtime."""

import random

from cranberrywall.runtime._clock import make_clock
from cranberrywall.runtime._interfaces import Random, Runtime, StreamContexts
from cranberrywall.runtime._network import make_network
from cranberrywall.runtime._storage import make_storage


def make_random(seed: int | None = None) -> Random:
    """Return random numbers; the same ``seed`` gives the same ones."""
    return random.Random(seed)


def make_runtime(
    data: str | None, seed: int | None = None, contexts: StreamContexts | None = None
) -> Runtime:
    """Return this machine's clock, network, files under ``data`` and random numbers.

    ``data`` is ``None`` on a host without a disk, ``contexts`` on streams without TLS.
    """
    storage = None if data is None else make_storage(data)
    return Runtime(make_clock(), make_network(contexts), make_random(seed), storage)
