"""Keep to the requests a second that targets in need say they take."""

from cranberrywall.rates._known import KnownRate, KnownRates
from cranberrywall.rates._permits import Permits
from cranberrywall.rates._rates import TargetRates, make_lone_rates, make_rates
from cranberrywall.rates._reading import NO_RATE, RateNotice, read_rate
from cranberrywall.rates.messages import AskedTarget, Permit, PermitReply, PermitRequest, Want

__all__ = [
    "NO_RATE",
    "AskedTarget",
    "KnownRate",
    "KnownRates",
    "Permit",
    "PermitReply",
    "PermitRequest",
    "Permits",
    "RateNotice",
    "TargetRates",
    "Want",
    "make_lone_rates",
    "make_rates",
    "read_rate",
]
