"""Read the path of a service call, and say whether the call may be repeated."""

import re
from collections.abc import Sequence
from urllib.parse import unquote

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal

_MANY_SLASHES = re.compile("/{2,}")


def normalize_path(raw_path: str) -> Result[str, Refusal]:
    """Decode a path and refuse one that a service could read in two ways.

    >>> normalize_path("/renewals//%31").ok_value
    '/renewals/1'
    >>> normalize_path("/a/%2e%2e/renewals").err_value.field
    'path'
    """
    decoded = unquote(raw_path)
    segments = decoded.split("/")
    if ".." in segments or "." in segments or "\\" in decoded or "%" in decoded:
        # A service that resolves these would run a call that was declared under
        # another path, and was not guarded against a second run.
        return Err(
            Refusal(
                ErrorKind.BAD_REQUEST,
                "must not have dot segments, backslashes or twice-encoded characters",
                field="path",
                remedy="send the path as the service names it",
            )
        )
    return Ok(_MANY_SLASHES.sub("/", f"/{decoded}" if not decoded.startswith("/") else decoded))


def is_repeatable(method: str, path: str, not_repeatable: Sequence[str]) -> bool:
    """Say whether a call matches none of the ``METHOD /path`` prefixes.

    Case is ignored: a service may ignore it too, and the mistake that runs a call at most
    once is the harmless one.

    >>> is_repeatable("POST", "/Renewals/7", ["POST /renewals"])
    False
    """
    call = f"{method} {path}".casefold()
    return not any(call.startswith(prefix.casefold()) for prefix in not_repeatable)
