"""Gather what the callers' handlers need."""

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
    """Limit callers: ``write_timeout_s`` seconds for a caller to take what it is sent.

    ``ttl_s`` is how long callers may keep an answer to ``GET /v1/addresses``.
    """

    bodies: BodyLimits = BodyLimits()
    write_timeout_s: float = 30.0
    ttl_s: float = 10.0


class CallerParts(NamedTuple):
    """Hold the parts that answer callers on one entry host; ``place`` is the host's own."""

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
        """Count a refusal and return its answer."""
        self.metrics.refused.labels(str(refusal.kind)).inc()
        return error_response(refusal, request_id)
