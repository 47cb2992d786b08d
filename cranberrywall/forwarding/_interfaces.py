"""Define what forwarding takes from callers, sends to targets, and needs of both protocols.

Times are monotonic seconds unless a name ends in ``_s``, which is a span in seconds.
"""

from typing import NamedTuple, Protocol

from cranberrywall.quarantine import Fingerprint
from cranberrywall.rates import RateNotice
from cranberrywall.targets import DecimalField

Headers = tuple[tuple[str, str], ...]


class PromptPart(NamedTuple):
    """Name one part of a prompt, in the order of the prompt, with its length in tokens."""

    name: str
    tokens: int


class Generation(NamedTuple):
    """Describe what a request asks of a model engine; ``output_limit`` is in tokens."""

    input_tokens: int
    output_limit: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def bound(self) -> int:
        """Return the most tokens that the request can cost."""
        return self.input_tokens + self.output_limit


class Arrival(NamedTuple):
    """Hold one request as a caller sent it.

    ``path`` has its query and is sent on byte for byte, as are ``headers`` and ``body``.
    ``key`` is the bearer key, ``None`` without one. ``max_wait_s`` is how long the caller
    says that it waits. ``last_event`` is the last event that the caller has of a stream
    which it resumes.
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


class Attempt(NamedTuple):
    """Describe one sending of a request to a target.

    ``remaining_s`` is the time that the target may use. ``last_event`` is the last event that the
    caller has. ``rank`` is the priority, 0 first. ``is_streamed`` says that the target begins to
    answer as it begins to run the request.
    """

    arrival: Arrival
    target_id: str
    workspace: str
    remaining_s: float
    rank: int
    last_event: int | None
    fingerprint: Fingerprint
    is_streamed: bool


class TargetLoad(NamedTuple):
    """Report requests at a target as it answered, and its places."""

    running: int
    waiting: int
    slots: int


class TargetHead(NamedTuple):
    """Hold what the head of a target's answer says.

    ``request_id`` is the request that the target says it answers. ``not_run`` says that it
    did not and will not run the request, ``is_wrong_target`` that another target has the address.
    ``rate`` is what it says of the requests that it takes. ``backoff`` is for how many seconds
    it wants no request from this host. ``is_leaving`` says that it takes no new work.
    """

    request_id: str
    not_run: bool
    is_wrong_target: bool
    load: TargetLoad | None
    rate: RateNotice
    backoff: DecimalField
    is_leaving: bool


class Dialect(Protocol):
    """Translate between forwarding and what targets speak over HTTP."""

    def request_headers(self, attempt: Attempt) -> Headers:
        """Return the headers of one attempt, all of them."""
        ...

    def read_head(self, status: int, headers: Headers) -> TargetHead:
        """Return what the head of a target's answer says."""
        ...


class CallerReply(Protocol):
    """Answer one caller; each answer begins once and ends once."""

    @property
    def has_started(self) -> bool:
        """Say whether the caller has got the head of an answer."""
        ...

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        ...

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in pieces."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        ...

    async def finish(self) -> None:
        """Send the end of the body."""
        ...

    def abort(self) -> None:
        """Close the connection, so that the answer doesn't look whole."""
        ...
