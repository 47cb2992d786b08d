"""Choose a target for each request, and queue requests while no target has capacity."""

from cranberrywall.routing._gossip import AnnouncementGossip, make_announcement_gossip
from cranberrywall.routing._interfaces import Demand, Outcome, OutcomeKind, Router, Slot
from cranberrywall.routing._rejections import RejectionSpread
from cranberrywall.routing._retries import RetryBudget, RetryLimits
from cranberrywall.routing._router import TargetRouter, make_router

__all__ = [
    "Demand",
    "Outcome",
    "OutcomeKind",
    "RejectionSpread",
    "RetryBudget",
    "RetryLimits",
    "Router",
    "Slot",
    "TargetRouter",
    "AnnouncementGossip",
    "make_router",
    "make_announcement_gossip",
]
