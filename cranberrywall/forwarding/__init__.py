"""Forwarding of callers' requests to targets, unchanged, according to routes and budgets."""

from cranberrywall.forwarding._forwarder import Forwarder
from cranberrywall.forwarding._interfaces import (
    Arrival,
    Attempt,
    CallerReply,
    Dialect,
    Generation,
    Headers,
    PromptPart,
    TargetHead,
    TargetLoad,
)
from cranberrywall.forwarding._origins import StreamOrigins

__all__ = [
    "Arrival",
    "Attempt",
    "CallerReply",
    "Dialect",
    "Forwarder",
    "Generation",
    "Headers",
    "PromptPart",
    "StreamOrigins",
    "TargetHead",
    "TargetLoad",
]
