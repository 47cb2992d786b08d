"""Let operators hold requests back and let them run again."""

from collections.abc import Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Method, Peer, Server
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._quarantine import Quarantine

FINGERPRINT_BYTES = 16
LEAST_DIGITS = 8
"""Digits of a fingerprint that an operator must give at least, where it names a held request."""


class QuarantineRequest(NamedTuple):
    """Ask a host to hold a request back on all hosts, or to let it run again."""

    fingerprint: str
    is_held: bool
    operator: str


class QuarantineReply(NamedTuple):
    """Name the request in full."""

    fingerprint: str


QUARANTINE = Method("quarantine.decide", QuarantineRequest, QuarantineReply)


def register_quarantine(server: Server, quarantine: Quarantine) -> None:
    """Answer ``QUARANTINE`` at ``server``."""

    async def answer(request: QuarantineRequest, peer: Peer) -> Result[QuarantineReply, Refusal]:
        if request.is_held:
            found = _read(request.fingerprint)
        else:
            found = _find(request.fingerprint, quarantine.held_now())
        if isinstance(found, Err):
            return Err(found.err_value)
        fingerprint = found.ok_value
        if request.is_held:
            quarantine.hold(fingerprint, request.operator)
        else:
            quarantine.lift(fingerprint, request.operator)
        return Ok(QuarantineReply(fingerprint.hex()))

    server.register(QUARANTINE, answer)


def _read(text: str) -> Result[Fingerprint, Refusal]:
    """Return a fingerprint that is given in full."""
    try:
        fingerprint = bytes.fromhex(text)
    except ValueError:
        fingerprint = b""
    if len(fingerprint) != FINGERPRINT_BYTES:
        remedy = "give the 32 digits that `fingerprint` has in the line of request_ended"
        return Err(_bad(f"{text!r} is not a whole fingerprint", remedy))
    return Ok(fingerprint)


def _find(text: str, held: Sequence[Fingerprint]) -> Result[Fingerprint, Refusal]:
    """Return the held request whose fingerprint begins so."""
    found = [one for one in held if one.hex().startswith(text.lower())]
    if len(text) >= LEAST_DIGITS and len(found) == 1:
        return Ok(found[0])
    remedy = "give one that `cranberrywallctl quarantine list` shows"
    if not found:
        return Err(_bad(f"no held request has a fingerprint that begins with {text!r}", remedy))
    return Err(_bad(f"{text!r} begins more than one fingerprint, or is under 8 digits", remedy))


def _bad(message: str, remedy: str) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, message, "FINGERPRINT", remedy)
