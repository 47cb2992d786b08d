"""Messages between entry hosts about the rate limits of targets."""

from typing import NamedTuple

from cranberrywall.links import MessageCodec, Method
from cranberrywall.targets import TargetIncarnation


class NamedRate(NamedTuple):
    """Rate limit of an incarnation of a target, in requests per second; ``None`` if there is none.

    ``host`` received it in the answer to the request ``request_id``.
    """

    target: str
    incarnation: int
    per_s: float | None
    host: str
    request_id: str


class RequestedTarget(NamedTuple):
    """Target that a permit may be for, with its rate as the requesting host has it.

    ``number`` counts the changes of that rate, so that the newer of two records applies.
    """

    incarnation: TargetIncarnation
    number: int
    per_s: float


class PermitDemand(NamedTuple):
    """Permits that one workspace requests for ``requests`` requests of one rank."""

    rank: int
    workspace: str
    requests: int


class PermitRequest(NamedTuple):
    """Request for permits at any of some targets of one group, the best target first.

    ``wait_s`` is the time that the reply may wait for the first permit, in seconds; 0 for an
    immediate reply. If an immediate reply has no permit, the requests are queued on the host if a
    permit is expected within ``max_wait_s`` seconds. ``returned`` are permits that this host could
    not use.
    """

    kind: str
    name: str
    targets: tuple[RequestedTarget, ...]
    demands: tuple[PermitDemand, ...]
    wait_s: float
    max_wait_s: float = 0.0
    returned: tuple[TargetIncarnation, ...] = ()


class Permit(NamedTuple):
    """Permission to send one request to a target, for a demand of ``rank`` and ``workspace``."""

    incarnation: TargetIncarnation
    rank: int
    workspace: str


class PermitReply(NamedTuple):
    """Issued permits and expected waits.

    ``waits_s`` has, for each demand of the request, the expected seconds until one more such
    request gets a permit. A new request within ``pause_s`` seconds is useless.
    """

    permits: tuple[Permit, ...]
    waits_s: tuple[float, ...]
    pause_s: float


RATES_CODEC = MessageCodec([NamedRate])

PERMITS = Method("rates.permits", PermitRequest, PermitReply, is_cancellable=True)
