"""Put the callers' routes together."""

import asyncio

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware
from result import Err

from cranberrywall.callers._addresses import rank_addresses
from cranberrywall.callers._admission import find_workspace
from cranberrywall.callers._answers import JSON
from cranberrywall.callers._chat import ChatHandler
from cranberrywall.callers._parts import CallerParts
from cranberrywall.callers._services import ServiceHandler
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event


def make_caller_routes(parts: CallerParts) -> list[web.RouteDef]:
    """Return the routes that callers use."""
    chat = ChatHandler(parts)
    services = ServiceHandler(parts)
    listings = _Listings(parts)
    return [
        web.post("/v1/chat/completions", chat.complete),
        web.route("*", "/v1/services/{service}", services.call),
        web.route("*", "/v1/services/{service}/{path:.*}", services.call),
        web.get("/v1/addresses", listings.addresses),
        web.get("/v1/models", listings.models),
    ]


class _Listings:
    def __init__(self, parts: CallerParts) -> None:
        self._parts = parts

    async def addresses(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/addresses``; it needs no key, and works before a configuration."""
        parts = self._parts
        alive = parts.membership.alive()
        addresses = rank_addresses(alive, parts.place, parts.host, request.scheme)
        body = {
            "addresses": [address._asdict() for address in addresses],
            "ttl_s": parts.limits.ttl_s,
        }
        return web.Response(body=msgspec.json.encode(body), content_type=JSON)

    async def models(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/models``."""
        found = find_workspace(request, self._parts.configuration)
        if isinstance(found, Err):
            return self._parts.refuse(found.err_value, "")
        known = self._parts.configuration.document["models"]
        reach = found.ok_value.workspace["reach"]["models"]
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "cranberrywall"}
            for name in reach
            if name in known
        ]
        body = {"object": "list", "data": models}
        return web.Response(body=msgspec.json.encode(body), content_type=JSON)


def make_error_middleware(parts: CallerParts) -> Middleware:
    """Return a middleware that gives every failure the one shape of errors."""

    @web.middleware
    async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPNotFound:
            return parts.refuse(Refusal(ErrorKind.NOT_FOUND, "no such path", "path"), "")
        except web.HTTPMethodNotAllowed:
            refusal = Refusal(ErrorKind.NOT_FOUND, "no such method here", "method")
            return parts.refuse(refusal, "")
        except web.HTTPException as error:
            return parts.refuse(Refusal(ErrorKind.BAD_REQUEST, error.reason), "")
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as error:
            log_event("ERROR", "handler_failed", error, path=request.path)
            return parts.refuse(Refusal(ErrorKind.INTERNAL, "the handler failed"), "")

    return answer_errors
