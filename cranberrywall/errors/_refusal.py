"""Carry one error through ``result.Err``."""

from typing import NamedTuple

from cranberrywall.errors._kinds import ErrorKind


class Refusal(NamedTuple):
    """Hold an error kind with what a person needs to act on it.

    ``field`` names the input at fault and ``remedy`` what to do about it; both are
    empty where there is none. ``retry_after`` is in seconds; ``None`` takes the
    kind's own value from the table.
    """

    kind: ErrorKind
    message: str = ""
    field: str = ""
    remedy: str = ""
    retry_after: float | None = None

    def __str__(self) -> str:
        """Return the refusal as one line.

        >>> str(Refusal(ErrorKind.BAD_REQUEST, "must be positive", "amount", "give at least 1"))
        'bad_request: amount: must be positive (remedy: give at least 1)'
        """
        text = str(self.kind)
        if self.field:
            text += f": {self.field}"
        if self.message:
            text += f": {self.message}"
        if self.remedy:
            text += f" (remedy: {self.remedy})"
        return text
