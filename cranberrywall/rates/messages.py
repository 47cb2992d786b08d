"""Define what entry hosts tell each other of the rates that targets name."""

from typing import NamedTuple

from cranberrywall.links import MessageCodec, Method
from cranberrywall.targets import TargetIncarnation


class NamedRate(NamedTuple):
    """Say which rate holds for a start of a target, in requests a second; ``None``: none does.

    ``host`` heard it, in the answer to the request ``request_id``.
    """

    target: str
    incarnation: int
    per_s: float | None
    host: str
    request_id: str


class RequestedTarget(NamedTuple):
    """Name a target that a permit may be for, with its rate as the asking host knows it.

    ``number`` counts the changes of that rate, so that the newer knowledge holds.
    """

    start: TargetIncarnation
    number: int
    per_s: float


class PermitDemand(NamedTuple):
    """Ask for permits for some ``requests`` of one rank and one workspace."""

    rank: int
    workspace: str
    requests: int


class PermitRequest(NamedTuple):
    """Ask for permits to send requests to any of some targets of one group, the best one first.

    ``wait_s`` is how long the answer may wait for the first permit; 0 for at once. Requests of an
    answer at once that gets none wait on the host if a permit is expected within ``max_wait_s``.
    ``returned`` are permits that this host has no use for.
    """

    kind: str
    name: str
    targets: tuple[RequestedTarget, ...]
    wants: tuple[PermitDemand, ...]
    wait_s: float
    max_wait_s: float = 0.0
    returned: tuple[TargetIncarnation, ...] = ()


class Permit(NamedTuple):
    """Allow one request to be sent to a target; ``rank`` and ``workspace`` are of its want."""

    start: TargetIncarnation
    rank: int
    workspace: str


class PermitReply(NamedTuple):
    """Give permits, and tell what may be expected.

    ``waits_s`` are, for each want in turn, the seconds until one more such request has a permit.
    Until ``pause_s`` seconds from now it is of no use to ask again.
    """

    permits: tuple[Permit, ...]
    waits_s: tuple[float, ...]
    pause_s: float


RATES_CODEC = MessageCodec([NamedRate])

PERMITS = Method("rates.permits", PermitRequest, PermitReply, is_cancellable=True)
