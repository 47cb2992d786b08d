"""Components of the entry program."""

from cranberrywall.entry._configured import ConfiguredHosts, ConfiguredPolicies
from cranberrywall.entry._discovered import DiscoveredHosts
from cranberrywall.entry._frontend import Frontend, FrontendContext
from cranberrywall.entry._revisions import LivePeers, gossip_revisions
from cranberrywall.entry._stack import CallerStack, StackLinks, make_caller_stack
from cranberrywall.entry._stall_detector import StallDetector

__all__ = [
    "CallerStack",
    "ConfiguredHosts",
    "ConfiguredPolicies",
    "DiscoveredHosts",
    "Frontend",
    "FrontendContext",
    "LivePeers",
    "StackLinks",
    "StallDetector",
    "gossip_revisions",
    "make_caller_stack",
]
