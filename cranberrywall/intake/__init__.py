"""What a process takes in from its callers: bytes, and connections."""

from cranberrywall.intake._bodies import read_whole_body
from cranberrywall.intake._connection import RequestEvictedError
from cranberrywall.intake._link_load import LinkLimit, LinkLoad
from cranberrywall.intake._listener import CallerListener
from cranberrywall.intake._servers import ApplicationListener, Intake, make_intake
from cranberrywall.intake._traffic import CallerTraffic

__all__ = [
    "ApplicationListener",
    "CallerListener",
    "CallerTraffic",
    "Intake",
    "LinkLimit",
    "LinkLoad",
    "RequestEvictedError",
    "make_intake",
    "read_whole_body",
]
