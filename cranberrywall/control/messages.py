"""Define the calls that control hosts answer."""

from typing import NamedTuple

from cranberrywall.links import Method


class ProposeRequest(NamedTuple):
    """Ask the leader of ``group`` to commit ``command``."""

    group: str
    command: bytes


class ProposeReply(NamedTuple):
    """Carry what the state machine answered."""

    result: bytes


class QueryRequest(NamedTuple):
    """Ask the leader of ``group`` for a linearizable read."""

    group: str
    query: bytes


class QueryReply(NamedTuple):
    """Carry what the state machine answered."""

    result: bytes


PROPOSE = Method("control.propose", ProposeRequest, ProposeReply)
QUERY = Method("control.query", QueryRequest, QueryReply)
