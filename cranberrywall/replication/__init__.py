"""Keep state on several disk hosts by replicated logs."""

from cranberrywall.replication._formation import InitialMembers, initial_members_of
from cranberrywall.replication._frames import Scan, encode_frame, scan_frames
from cranberrywall.replication._group import make_group
from cranberrywall.replication._interfaces import Group, GroupState, Replica, StateMachine
from cranberrywall.replication._rescue import Rescue, rescue_group
from cranberrywall.replication._settings import GroupSettings
from cranberrywall.replication.checks import MemberView, Step

__all__ = [
    "InitialMembers",
    "Group",
    "GroupSettings",
    "GroupState",
    "MemberView",
    "Replica",
    "Rescue",
    "Scan",
    "StateMachine",
    "Step",
    "encode_frame",
    "initial_members_of",
    "make_group",
    "rescue_group",
    "scan_frames",
]
