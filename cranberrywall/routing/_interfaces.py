"""Interface between the code that runs requests and the router that chooses targets.

Times are monotonic seconds. Each attempt is a demand of its own: a retry is a new demand whose
``exclude`` names the targets that were already tried.
"""

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.rates import RateNotice
from cranberrywall.targets import DecimalField, TargetIncarnation


class Demand(NamedTuple):
    """One attempt of a request that needs a slot at a target.

    ``workspace`` is empty if a route has already authorized the request; ``caller`` is the
    requesting workspace in either case, and is used to share scarce capacity evenly. ``kind`` is
    ``"engine"`` or ``"service"`` and ``name`` the model or the service. ``version`` and ``adapter``
    are empty if any will do. ``rank`` is the priority; 0 is served first. ``bound_tokens`` is the
    maximum number of tokens that the attempt can cost. ``prefix_hashes`` is the chain of the
    prompt's block hashes, longest prefix last. ``affinity_hash`` is a hash of the part of the
    prompt that other prompts share, or empty: all hosts send prompts with the same hash to one
    target, as long as that target keeps up.

    ``exclude`` names the targets already tried for this request. ``retry`` is true for each attempt
    but the first; such an attempt spends from the retry budget. ``is_resend`` is true if an earlier
    attempt reached no target: this attempt then neither spends from the retry budget nor adds to
    it. ``is_optional`` is true for a retry that the request can do without: it leaves the last
    retry of the budget to others. ``excluded_may_serve`` is true if a later demand for the same
    request may go to an excluded target: if there is no other target, this demand waits for one
    until its deadline instead of being refused immediately.
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
    is_optional: bool = False


class OutcomeKind(StrEnum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    FAILED_BEFORE = "failed_before"
    FAILED_AFTER = "failed_after"
    CANCELLED = "cancelled"


class Outcome(NamedTuple):
    """How an attempt ended; the router updates the target's health from it.

    ``FAILED_BEFORE`` means that no byte of the request was sent. ``first_token_s`` is the time from
    the grant of the slot to the first token in seconds, ``None`` if there was none. ``tokens`` is
    the number of generated tokens.
    """

    kind: OutcomeKind
    first_token_s: float | None = None
    tokens: int = 0


class Slot(Protocol):
    """Capacity for one request at a target, occupied until ``finish`` is called."""

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        ...

    @property
    def target_incarnation(self) -> TargetIncarnation:
        """Return the target's id and the incarnation that the slot is at."""
        ...

    @property
    def url(self) -> str:
        """Return the target's base URL, without a trailing slash."""
        ...

    @property
    def is_offered(self) -> bool:
        """Return whether the request may still be sent.

        The target may have left or asked this host for a backoff since the slot was granted.
        """
        ...

    @property
    def version(self) -> str:
        """Return the model version to request; empty if the target announced none."""
        ...

    def record_first_token(self, now: float) -> None:
        """Record that the target began to answer; a target that does not respond is avoided."""
        ...

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Record the requests of all hosts that the target reported as running and waiting."""
        ...

    def record_rate(self, notice: RateNotice, is_served: bool, request_id: str, now: float) -> None:
        """Record the rate limit, in requests per second, that an answer of the target stated.

        ``is_served`` is False for an answer that did not run the request.
        """
        ...

    def record_backoff(self, field: DecimalField, request_id: str, now: float) -> None:
        """Record the backoff, in seconds, that a 503 of the target asked for."""
        ...

    def record_rejections(
        self, field: DecimalField, is_rejected: bool, request_id: str, now: float
    ) -> None:
        """Record the rejections a second that an answer said the target can take.

        ``is_rejected`` is true for an answer that rejected the request for want of room.
        """
        ...

    def announced_leaving(self, request_id: str, now: float) -> None:
        """Record that the target announced in an answer that it accepts no new work."""
        ...

    def finish(self, outcome: Outcome, now: float) -> None:
        """Release the slot and report the outcome; a second call does nothing."""
        ...


class Router(Protocol):
    """Choose targets and grant slots at them."""

    async def acquire(self, demand: Demand, now: float) -> Result[Slot, Refusal]:
        """Wait in the bounded priority queue until a target has a free slot, or refuse.

        A demand that cannot be served before its deadline is refused immediately: with
        ``OVERLOADED`` and a time to retry after, with ``RATE_LIMITED`` if the rate limits of the
        targets are exceeded, with ``TOO_MANY_REQUESTS`` if the workspace has reached its limit of
        concurrent requests, or with ``NO_TARGET`` or ``EVACUATED``. A queued demand is refused with
        ``DEADLINE_PASSED`` once a slot would come too late for an answer. If the waiting task is
        cancelled, its entry in the queue is removed.
        """
        ...

    async def may_send_again(self, url: str, rank: int, workspace: str) -> bool:
        """Return whether one more call may go to a target that has an attempt of this request.

        A throttled target, or one that asked for a backoff, counts each call that reaches it,
        including a call that only requests the rest of an answer.
        """
        ...
