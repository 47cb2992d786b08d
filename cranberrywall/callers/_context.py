"""Limits and dependencies of the callers' request handlers."""

from typing import NamedTuple

from aiohttp import web

from cranberrywall.budgets import InputBounds
from cranberrywall.callers._answers import error_response
from cranberrywall.callers._bodies import BodyLimits
from cranberrywall.configuration import Configuration
from cranberrywall.errors import Refusal
from cranberrywall.hosts import Membership
from cranberrywall.requests import ChatRuns, RequestMetrics, ServiceCalls
from cranberrywall.runtime import Clock, Random


class CallerLimits(NamedTuple):
    """Limits for callers.

    ``write_timeout_s`` is the time within which a caller must accept data that is sent to it, in
    seconds. ``ttl_s`` is the time for which callers may cache an answer to ``GET /v1/addresses``,
    in seconds.
    """

    bodies: BodyLimits = BodyLimits()
    write_timeout_s: float = 30.0
    ttl_s: float = 10.0


class CallerContext(NamedTuple):
    """Dependencies of the request handlers of one entry host; ``place`` is the host's place."""

    host: str
    place: str
    configuration: Configuration
    membership: Membership
    chats: ChatRuns
    services: ServiceCalls
    bounds: InputBounds
    clock: Clock
    random: Random
    metrics: RequestMetrics
    limits: CallerLimits

    def refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        """Count a refusal and return the error answer."""
        self.metrics.refused.labels(str(refusal.kind)).inc()
        return error_response(refusal, request_id)
