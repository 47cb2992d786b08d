"""Messages in which entry hosts report ended targets and decide about requests."""

from enum import StrEnum
from typing import NamedTuple

from cranberrywall.links import MessageCodec


class Suspicion(NamedTuple):
    """Request that a target was running as it ended; ``percent`` is its weight."""

    fingerprint: bytes
    percent: int


class EndingReport(NamedTuple):
    """One host's requests at a target's incarnation that ended."""

    target: str
    incarnation: int
    host: str
    suspicions: tuple[Suspicion, ...]


class DecisionState(StrEnum):
    """State of a request.

    ``HELD``: it is refused. ``CLEARED``: a target answered it completely, so the evidence against
    it is discarded. ``LIFTED``: an operator released it.
    """

    HELD = "held"
    CLEARED = "cleared"
    LIFTED = "lifted"


class Decision(NamedTuple):
    """Decision about a request, with the targets that ended while they ran it.

    ``by`` is the host or the operator that decided. ``request_id`` is the id of one of its
    arrivals, or empty if none is recorded.
    """

    fingerprint: bytes
    state: DecisionState
    by: str
    request_id: str
    targets: tuple[str, ...]


QUARANTINE_CODEC = MessageCodec([EndingReport, Decision])
