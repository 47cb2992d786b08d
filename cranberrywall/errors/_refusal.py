"""Error value for ``result.Err``."""

from typing import NamedTuple

from cranberrywall.errors._kinds import ErrorKind


class Refusal(NamedTuple):
    """Error kind with the information that a person needs to resolve the error.

    ``field`` is the name of the invalid input, and ``remedy`` is what to do about it; both may be
    empty. ``retry_after`` is in seconds; if it is ``None``, the value of the kind in the table
    applies.
    """

    kind: ErrorKind
    message: str = ""
    field: str = ""
    remedy: str = ""
    retry_after: float | None = None

    def __str__(self) -> str:
        """Return the refusal as a single line.

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
