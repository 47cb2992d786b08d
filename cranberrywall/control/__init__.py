"""Assemble the control program, and call it from the other programs."""

from cranberrywall.control._client import ControlClient
from cranberrywall.control._placement import ledger_group, ledger_groups
from cranberrywall.control.messages import (
    PROPOSE,
    QUERY,
    ProposeReply,
    ProposeRequest,
    QueryReply,
    QueryRequest,
)

__all__ = [
    "PROPOSE",
    "QUERY",
    "ControlClient",
    "ProposeReply",
    "ProposeRequest",
    "QueryReply",
    "QueryRequest",
    "ledger_group",
    "ledger_groups",
]
