"""Call by which operators hold requests and release them."""

from collections.abc import Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Method, Peer, Server
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._quarantine import Quarantine

FINGERPRINT_BYTES = 16
MIN_PREFIX_DIGITS = 8
"""Minimum number of digits of a fingerprint prefix by which an operator names a held request."""


class QuarantineRequest(NamedTuple):
    """Request to a host to hold a request on all hosts, or to release it."""

    fingerprint: str
    is_held: bool
    operator: str


class QuarantineReply(NamedTuple):
    """Full fingerprint of the request."""

    fingerprint: str


QUARANTINE = Method("quarantine.decide", QuarantineRequest, QuarantineReply)


def register_quarantine(server: Server, quarantine: Quarantine) -> None:
    """Register the handler of ``QUARANTINE`` at ``server``."""

    async def answer(request: QuarantineRequest, peer: Peer) -> Result[QuarantineReply, Refusal]:
        if request.is_held:
            found = _parse(request.fingerprint)
        else:
            found = _find(request.fingerprint, quarantine.held_fingerprints())
        if isinstance(found, Err):
            return Err(found.err_value)
        fingerprint = found.ok_value
        if request.is_held:
            quarantine.hold(fingerprint, request.operator)
        else:
            quarantine.lift(fingerprint, request.operator)
        return Ok(QuarantineReply(fingerprint.hex()))

    server.register(QUARANTINE, answer)


def _parse(text: str) -> Result[Fingerprint, Refusal]:
    """Return a fingerprint that is given in full."""
    try:
        fingerprint = bytes.fromhex(text)
    except ValueError:
        fingerprint = b""
    if len(fingerprint) != FINGERPRINT_BYTES:
        remedy = "give the 32 digits of the field `fingerprint` in the log event request_ended"
        return Err(_bad_request(f"{text!r} is not a complete fingerprint", remedy))
    return Ok(fingerprint)


def _find(text: str, held: Sequence[Fingerprint]) -> Result[Fingerprint, Refusal]:
    """Return the held request whose fingerprint starts with ``text``."""
    found = [one for one in held if one.hex().startswith(text.lower())]
    if len(text) >= MIN_PREFIX_DIGITS and len(found) == 1:
        return Ok(found[0])
    remedy = "give a fingerprint that `cranberrywallctl quarantine list` shows"
    if not found:
        return Err(
            _bad_request(f"no held request has a fingerprint that starts with {text!r}", remedy)
        )
    return Err(
        _bad_request(
            f"{text!r} is the start of more than one fingerprint, or has under 8 digits", remedy
        )
    )


def _bad_request(message: str, remedy: str) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, message, "FINGERPRINT", remedy)
