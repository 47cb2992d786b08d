"""Name requests and attempts.

A request id is unique within a workspace: the caller's ``Idempotency-Key``, or one made
here. An attempt id is ``{request id}/{n}/{random}``: it is never used twice, so a reply that
carries another one belongs to another attempt.
"""

import re
from typing import NamedTuple

import msgspec
import xxhash
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Random

_KEY_PATTERN = re.compile(r"[\x21\x23-\x5b\x5d-\x7e]{1,128}")
_RANDOM_BITS = 64


class RequestName(NamedTuple):
    """Name a request; ``named_by_caller`` is false where the id was made here."""

    workspace: str
    request_id: str
    named_by_caller: bool

    @property
    def key(self) -> tuple[str, str]:
        """Return the pair that is unique over the fleet."""
        return (self.workspace, self.request_id)


def name_request(
    workspace: str, idempotency_key: str | None, random: Random
) -> Result[RequestName, Refusal]:
    """Take the caller's id, or make one."""
    if idempotency_key is None:
        made = (
            f"made-{random.getrandbits(_RANDOM_BITS):016x}{random.getrandbits(_RANDOM_BITS):016x}"
        )
        return Ok(RequestName(workspace, made, named_by_caller=False))
    if _KEY_PATTERN.fullmatch(idempotency_key) is None:
        return Err(
            Refusal(
                ErrorKind.BAD_REQUEST,
                "must be 1 to 128 printable ASCII characters without spaces, quotes, backslashes",
                field="Idempotency-Key",
                remedy="send a UUID",
            )
        )
    return Ok(RequestName(workspace, idempotency_key, named_by_caller=True))


def make_attempt_id(request_id: str, number: int, random: Random) -> str:
    """Return a new attempt id; ``number`` counts the request's attempts on this host."""
    return f"{request_id}/{number}/{random.getrandbits(_RANDOM_BITS):016x}"


def fingerprint(*parts: object) -> str:
    """Return a short hash of JSON-like values; equal values have equal hashes.

    >>> fingerprint("POST", {"a": 1, "b": 2}) == fingerprint("POST", {"b": 2, "a": 1})
    True
    """
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(parts, order="deterministic"))
