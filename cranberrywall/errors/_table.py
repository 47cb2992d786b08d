"""Table of the HTTP answer for each error kind."""

from typing import NamedTuple

from cranberrywall.errors._kinds import ErrorKind, Ran
from cranberrywall.errors._refusal import Refusal


class Answer(NamedTuple):
    """HTTP answer for an error kind.

    ``retry_safe`` is true if sending the same request again can neither run it twice nor bill it
    twice. ``retry_after`` is in seconds, or ``None`` if a later retry does not help.
    """

    status: int
    ran: Ran
    retry_safe: bool
    retry_after: float | None


_NO, _YES, _UNKNOWN = Ran.NO, Ran.YES, Ran.UNKNOWN

TABLE: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NO, True, None),
    ErrorKind.UNAUTHENTICATED: Answer(401, _NO, True, None),
    ErrorKind.FORBIDDEN: Answer(403, _NO, True, None),
    ErrorKind.NOT_FOUND: Answer(404, _NO, True, None),
    ErrorKind.TOO_LARGE: Answer(413, _NO, True, None),
    ErrorKind.TOO_MANY_REQUESTS: Answer(429, _NO, True, 1.0),
    ErrorKind.BUDGET_EXHAUSTED: Answer(402, _NO, True, 60.0),
    ErrorKind.BUDGET_UNREACHABLE: Answer(503, _NO, True, 5.0),
    ErrorKind.OVERLOADED: Answer(503, _NO, True, 2.0),
    ErrorKind.RATE_LIMITED: Answer(503, _NO, True, 2.0),
    ErrorKind.NO_TARGET: Answer(503, _NO, True, 5.0),
    ErrorKind.EVACUATED: Answer(503, _NO, True, 5.0),
    ErrorKind.QUARANTINED: Answer(503, _NO, True, 600.0),
    ErrorKind.DEADLINE_PASSED: Answer(504, _NO, True, 1.0),
    ErrorKind.DRAINING: Answer(503, _NO, True, 0.0),
    ErrorKind.NOT_READY: Answer(503, _NO, True, 1.0),
    ErrorKind.NOT_RUN: Answer(503, _NO, True, 1.0),
    ErrorKind.RUNNING: Answer(409, _YES, True, 1.0),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, _UNKNOWN, False, None),
    ErrorKind.TARGET_FAILED: Answer(502, _YES, True, 1.0),
    ErrorKind.ANSWER_CUT: Answer(502, _YES, True, 1.0),
    ErrorKind.CANCELLED: Answer(499, _UNKNOWN, True, None),
    ErrorKind.CONFLICT: Answer(409, _NO, True, None),
    ErrorKind.NOT_LEADER: Answer(503, _NO, True, 0.5),
    ErrorKind.NOT_CURRENT: Answer(503, _NO, True, 1.0),
    ErrorKind.PERIOD_CLOSED: Answer(409, _NO, True, None),
    ErrorKind.UNSAFE_STEP: Answer(409, _NO, True, None),
    ErrorKind.STORAGE_FAILED: Answer(503, _UNKNOWN, False, None),
    ErrorKind.CORRUPT: Answer(500, _UNKNOWN, False, None),
    ErrorKind.UNREACHABLE: Answer(503, _NO, True, 1.0),
    ErrorKind.TIMEOUT: Answer(504, _UNKNOWN, False, 1.0),
    ErrorKind.MALFORMED: Answer(400, _NO, True, None),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, False, None),
}


def answer_for(refusal: Refusal) -> Answer:
    """Return the answer for a refusal, with the refusal's own ``retry_after`` if it is set."""
    answer = TABLE[refusal.kind]
    if refusal.retry_after is None:
        return answer
    return answer._replace(retry_after=refusal.retry_after)
