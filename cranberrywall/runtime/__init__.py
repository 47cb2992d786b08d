"""Reach time, network, files and chance only through interfaces that tests replace."""

from cranberrywall.runtime._interfaces import (
    AppendFile,
    Clock,
    Listener,
    Network,
    OnConnect,
    Random,
    Reader,
    Runtime,
    Storage,
    Writer,
)

__all__ = [
    "AppendFile",
    "Clock",
    "Listener",
    "Network",
    "OnConnect",
    "Random",
    "Reader",
    "Runtime",
    "Storage",
    "Writer",
]
