"""Write answers to callers: errors from the table, and the headers that every answer has."""

import math

import msgspec
from aiohttp import web

from cranberrywall.errors import Ran, Refusal, answer_for

REQUEST_ID_HEADER = "X-Request-Id"
RAN_HEADER = "X-Ran"
JSON = "application/json"


def answer_headers(request_id: str, ran: Ran) -> dict[str, str]:
    """Return the headers that every answer has."""
    return {REQUEST_ID_HEADER: request_id, RAN_HEADER: str(ran)}


def error_body(refusal: Refusal) -> bytes:
    """Return the JSON of an error."""
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
    """Return the event that ends a stream which cannot be completed."""
    return b"data: " + error_body(refusal) + b"\n\n"
