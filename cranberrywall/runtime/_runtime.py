"""Factories of the runtime that uses the system's clock, network and files."""

import random

from cranberrywall.runtime._clock import make_clock
from cranberrywall.runtime._interfaces import Random, Runtime, StreamContexts
from cranberrywall.runtime._network import make_network
from cranberrywall.runtime._storage import make_storage


def make_random(seed: int | None = None) -> Random:
    """Return a random number generator; equal seeds produce equal sequences."""
    return random.Random(seed)


def make_runtime(
    data: str | None, seed: int | None = None, contexts: StreamContexts | None = None
) -> Runtime:
    """Return the runtime of this machine, with its files in the folder ``data``.

    ``data`` is ``None`` on a host without a disk. ``contexts`` is ``None`` if connections do
    not use TLS. Raises ``OSError`` if the folder does not exist.
    """
    storage = None if data is None else make_storage(data)
    return Runtime(make_clock(), make_network(contexts), make_random(seed), storage)
