"""Keep to the requests a second that targets in need say they take."""

from cranberrywall.rates._reading import NO_RATE, RateNotice, read_rate

__all__ = ["NO_RATE", "RateNotice", "read_rate"]
