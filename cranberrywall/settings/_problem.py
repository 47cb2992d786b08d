"""Describe what is wrong with a settings file."""

from typing import NamedTuple


class Problem(NamedTuple):
    """Hold one failed check: its number, the field, what is wrong and what to do."""

    check: str
    field: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line.

        >>> str(Problem("S004", "place", "is missing", "add it"))
        'S004 place: is missing (remedy: add it)'
        """
        return f"{self.check} {self.field}: {self.message} (remedy: {self.remedy})"
