"""Keep state on several disk hosts by replicated logs."""

from cranberrywall.replication._group import make_group
from cranberrywall.replication._interfaces import Group, Replica, StateMachine
from cranberrywall.replication._settings import GroupSettings

__all__ = ["Group", "GroupSettings", "Replica", "StateMachine", "make_group"]
