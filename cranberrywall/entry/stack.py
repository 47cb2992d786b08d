"""The stack that serves chat completions and service calls to callers.

It is apart from the package's other names: hosts of a platform have a frontend of their own, and
start sooner without it.
"""

from cranberrywall.entry._stack import (
    RECORDING_TIMEOUT_S,
    CallerStack,
    StackLinks,
    make_caller_stack,
)

__all__ = ["RECORDING_TIMEOUT_S", "CallerStack", "StackLinks", "make_caller_stack"]
