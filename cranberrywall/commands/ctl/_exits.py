"""Close the list of exit codes, and choose one for each refusal."""

from enum import IntEnum

from cranberrywall.errors import ErrorKind


class Exit(IntEnum):
    """List every exit code; the docstring of ``cranberrywallctl`` describes them."""

    DONE = 0
    REFUSED = 1
    WRONG_INPUT = 2
    UNREACHABLE = 3
    UNKNOWN = 4
    CONFLICT = 5
    DOES_NOT_ADD_UP = 6


_EXIT_BY_KIND = {
    ErrorKind.BAD_REQUEST: Exit.WRONG_INPUT,
    ErrorKind.UNREACHABLE: Exit.UNREACHABLE,
    ErrorKind.NOT_CURRENT: Exit.UNREACHABLE,
    ErrorKind.NOT_LEADER: Exit.UNREACHABLE,
    ErrorKind.NOT_READY: Exit.UNREACHABLE,
    ErrorKind.TIMEOUT: Exit.UNKNOWN,
    ErrorKind.STORAGE_FAILED: Exit.UNKNOWN,
    ErrorKind.CONFLICT: Exit.CONFLICT,
}


def exit_for(kind: ErrorKind) -> Exit:
    """Return the exit code for a refusal of ``kind``."""
    return _EXIT_BY_KIND.get(kind, Exit.REFUSED)
