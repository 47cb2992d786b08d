"""Describe what is wrong with a file that an operator wrote."""

from typing import NamedTuple


class Problem(NamedTuple):
    """Report one fault of a file: its number, where it is and what to do about it.

    An empty ``field`` is the whole file.
    """

    code: str
    field: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line.

        >>> str(Problem("S004", "place", "is missing", "add it"))
        'S004 place: is missing (remedy: add it)'
        """
        return f"{self.code} {self.field or '(document)'}: {self.message} (remedy: {self.remedy})"
