"""Assemble the entry program."""

from cranberrywall.entry._stack import CallerStack, make_caller_stack

__all__ = ["CallerStack", "make_caller_stack"]
