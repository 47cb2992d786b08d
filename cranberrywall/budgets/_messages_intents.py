"""Define the messages about requests that may not be repeated."""

from enum import StrEnum
from typing import NamedTuple

from cranberrywall.budgets._messages_holders import Holder

MAX_ANSWER_BYTES = 65_536
"""The largest stored answer of a request that may not be repeated, in bytes."""


class IntentState(StrEnum):
    """Say what is known of a request that may not be repeated.

    ``started`` is given to the one attempt that may send; ``none`` to a query for an id
    that was never recorded.
    """

    NONE = "none"
    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class RecordIntent(NamedTuple):
    """Record that ``attempt_id`` is about to send a request; the first one wins.

    ``budget`` only chooses the group. The winner's own resend gets ``STARTED`` again.
    After an outcome of ``NOT_RUN`` a new attempt may win.
    """

    budget: str
    workspace: str
    request_id: str
    attempt_id: str
    holder: Holder
    at: float


class RecordOutcome(NamedTuple):
    """Record what became of the winning attempt.

    ``state`` is ``DONE``, ``UNKNOWN`` or ``NOT_RUN``. ``answer`` is kept for later
    arrivals of the id; it is at most ``MAX_ANSWER_BYTES``. ``UNKNOWN`` may later become
    ``DONE`` or ``NOT_RUN``; the other two are final for the attempt.
    """

    budget: str
    workspace: str
    request_id: str
    attempt_id: str
    state: IntentState
    answer: bytes
    at: float


class IntentQuery(NamedTuple):
    """Ask what is known of a request id."""

    budget: str
    workspace: str
    request_id: str


class IntentResult(NamedTuple):
    """Say what is known of a request id; ``holder`` and ``attempt_id`` are the winner's."""

    state: IntentState
    attempt_id: str
    holder: Holder
    answer: bytes
