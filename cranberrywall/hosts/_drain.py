"""The call with which an operator drains a host's process."""

from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Method, Peer, Server
from cranberrywall.observability import log_event


class DrainRequest(NamedTuple):
    """Request that a process accept no new work, finish its running work and exit.

    ``incarnation`` is the incarnation to drain, or 0 for the one that is running. A request
    that is sent again must not end the process that replaced the drained one.
    """

    operator: str
    incarnation: int


class DrainReply(NamedTuple):
    """Confirmation that the drain has started; ``incarnation`` is that of the process."""

    incarnation: int


DRAIN = Method("hosts.drain", DrainRequest, DrainReply)


def register_drain(server: Server, incarnation: int, drain: Callable[[], None]) -> None:
    """Register a handler for ``DRAIN`` at ``server`` that calls ``drain`` once.

    ``drain`` must return without waiting for the work to finish.
    """
    has_started = False

    async def answer(request: DrainRequest, peer: Peer) -> Result[DrainReply, Refusal]:
        if request.incarnation not in (0, incarnation):
            message = f"the host runs with incarnation {incarnation}"
            return Err(Refusal(ErrorKind.CONFLICT, message, "incarnation"))
        nonlocal has_started
        if not has_started:
            has_started = True
            log_event("INFO", "drain_asked", operator=request.operator, by=peer.host)
            drain()
        return Ok(DrainReply(incarnation))

    server.register(DRAIN, answer)
