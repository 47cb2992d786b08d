"""Know the fleet's hosts, who is alive, and which addresses callers should use."""

from cranberrywall.hosts._interfaces import (
    HostState,
    HostView,
    LiveMembership,
    Membership,
    Spread,
)
from cranberrywall.hosts._membership import make_membership
from cranberrywall.hosts._pace import Pace, pace_of
from cranberrywall.hosts._static import make_static_membership
from cranberrywall.hosts.messages import Item, Urgency

__all__ = [
    "HostState",
    "HostView",
    "Item",
    "LiveMembership",
    "Membership",
    "Pace",
    "Spread",
    "Urgency",
    "make_membership",
    "make_static_membership",
    "pace_of",
]
