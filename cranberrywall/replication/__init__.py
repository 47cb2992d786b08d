"""Keep state on several disk hosts by replicated logs."""

from cranberrywall.replication._interfaces import Group, StateMachine

__all__ = ["Group", "StateMachine"]
