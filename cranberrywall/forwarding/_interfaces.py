"""Types that forwarding exchanges with callers and targets, and protocols that it requires.

Times are in monotonic seconds; a name that ends in ``_s`` is a duration in seconds.
"""

from typing import NamedTuple, Protocol

from cranberrywall.quarantine import NO_TRAITS, Fingerprint, Traits
from cranberrywall.rates import RateNotice
from cranberrywall.targets import DecimalField

Headers = tuple[tuple[str, str], ...]


class PromptPart(NamedTuple):
    """One part of a prompt with its length in tokens; parts are in the order of the prompt."""

    name: str
    tokens: int


class Generation(NamedTuple):
    """Tokens that a request needs at a model engine; ``output_limit`` is in tokens."""

    input_tokens: int
    output_limit: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def bound(self) -> int:
        """Return the maximum number of tokens that the request can cost."""
        return self.input_tokens + self.output_limit


class Arrival(NamedTuple):
    """One request as a caller sent it.

    ``path`` includes the query and is forwarded byte for byte, as are ``headers`` and ``body``.
    ``key`` is the bearer key, or ``None`` if there is none. ``at`` is when the request arrived.
    ``max_wait_s`` is the time that the caller announces to wait. ``last_event`` is the last event
    that the caller has received of a stream that it takes up, and ``resumes`` the id of its attempt
    that brought the first event; empty if it names none. ``body_s`` is the time that the body took
    to arrive, in seconds.
    """

    request_id: str
    host: str
    method: str
    path: str
    headers: Headers
    body: bytes
    key: str | None
    at: float
    max_wait_s: float | None
    last_event: int | None = None
    generation: Generation | None = None
    resumes: str = ""
    body_s: float = 0.0


class Attempt(NamedTuple):
    """One sending of a request to a target.

    ``remaining_s`` is the time that the target may use. ``last_event`` is the last event that the
    caller has received. ``rank`` is the priority; 0 is the highest. ``is_streamed`` is true if
    the target starts to answer when it starts to run the request.
    """

    arrival: Arrival
    target_id: str
    workspace: str
    remaining_s: float
    rank: int
    last_event: int | None
    fingerprint: Fingerprint
    is_streamed: bool
    traits: Traits = NO_TRAITS


class TargetLoad(NamedTuple):
    """Number of requests that run and wait at a target when it answers, and its slots."""

    running: int
    waiting: int
    slots: int


class TargetHead(NamedTuple):
    """Contents of the head of a target's answer.

    ``request_id`` is the request that the answer belongs to, as the target states it.
    ``not_run`` is true if the target did not and will not run the request. ``is_wrong_target`` is
    true if another target has the address. ``rate`` is what the target announces about the rate
    of requests that it accepts. ``backoff`` is the time for which it requests that this host send
    nothing, in seconds. ``rejections`` is the number of requests a second that it can reject
    without falling over, if it is brittle. ``is_leaving`` is true if it accepts no new requests.
    """

    request_id: str
    not_run: bool
    is_wrong_target: bool
    load: TargetLoad | None
    rate: RateNotice
    backoff: DecimalField
    rejections: DecimalField
    is_leaving: bool


class Dialect(Protocol):
    """Translation between forwarding and the HTTP headers that targets use."""

    def request_headers(self, attempt: Attempt) -> Headers:
        """Return all headers of one attempt."""
        ...

    def read_head(self, status: int, headers: Headers) -> TargetHead:
        """Parse the head of a target's answer."""
        ...

    def check_headers(self, target_id: str) -> Headers:
        """Return the headers of a question about a target's health."""
        ...

    def may_be_from(self, target_id: str, status: int, headers: Headers) -> bool:
        """Return whether the answer to such a question may be from the target.

        It is not if it names another one, or may be from a gateway before the target.
        """
        ...


class CallerReply(Protocol):
    """Reply to one caller; a reply starts once and ends once."""

    @property
    def has_started(self) -> bool:
        """Return whether the head of an answer was sent to the caller."""
        ...

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        ...

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in chunks."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        ...

    async def finish(self) -> None:
        """Send the end of the body."""
        ...

    def abort(self) -> None:
        """Close the connection, so that the caller can detect that the answer is incomplete."""
        ...
