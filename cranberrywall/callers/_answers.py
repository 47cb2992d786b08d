"""Error answers and common headers of answers to callers."""

import math

import msgspec
from aiohttp import web

from cranberrywall.errors import Ran, Refusal, answer_for

REQUEST_ID_HEADER = "X-Request-Id"
RAN_HEADER = "X-Ran"
JSON = "application/json"


def answer_headers(request_id: str, ran: Ran) -> dict[str, str]:
    """Return the headers that are part of every answer."""
    return {REQUEST_ID_HEADER: request_id, RAN_HEADER: str(ran)}


def error_body(refusal: Refusal) -> bytes:
    """Return the JSON body of an error answer."""
    answer = answer_for(refusal)
    error = {
        "code": refusal.kind,
        "message": refusal.message or str(refusal.kind).replace("_", " "),
        "field": refusal.field,
        "remedy": refusal.remedy,
        "ran": answer.ran,
        "retry_safe": answer.retry_safe,
    }
    return msgspec.json.encode({"error": error})


def error_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the answer for a refusal."""
    answer = answer_for(refusal)
    headers = answer_headers(request_id, answer.ran)
    if answer.retry_after is not None:
        headers["Retry-After"] = str(math.ceil(answer.retry_after))
    return web.Response(
        status=answer.status, body=error_body(refusal), content_type=JSON, headers=headers
    )


def error_frame(refusal: Refusal) -> bytes:
    """Return the event that reports an error at the end of an incomplete stream."""
    return b"data: " + error_body(refusal) + b"\n\n"
