"""HTTP API for callers."""

from cranberrywall.callers._addresses import CallerAddress, rank_addresses
from cranberrywall.callers._answers import error_body, error_response
from cranberrywall.callers._app import make_caller_routes, make_error_middleware
from cranberrywall.callers._bodies import BodyLimits
from cranberrywall.callers._context import CallerContext, CallerLimits

__all__ = [
    "BodyLimits",
    "CallerAddress",
    "CallerLimits",
    "CallerContext",
    "error_body",
    "error_response",
    "make_caller_routes",
    "make_error_middleware",
    "rank_addresses",
]
