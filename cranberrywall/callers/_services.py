"""Handler of calls to services."""

from aiohttp import web
from result import Err, Ok, Result

from cranberrywall.callers._admission import Caller, admit
from cranberrywall.callers._answers import answer_headers
from cranberrywall.callers._bodies import read_body
from cranberrywall.callers._context import CallerContext
from cranberrywall.errors import ErrorKind, Ran, Refusal
from cranberrywall.requests import (
    ServiceAnswer,
    ServiceRequest,
    fingerprint,
    is_repeatable,
    normalize_path,
)

SERVICES_PREFIX = "/v1/services/"

_FORWARDED_HEADERS = frozenset(
    {"accept", "accept-language", "content-type", "if-match", "if-none-match", "user-agent"}
)
_FORWARDED_PREFIX = "x-app-"


class ServiceHandler:
    """Forward calls from callers to services."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context

    async def call(self, request: web.Request) -> web.Response:
        """Handle one call to a service."""
        context = self._context
        now = context.clock.now()
        admitted = admit(request, context.configuration, context.random, now)
        if isinstance(admitted, Err):
            return context.refuse(admitted.err_value, "")
        caller = admitted.ok_value
        request_id = caller.name.request_id
        body = await read_body(request, context.limits.bodies)
        if isinstance(body, Err):
            return context.refuse(body.err_value, request_id)
        planned = self._plan(request, caller, body.ok_value)
        if isinstance(planned, Err):
            return context.refuse(planned.err_value, request_id)
        answered = await context.services.call(planned.ok_value, now)
        if isinstance(answered, Err):
            return context.refuse(answered.err_value, request_id)
        return _response(answered.ok_value, request_id)

    def _plan(
        self, request: web.Request, caller: Caller, body: bytes
    ) -> Result[ServiceRequest, Refusal]:
        document = self._context.configuration.document
        workspace = caller.workspace.workspace
        service_name, _, raw_path = request.rel_url.raw_path[len(SERVICES_PREFIX) :].partition("/")
        service = document["services"].get(service_name)
        if service is None:
            return Err(Refusal(ErrorKind.NOT_FOUND, "no such service", field="service"))
        if service_name not in workspace["reach"]["services"]:
            return Err(_service_forbidden())
        path = normalize_path(f"/{raw_path}")
        if isinstance(path, Err):
            return path
        path_and_query = request.rel_url.raw_path_qs[len(SERVICES_PREFIX) + len(service_name) :]
        return Ok(
            ServiceRequest(
                name=caller.name,
                fingerprint=fingerprint(
                    "service", service_name, request.method, path_and_query, body
                ),
                service=service_name,
                method=request.method,
                path=path_and_query or "/",
                headers=_forwarded_headers(request),
                body=body,
                repeatable=is_repeatable(request.method, path.ok_value, service["not_repeatable"]),
                cost=service["cost"],
                budget=workspace["budget"],
                rank=caller.rank,
                deadline=caller.start_by,
            )
        )


def _forwarded_headers(request: web.Request) -> tuple[tuple[str, str], ...]:
    # Only listed headers are forwarded, so the caller's key, cookies and hop-by-hop headers are
    # not.
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() in _FORWARDED_HEADERS or name.lower().startswith(_FORWARDED_PREFIX)
    )


def _response(answer: ServiceAnswer, request_id: str) -> web.Response:
    response = web.Response(status=answer.status, body=answer.body)
    if not any(name.lower() == "content-type" for name, _ in answer.headers):
        response.headers.pop("Content-Type", None)
    for name, value in answer.headers:
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
    response.headers.update(answer_headers(request_id, Ran.YES))
    return response


def _service_forbidden() -> Refusal:
    return Refusal(ErrorKind.FORBIDDEN, "the workspace may not call this service", field="service")
