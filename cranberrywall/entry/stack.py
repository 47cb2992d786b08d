"""The stack that serves chat completions and service calls to callers.

It is apart from the package's other names: hosts of a platform have a frontend of their own, and
start sooner without it.
"""

from cranberrywall.entry._stack import CallerStack, StackLinks, make_caller_stack

__all__ = ["CallerStack", "StackLinks", "make_caller_stack"]
