"""Serve operators' HTTP: ``/metrics``, ``/state``, ``/healthz`` and ``/readyz``."""

import hmac
import ipaddress

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST

from cranberrywall.observability._health import HealthChecks
from cranberrywall.observability._listener import HttpListener
from cranberrywall.observability._metrics import Metrics
from cranberrywall.observability._state import StateRegistry

_SHUTDOWN_S = 1.0

AdminServer = HttpListener
"""What listens for operators and their tools."""


def make_admin_server(
    address: str, metrics: Metrics, state: StateRegistry, health: HealthChecks, token: str = ""
) -> AdminServer:
    """Return a listener for ``address``.

    ``/state`` is for callers on this machine, and for others that bring ``token`` as a
    bearer; with an empty one there are no others.
    """
    pages = _AdminPages(metrics, state, health, token)
    return AdminServer(pages.make_app(), address, _SHUTDOWN_S)


class _AdminPages:
    def __init__(
        self, metrics: Metrics, state: StateRegistry, health: HealthChecks, token: str
    ) -> None:
        self._metrics = metrics
        self._state = state
        self._health = health
        self._token = token

    def make_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/state", self._get_state)
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/readyz", self._get_readiness)
        return app

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.render(), headers={"Content-Type": CONTENT_TYPE_LATEST}
        )

    async def _get_state(self, request: web.Request) -> web.Response:
        if not (_is_local(request) or self._has_token(request)):
            text = "ask from this machine, or send the admin secret of the key file as a bearer\n"
            return web.Response(status=403, text=text)
        return web.Response(body=self._state.dump_json(), content_type="application/json")

    async def _get_health(self, request: web.Request) -> web.Response:
        return _answer(self._health.unhealthy())

    async def _get_readiness(self, request: web.Request) -> web.Response:
        return _answer(self._health.unready())

    def _has_token(self, request: web.Request) -> bool:
        given = request.headers.get("Authorization", "")
        expected = f"Bearer {self._token}"
        return bool(self._token) and hmac.compare_digest(given.encode(), expected.encode())


def _is_local(request: web.Request) -> bool:
    return request.remote is not None and ipaddress.ip_address(request.remote).is_loopback


def _answer(failures: dict[str, str]) -> web.Response:
    return web.json_response({"failed": failures}, status=503 if failures else 200)
