"""Know the fleet's hosts, who is alive, and which addresses callers should use."""

from cranberrywall.hosts._interfaces import HostState, HostView, Membership

__all__ = ["HostState", "HostView", "Membership"]
