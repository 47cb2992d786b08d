"""Admit a call: who asks, under which name, with which priority, and until when."""

import math
import re
from typing import NamedTuple

from aiohttp import web
from result import Err, Ok, Result

from cranberrywall.configuration import Configuration, NamedWorkspace, Priority
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.requests import RequestName, name_request
from cranberrywall.runtime import Random

_BEARER = re.compile(r"Bearer +(\S+)", re.IGNORECASE)
_LONGEST_DEADLINE_S = 7 * 86_400.0


class Caller(NamedTuple):
    """Describe who asks and how.

    ``start_by`` is when the answer must have begun and ``end_by`` when it must be whole,
    ``None`` where the caller set no time; both in monotonic seconds.
    """

    workspace: NamedWorkspace
    name: RequestName
    rank: int
    start_by: float
    end_by: float | None


def find_workspace(
    headers: "web.Request", configuration: Configuration
) -> Result[NamedWorkspace, Refusal]:
    """Return the workspace of the request's bearer key."""
    if configuration.revision == 0:
        return Err(Refusal(ErrorKind.NOT_READY, "this host has no configuration yet"))
    match = _BEARER.fullmatch(headers.headers.get("Authorization", ""))
    workspace = configuration.workspace_by_key(match[1]) if match else None
    if workspace is None:
        return Err(
            Refusal(
                ErrorKind.UNAUTHENTICATED,
                "the key is missing or unknown",
                field="Authorization",
                remedy="send 'Bearer ' and a key of the workspace",
            )
        )
    return Ok(workspace)


def admit(
    request: web.Request, configuration: Configuration, random: Random, now: float
) -> Result[Caller, Refusal]:
    """Read the headers of a call."""
    workspace = find_workspace(request, configuration)
    if isinstance(workspace, Err):
        return workspace
    named = workspace.ok_value
    name = name_request(named.name, request.headers.get("Idempotency-Key"), random)
    if isinstance(name, Err):
        return name
    priority = _find_priority(request, named, configuration)
    if isinstance(priority, Err):
        return priority
    waits_s = _read_deadline(request)
    if isinstance(waits_s, Err):
        return waits_s
    end_by = None if waits_s.ok_value is None else now + waits_s.ok_value
    start_by = now + priority.ok_value["deadline_s"]
    if end_by is not None:
        start_by = min(start_by, end_by)
    return Ok(Caller(named, name.ok_value, priority.ok_value["rank"], start_by, end_by))


def _find_priority(
    request: web.Request, named: NamedWorkspace, configuration: Configuration
) -> Result[Priority, Refusal]:
    workspace = named.workspace
    asked = request.headers.get("X-Priority", workspace["priority"])
    allowed = {workspace["priority"], *workspace["priorities"]}
    priority = configuration.document["priorities"].get(asked)
    if asked not in allowed or priority is None:
        return Err(
            Refusal(
                ErrorKind.FORBIDDEN,
                "is not a class that this workspace may name",
                field="X-Priority",
                remedy=f"name one of: {', '.join(sorted(allowed))}",
            )
        )
    return Ok(priority)


def _read_deadline(request: web.Request) -> Result[float | None, Refusal]:
    text = request.headers.get("X-Deadline-S")
    if text is None:
        return Ok(None)
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= _LONGEST_DEADLINE_S:
        return Err(
            Refusal(
                ErrorKind.BAD_REQUEST,
                "must be a number of seconds above 0 and at most a week",
                field="X-Deadline-S",
                remedy="send a number such as 2.5",
            )
        )
    return Ok(seconds)
