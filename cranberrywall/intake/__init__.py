"""What a host takes in from its callers: bytes, and connections."""

from cranberrywall.intake._traffic import CallerTraffic

__all__ = ["CallerTraffic"]
