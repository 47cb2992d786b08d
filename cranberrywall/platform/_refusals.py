"""Encode refusals for callers, the operator and targets."""

import json

from aiohttp import web
from multidict import CIMultiDict

from cranberrywall.errors import Ran, Refusal, answer_for

_GATEWAY_TIMEOUT = 504
_NOT_NOW = 503


def encode_refusal(refusal: Refusal) -> tuple[int, CIMultiDict[str], bytes]:
    """Return status, headers and body of a refusal.

    Callers take 503 as a promise that the request did not run, and 504 as none. What the
    project's table calls a timeout before anything was sent is therefore a 503 here.
    """
    answer = answer_for(refusal)
    status = answer.status
    if status == _GATEWAY_TIMEOUT and answer.ran is Ran.NO:
        status = _NOT_NOW
    headers = CIMultiDict({"Content-Type": "application/json"})
    if answer.retry_after is not None:
        headers["Retry-After"] = f"{answer.retry_after:.2f}"
    error = {
        "code": str(refusal.kind),
        "message": refusal.message,
        "field": refusal.field,
        "remedy": refusal.remedy,
    }
    return status, headers, json.dumps({"error": error}).encode()


def refuse(refusal: Refusal) -> web.Response:
    """Return the HTTP response of a refusal."""
    status, headers, body = encode_refusal(refusal)
    return web.Response(status=status, headers=headers, body=body)
