"""Parse a header field that holds one decimal number."""

import re
from collections.abc import Sequence
from typing import NamedTuple

MAX_SHOWN_CHARACTERS = 32
"""Maximum number of characters of an unreadable value that are kept for logs."""

_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?|\.\d{1,9}")


class DecimalField(NamedTuple):
    """Parsed value of a field; ``number`` is ``None`` if the field is absent or unreadable.

    ``unreadable`` is the text of a field that is not one decimal number; otherwise it is empty.
    """

    number: float | None = None
    unreadable: str = ""

    def __str__(self) -> str:
        """Return the field as logs show it.

        >>> [str(DecimalField(*field)) for field in ((), (0.5,), (None, "a lot"))]
        ['none', '0.5', "unreadable 'a lot'"]
        """
        if self.unreadable:
            return f"unreadable {self.unreadable!r}"
        return "none" if self.number is None else f"{self.number:g}"


ABSENT = DecimalField()


def read_decimal_field(values: Sequence[str]) -> DecimalField:
    """Return the parsed field, given all values that the message has for it.

    >>> read_decimal_field(["2.5"]).number, read_decimal_field([" 0 "]).number
    (2.5, 0.0)
    >>> read_decimal_field(["1,5"]).unreadable
    '1,5'
    """
    if not values:
        return ABSENT
    if len(values) > 1:
        return _unreadable(" and ".join(values))
    text = values[0].strip(" \t")
    if _DECIMAL.fullmatch(text) is None or not text.isascii():
        return _unreadable(values[0])
    return DecimalField(float(text))


def _unreadable(text: str) -> DecimalField:
    return DecimalField(None, text[:MAX_SHOWN_CHARACTERS] or "nothing")
