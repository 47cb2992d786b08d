"""Admission of calls: authentication, request name, priority and deadline."""

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
_MAX_DEADLINE_S = 7 * 86_400.0


class Caller(NamedTuple):
    """Caller of one request, as admitted.

    The answer must start by ``start_by`` and be complete by ``end_by``, both in monotonic
    seconds. ``end_by`` is ``None`` if the caller sent no deadline.
    """

    workspace: NamedWorkspace
    name: RequestName
    rank: int
    start_by: float
    end_by: float | None


def authenticate(
    headers: "web.Request", configuration: Configuration
) -> Result[NamedWorkspace, Refusal]:
    """Return the workspace that the request's bearer key belongs to."""
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
                remedy="send 'Bearer ' followed by a key of the workspace",
            )
        )
    return Ok(workspace)


def admit(
    request: web.Request, configuration: Configuration, random: Random, now: float
) -> Result[Caller, Refusal]:
    """Authenticate a call and validate its headers."""
    workspace = authenticate(request, configuration)
    if isinstance(workspace, Err):
        return workspace
    named_workspace = workspace.ok_value
    name = name_request(named_workspace.name, request.headers.get("Idempotency-Key"), random)
    if isinstance(name, Err):
        return name
    priority = _find_priority(request, named_workspace, configuration)
    if isinstance(priority, Err):
        return priority
    deadline_s = _read_deadline(request)
    if isinstance(deadline_s, Err):
        return deadline_s
    end_by = None if deadline_s.ok_value is None else now + deadline_s.ok_value
    start_by = now + priority.ok_value["deadline_s"]
    if end_by is not None:
        start_by = min(start_by, end_by)
    return Ok(Caller(named_workspace, name.ok_value, priority.ok_value["rank"], start_by, end_by))


def _find_priority(
    request: web.Request, named_workspace: NamedWorkspace, configuration: Configuration
) -> Result[Priority, Refusal]:
    workspace = named_workspace.workspace
    requested = request.headers.get("X-Priority", workspace["priority"])
    allowed = {workspace["priority"], *workspace["priorities"]}
    priority = configuration.document["priorities"].get(requested)
    if requested not in allowed or priority is None:
        return Err(
            Refusal(
                ErrorKind.FORBIDDEN,
                "is not a priority class that this workspace may use",
                field="X-Priority",
                remedy=f"send one of: {', '.join(sorted(allowed))}",
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
    if not 0 < seconds <= _MAX_DEADLINE_S:
        return Err(
            Refusal(
                ErrorKind.BAD_REQUEST,
                "must be a number of seconds greater than 0 and at most one week",
                field="X-Deadline-S",
                remedy="send a number such as 2.5",
            )
        )
    return Ok(seconds)
