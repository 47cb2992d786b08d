"""Assemble the entry program."""

from cranberrywall.entry._configured import ConfiguredHosts, ConfiguredPolicies
from cranberrywall.entry._discovered import DiscoveredHosts
from cranberrywall.entry._front import Front, FrontParts
from cranberrywall.entry._revisions import LivePeers, carry_revisions
from cranberrywall.entry._stack import CallerStack, StackLinks, make_caller_stack
from cranberrywall.entry._standstill import Standstill

__all__ = [
    "CallerStack",
    "ConfiguredHosts",
    "ConfiguredPolicies",
    "DiscoveredHosts",
    "Front",
    "FrontParts",
    "LivePeers",
    "StackLinks",
    "Standstill",
    "carry_revisions",
    "make_caller_stack",
]
