"""Define what entry hosts tell each other of targets that ended and requests held back."""

from enum import StrEnum
from typing import NamedTuple

from cranberrywall.links import MessageCodec


class Suspicion(NamedTuple):
    """Name a request that a target was at as it ended; ``percent`` is its weight."""

    fingerprint: bytes
    percent: int


class EndingReport(NamedTuple):
    """Report one host's requests at a start of a target that ended."""

    target: str
    incarnation: int
    host: str
    suspicions: tuple[Suspicion, ...]


class DecisionState(StrEnum):
    """Say what holds for a request.

    ``HELD``: it is refused. ``CLEARED``: a target answered it whole, so what spoke against it is
    forgotten. ``LIFTED``: an operator let it run again.
    """

    HELD = "held"
    CLEARED = "cleared"
    LIFTED = "lifted"


class Decision(NamedTuple):
    """Say what holds for a request, by whom, and which targets ended under it.

    ``by`` is a host, or an operator. ``request_id`` is one under which it came, as far as known.
    """

    fingerprint: bytes
    state: DecisionState
    by: str
    request_id: str
    targets: tuple[str, ...]


QUARANTINE_CODEC = MessageCodec([EndingReport, Decision])
