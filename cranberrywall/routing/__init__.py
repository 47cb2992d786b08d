"""Choose a target for each attempt and hand out places at it."""

from cranberrywall.routing._interfaces import Demand, Outcome, OutcomeKind, Router, Slot

__all__ = ["Demand", "Outcome", "OutcomeKind", "Router", "Slot"]
