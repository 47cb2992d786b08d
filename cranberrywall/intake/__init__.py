"""What a process takes in from its callers: bytes, and connections."""

from cranberrywall.intake._link_load import LinkLimit, LinkLoad
from cranberrywall.intake._listener import CallerListener
from cranberrywall.intake._traffic import CallerTraffic

__all__ = ["CallerListener", "CallerTraffic", "LinkLimit", "LinkLoad"]
