"""Components of the entry program."""

from cranberrywall.entry._configured import ConfiguredHosts, ConfiguredPolicies
from cranberrywall.entry._connections import (
    close_idle_connections,
    has_unread_request,
    wait_for_answers,
)
from cranberrywall.entry._discovered import DiscoveredHosts
from cranberrywall.entry._frontend import Frontend, FrontendContext
from cranberrywall.entry._load_meter import LoadMeter
from cranberrywall.entry._revisions import LivePeers, gossip_revisions
from cranberrywall.entry._stall_detector import StallDetector

__all__ = [
    "ConfiguredHosts",
    "ConfiguredPolicies",
    "DiscoveredHosts",
    "Frontend",
    "FrontendContext",
    "LivePeers",
    "LoadMeter",
    "StallDetector",
    "close_idle_connections",
    "gossip_revisions",
    "has_unread_request",
    "wait_for_answers",
]
