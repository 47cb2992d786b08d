"""Components of the entry program."""

from cranberrywall.entry._configured import ConfiguredHosts, ConfiguredPolicies
from cranberrywall.entry._discovered import DiscoveredHosts
from cranberrywall.entry._frontend import Frontend, FrontendContext
from cranberrywall.entry._idle_connections import IdleConnections
from cranberrywall.entry._revisions import LivePeers, gossip_revisions
from cranberrywall.entry._stall_detector import StallDetector

__all__ = [
    "ConfiguredHosts",
    "ConfiguredPolicies",
    "DiscoveredHosts",
    "Frontend",
    "FrontendContext",
    "IdleConnections",
    "LivePeers",
    "StallDetector",
    "gossip_revisions",
]
