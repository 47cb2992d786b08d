"""Call the system's other processes over authenticated streams of msgpack frames."""

from cranberrywall.links._codec import MalformedMessageError, MessageCodec
from cranberrywall.links._interfaces import Caller, Handler, Method, Peer, Server

__all__ = [
    "Caller",
    "Handler",
    "MalformedMessageError",
    "MessageCodec",
    "Method",
    "Peer",
    "Server",
]
