"""Know the fleet's hosts, who is alive, and which addresses callers should use."""

from cranberrywall.hosts._interfaces import HostState, HostView, Membership
from cranberrywall.hosts._static import make_static_membership

__all__ = ["HostState", "HostView", "Membership", "make_static_membership"]
