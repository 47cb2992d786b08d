"""Path of a service call, and the check whether the call may be repeated."""

import re
from collections.abc import Sequence
from urllib.parse import unquote

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal

_MANY_SLASHES = re.compile("/{2,}")


def normalize_path(raw_path: str) -> Result[str, Refusal]:
    """Decode a path; refuse one that services may interpret in different ways.

    >>> normalize_path("/renewals//%31").ok_value
    '/renewals/1'
    >>> normalize_path("/a/%2e%2e/renewals").err_value.field
    'path'
    """
    decoded = unquote(raw_path)
    segments = decoded.split("/")
    if ".." in segments or "." in segments or "\\" in decoded or "%" in decoded:
        # A service may resolve these to another path. If that path is declared as not
        # repeatable, the call would run without protection against a second run.
        return Err(
            Refusal(
                ErrorKind.BAD_REQUEST,
                "must not have dot segments, backslashes or twice-encoded characters",
                field="path",
                remedy="send the path in the form that the service documents",
            )
        )
    return Ok(_MANY_SLASHES.sub("/", f"/{decoded}" if not decoded.startswith("/") else decoded))


def is_repeatable(method: str, path: str, not_repeatable: Sequence[str]) -> bool:
    """Return whether a call matches none of the ``METHOD /path`` prefixes.

    The comparison ignores case because a service may ignore it, too. A call that matches by
    mistake runs at most once, which is harmless.

    >>> is_repeatable("POST", "/Renewals/7", ["POST /renewals"])
    False
    """
    call = f"{method} {path}".casefold()
    return not any(call.startswith(prefix.casefold()) for prefix in not_repeatable)
