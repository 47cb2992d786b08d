"""Let an operator end a host's process in good order."""

from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Method, Peer, Server
from cranberrywall.observability import log_event


class DrainRequest(NamedTuple):
    """Ask a process to take no new work, finish what it has, and exit.

    ``incarnation`` is the one meant, or 0 for whichever runs: a request sent again must
    not end the process that was started in the place of the first.
    """

    operator: str
    incarnation: int


class DrainReply(NamedTuple):
    """Say that the process has begun; ``incarnation`` is its own."""

    incarnation: int


DRAIN = Method("hosts.drain", DrainRequest, DrainReply)


def register_drain(server: Server, incarnation: int, drain: Callable[[], None]) -> None:
    """Answer ``DRAIN`` at ``server`` by calling ``drain`` once; it must not wait."""
    is_asked = False

    async def answer(request: DrainRequest, peer: Peer) -> Result[DrainReply, Refusal]:
        if request.incarnation not in (0, incarnation):
            message = f"the host runs with incarnation {incarnation}"
            return Err(Refusal(ErrorKind.CONFLICT, message, "incarnation"))
        nonlocal is_asked
        if not is_asked:
            is_asked = True
            log_event("INFO", "drain_asked", operator=request.operator, by=peer.host)
            drain()
        return Ok(DrainReply(incarnation))

    server.register(DRAIN, answer)
