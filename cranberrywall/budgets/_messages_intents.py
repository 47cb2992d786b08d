"""Messages about requests that must not be repeated."""

from enum import StrEnum
from typing import NamedTuple

from cranberrywall.budgets._messages_holders import Holder

MAX_ANSWER_BYTES = 65_536
"""Maximum size in bytes of the stored answer to a request that must not be repeated."""


class IntentState(StrEnum):
    """State of a request that must not be repeated.

    ``started`` is returned only to the one attempt that may send the request. ``none`` is the
    answer to a query for an id that was never recorded.
    """

    NONE = "none"
    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class RecordIntent(NamedTuple):
    """Command that records that ``attempt_id`` is about to send a request; the first one wins.

    ``budget`` only selects the group. If the winner sends the command again, it gets ``STARTED``
    again. After the outcome ``NOT_RUN`` a new attempt may win.
    """

    budget: str
    workspace: str
    request_id: str
    attempt_id: str
    holder: Holder
    at: float


class RecordOutcome(NamedTuple):
    """Command that records the outcome of the winning attempt.

    ``state`` is ``DONE``, ``UNKNOWN`` or ``NOT_RUN``. ``answer``, of at most ``MAX_ANSWER_BYTES``,
    is stored for later arrivals of the id. ``UNKNOWN`` may later become ``DONE`` or ``NOT_RUN``;
    these two are final for the attempt.
    """

    budget: str
    workspace: str
    request_id: str
    attempt_id: str
    state: IntentState
    answer: bytes
    at: float


class IntentQuery(NamedTuple):
    """Query for the recorded state of a request id."""

    budget: str
    workspace: str
    request_id: str


class IntentResult(NamedTuple):
    """Recorded state of a request id; ``holder`` and ``attempt_id`` are the winner's."""

    state: IntentState
    attempt_id: str
    holder: Holder
    answer: bytes
