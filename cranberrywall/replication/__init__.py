"""Keep state on several disk hosts by replicated logs."""

from cranberrywall.replication._frames import Scan, encode_frame, scan_frames
from cranberrywall.replication._group import make_group
from cranberrywall.replication._interfaces import Group, Replica, StateMachine
from cranberrywall.replication._settings import GroupSettings

__all__ = [
    "Group",
    "GroupSettings",
    "Replica",
    "Scan",
    "StateMachine",
    "encode_frame",
    "make_group",
    "scan_frames",
]
