"""Answer callers over HTTP."""

from cranberrywall.callers._addresses import CallerAddress, rank_addresses
from cranberrywall.callers._answers import error_body, error_response
from cranberrywall.callers._app import make_caller_routes, make_error_middleware
from cranberrywall.callers._bodies import BodyLimits
from cranberrywall.callers._parts import CallerLimits, CallerParts

__all__ = [
    "BodyLimits",
    "CallerAddress",
    "CallerLimits",
    "CallerParts",
    "error_body",
    "error_response",
    "make_caller_routes",
    "make_error_middleware",
    "rank_addresses",
]
