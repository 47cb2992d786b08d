"""Limit the requests to throttled targets to the requests per second that the targets accept."""

from cranberrywall.rates._cold_targets import ColdTargets
from cranberrywall.rates._permits import Permits
from cranberrywall.rates._rate_table import RateRecord, RateTable
from cranberrywall.rates._rates import TargetRates, make_rates, make_standalone_rates
from cranberrywall.rates._reading import NO_RATE, RateNotice, read_rate
from cranberrywall.rates.messages import (
    Permit,
    PermitDemand,
    PermitReply,
    PermitRequest,
    RequestedTarget,
)

__all__ = [
    "NO_RATE",
    "ColdTargets",
    "RequestedTarget",
    "RateRecord",
    "RateTable",
    "Permit",
    "PermitReply",
    "PermitRequest",
    "Permits",
    "RateNotice",
    "TargetRates",
    "PermitDemand",
    "make_standalone_rates",
    "make_rates",
    "read_rate",
]
