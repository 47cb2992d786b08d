"""Define where the life of a request meets the choice of a target.

Times are monotonic seconds. A demand is admitted once per attempt: a retry is a new demand
whose ``exclude`` names the targets that were tried.
"""

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.rates import RateNotice
from cranberrywall.targets import DecimalField


class Demand(NamedTuple):
    """Describe one attempt that needs a place at a target.

    ``workspace`` is empty where a route already decided that the request may go there;
    ``caller`` is the workspace that asks in any case, for even shares of what is scarce.
    ``kind`` is ``"engine"`` or ``"service"`` and ``name`` the model or the service.
    ``version`` and ``adapter`` are empty where any will do. ``rank`` is the priority, 0 is
    served first. ``bound_tokens`` is the most that the attempt can cost. ``prefix_hashes``
    is the chain of the prompt's block hashes, longest prefix last. ``affinity_hash`` is a hash of what
    the prompt shares with others, where that is known: all hosts send such prompts to one
    target, as long as it keeps up. ``exclude`` names the
    targets already tried for this request; ``retry`` is true for each attempt but the
    first, and draws on the retry budget. ``is_resend`` is true where an attempt before it reached no
    target: it neither draws on that budget nor adds to it once more. ``excluded_may_serve`` is
    true where another demand for the same request may go to an excluded target later: with no
    other target it waits for one until its deadline, in place of being refused at once.
    """

    workspace: str
    kind: str
    name: str
    version: str
    adapter: str
    rank: int
    deadline: float
    bound_tokens: int
    prefix_hashes: tuple[bytes, ...] = ()
    affinity_hash: bytes = b""
    exclude: frozenset[str] = frozenset()
    retry: bool = False
    is_resend: bool = False
    caller: str = ""
    excluded_may_serve: bool = False


class OutcomeKind(StrEnum):
    """Say how an attempt ended at the target."""

    ANSWERED = "answered"
    FAILED_BEFORE = "failed_before"
    FAILED_AFTER = "failed_after"
    CANCELLED = "cancelled"


class Outcome(NamedTuple):
    """Report how an attempt ended; the router learns the target's health from it.

    ``FAILED_BEFORE`` means that no byte of the request was sent. ``first_token_s`` is the
    time from the slot's grant to the first token, ``None`` where there was none.
    ``tokens`` counts generated tokens.
    """

    kind: OutcomeKind
    first_token_s: float | None = None
    tokens: int = 0


class Slot(Protocol):
    """Hold one place at a target until ``finish``, which is called exactly once."""

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        ...

    @property
    def url(self) -> str:
        """Return the target's base URL, without a slash at the end."""
        ...

    @property
    def is_offered(self) -> bool:
        """Return whether the request may still be sent.

        Since the grant, the target may have left or asked this host for a backoff.
        """
        ...

    @property
    def version(self) -> str:
        """Return the model version to ask for; empty where the target named none."""
        ...

    def record_first_token(self, now: float) -> None:
        """Note that the target began to answer; a target that stays silent is avoided."""
        ...

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Note the requests of all hosts that the target said it has now."""
        ...

    def record_rate(self, notice: RateNotice, is_served: bool, request_id: str, now: float) -> None:
        """Note what an answer said of the requests a second that the target takes.

        ``is_served`` is False for an answer that did not run the request.
        """
        ...

    def record_backoff(self, field: DecimalField, request_id: str, now: float) -> None:
        """Note for how many seconds a 503 of the target asks for no further request."""
        ...

    def announced_leaving(self, request_id: str, now: float) -> None:
        """Note that the target says in an answer that it takes no new work."""
        ...

    def finish(self, outcome: Outcome, now: float) -> None:
        """Free the place and report the outcome; a second call does nothing."""
        ...


class Router(Protocol):
    """Choose targets and hand out places at them."""

    async def acquire(self, demand: Demand, now: float) -> Result[Slot, Refusal]:
        """Wait in the bounded priority queue until a target has a place, or refuse.

        It refuses at once where the demand cannot be served before its deadline
        (``OVERLOADED`` with a time to come back, ``RATE_LIMITED`` where targets take fewer
        requests than ask for them, ``TOO_MANY_REQUESTS`` for a workspace over its number,
        ``NO_TARGET``) and with ``DEADLINE_PASSED`` once a place would come too late for an answer.
        When the waiting task is cancelled its place in the queue is freed.
        """
        ...

    async def may_send_again(self, url: str, rank: int, workspace: str) -> bool:
        """Return whether one more call may go to a target where this request has a run.

        A target in need, or one that asked for a backoff, counts each call that reaches it, also
        one that only asks for the rest of an answer.
        """
        ...
