"""Calls between the system's processes, over authenticated streams of msgpack frames."""

from cranberrywall.links._caller import make_caller
from cranberrywall.links._codec import MalformedMessageError, MessageCodec
from cranberrywall.links._counters import DropReason, LinkCounters
from cranberrywall.links._interfaces import (
    Caller,
    Handler,
    LinkCaller,
    LinkServer,
    Method,
    Peer,
    Server,
)
from cranberrywall.links._limits import Limits, limits_of
from cranberrywall.links._server import make_link_server

__all__ = [
    "Caller",
    "DropReason",
    "Handler",
    "Limits",
    "LinkCaller",
    "LinkCounters",
    "LinkServer",
    "MalformedMessageError",
    "MessageCodec",
    "Method",
    "Peer",
    "Server",
    "limits_of",
    "make_caller",
    "make_link_server",
]
