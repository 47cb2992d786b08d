"""Say how one request of a run ended."""

from enum import StrEnum
from typing import NamedTuple, Protocol

from cranberrywall.load._plan import PlannedRequest


class OutcomeKind(StrEnum):
    """List the ways in which a request can end for its caller.

    ``REFUSED`` did not run, and ``UNKNOWN`` may have: both are the last word of the system.
    ``LOST`` is the one that must not happen: it ran, or nobody says, and no retry brought
    the answer. ``WRONG`` is an answer that is not this request's own.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    LOST = "lost"


class Outcome(NamedTuple):
    """Hold what a caller saw of one request.

    Times are seconds from the planned arrival, so that waiting inside the load tool
    counts. ``between_s`` is the mean time between tokens. ``code`` is the error's code.
    """

    planned: PlannedRequest
    kind: OutcomeKind
    code: str
    tries: int
    request_id: str
    first_token_s: float
    between_s: float
    total_s: float
    text: str
    cost: int


class AnswerCheck(Protocol):
    """Say whether an answer is the request's own, whole one."""

    def __call__(self, planned: PlannedRequest, text: str) -> bool:
        """Return ``False`` for another request's answer or a part of one."""
        ...
