"""Membership of entry hosts: failure detection, gossip, and the drain and dump calls."""

from cranberrywall.hosts._drain import DRAIN, DrainReply, DrainRequest, register_drain
from cranberrywall.hosts._dump import DUMP, DumpReply, DumpRequest, register_dump
from cranberrywall.hosts._interfaces import (
    Gossip,
    HostState,
    HostView,
    LiveMembership,
    Membership,
)
from cranberrywall.hosts._membership import make_membership
from cranberrywall.hosts._recorded_gossip import RecordedGossip
from cranberrywall.hosts._static import make_static_membership
from cranberrywall.hosts._timings import MembershipTimings, membership_timings
from cranberrywall.hosts.messages import Item, Urgency

__all__ = [
    "DRAIN",
    "DrainReply",
    "DrainRequest",
    "DUMP",
    "DumpReply",
    "DumpRequest",
    "HostState",
    "HostView",
    "Item",
    "LiveMembership",
    "Membership",
    "MembershipTimings",
    "Gossip",
    "RecordedGossip",
    "Urgency",
    "make_membership",
    "make_static_membership",
    "membership_timings",
    "register_drain",
    "register_dump",
]
