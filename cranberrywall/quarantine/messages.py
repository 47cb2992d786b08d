"""Messages in which entry hosts report ended targets and decide about requests and prompts."""

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


class ReportedRun(NamedTuple):
    """Request that a target had begun, or was to begin, as it ended; ``percent`` is its weight.

    ``answered_ms`` is the time since the head of its answer, or -1 if there was none.
    ``workspace``, ``service`` and ``parts`` are positions in the traits of the report.
    """

    fingerprint: bytes
    percent: int
    answered_ms: int
    workspace: int
    service: int
    parts: tuple[int, ...]


class PromptReport(NamedTuple):
    """Parts of prompts of one host's requests at a target's incarnation that ended.

    ``ago_ms`` is how long before the report the host lost its connections to the target.
    """

    target: str
    incarnation: int
    host: str
    ago_ms: int
    traits: tuple[bytes, ...]
    runs: tuple[ReportedRun, ...]


class PartCleared(NamedTuple):
    """A target of the service has written an answer to a prompt with this part."""

    part: bytes
    service: bytes
    host: str


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


class PatternDecision(NamedTuple):
    """Decision about all requests that have these traits; its fingerprint is their hash."""

    decision: Decision
    traits: tuple[bytes, ...]


QUARANTINE_CODEC = MessageCodec(
    [EndingReport, Decision, PromptReport, PartCleared, PatternDecision]
)
