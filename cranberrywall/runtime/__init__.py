"""Interfaces to clock, network, storage and random numbers, which tests replace."""

from cranberrywall.runtime._clock import make_clock
from cranberrywall.runtime._interfaces import (
    AppendFile,
    CertifiedWriter,
    Clock,
    Listener,
    Network,
    OnConnect,
    Random,
    Reader,
    Runtime,
    Storage,
    StreamContexts,
    Writer,
)
from cranberrywall.runtime._memory_use import resident_bytes
from cranberrywall.runtime._network import make_network, split_address
from cranberrywall.runtime._resetting import reset_on_close
from cranberrywall.runtime._runtime import make_random, make_runtime
from cranberrywall.runtime._storage import make_storage
from cranberrywall.runtime._timers import Timer, Timers

__all__ = [
    "AppendFile",
    "CertifiedWriter",
    "Clock",
    "Listener",
    "Network",
    "OnConnect",
    "Random",
    "Reader",
    "Runtime",
    "Storage",
    "StreamContexts",
    "Timer",
    "Timers",
    "Writer",
    "make_clock",
    "make_network",
    "make_random",
    "make_runtime",
    "make_storage",
    "reset_on_close",
    "resident_bytes",
    "split_address",
]
