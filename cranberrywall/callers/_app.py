"""HTTP routes and error middleware of the callers' API."""

import asyncio

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware
from result import Err

from cranberrywall.callers._addresses import rank_addresses
from cranberrywall.callers._admission import authenticate
from cranberrywall.callers._answers import JSON
from cranberrywall.callers._chat import ChatHandler
from cranberrywall.callers._context import CallerContext
from cranberrywall.callers._services import ServiceHandler
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event


def make_caller_routes(context: CallerContext) -> list[web.RouteDef]:
    """Return the routes of the callers' API."""
    chat = ChatHandler(context)
    services = ServiceHandler(context)
    listings = _Listings(context)
    return [
        web.post("/v1/chat/completions", chat.complete),
        web.route("*", "/v1/services/{service}", services.call),
        web.route("*", "/v1/services/{service}/{path:.*}", services.call),
        web.get("/v1/addresses", listings.addresses),
        web.get("/v1/models", listings.models),
    ]


class _Listings:
    def __init__(self, context: CallerContext) -> None:
        self._context = context

    async def addresses(self, request: web.Request) -> web.Response:
        """Handle ``GET /v1/addresses``, which requires neither a key nor a configuration."""
        context = self._context
        alive = context.membership.alive()
        addresses = rank_addresses(alive, context.place, context.host, request.scheme)
        body = {
            "addresses": [address._asdict() for address in addresses],
            "ttl_s": context.limits.ttl_s,
        }
        return web.Response(body=msgspec.json.encode(body), content_type=JSON)

    async def models(self, request: web.Request) -> web.Response:
        """Handle ``GET /v1/models``."""
        found = authenticate(request, self._context.configuration)
        if isinstance(found, Err):
            return self._context.refuse(found.err_value, "")
        configured_models = self._context.configuration.document["models"]
        allowed_models = found.ok_value.workspace["reach"]["models"]
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "cranberrywall"}
            for name in allowed_models
            if name in configured_models
        ]
        body = {"object": "list", "data": models}
        return web.Response(body=msgspec.json.encode(body), content_type=JSON)


def make_error_middleware(context: CallerContext) -> Middleware:
    """Return a middleware that converts every failure to the common error format."""

    @web.middleware
    async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPNotFound:
            return context.refuse(Refusal(ErrorKind.NOT_FOUND, "no such path", "path"), "")
        except web.HTTPMethodNotAllowed:
            refusal = Refusal(ErrorKind.NOT_FOUND, "no such method for this path", "method")
            return context.refuse(refusal, "")
        except web.HTTPException as error:
            return context.refuse(Refusal(ErrorKind.BAD_REQUEST, error.reason), "")
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as error:
            log_event("ERROR", "handler_failed", error, path=request.path)
            return context.refuse(Refusal(ErrorKind.INTERNAL, "the request handler failed"), "")

    return answer_errors
