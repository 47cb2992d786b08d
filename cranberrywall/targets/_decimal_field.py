"""Read a header field that should hold one decimal number."""

import re
from collections.abc import Sequence
from typing import NamedTuple

SHOWN_CHARACTERS = 32
"""An unreadable value is shown up to this length."""

_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?|\.\d{1,9}")


class DecimalField(NamedTuple):
    """Hold what a field says; ``number`` is ``None`` where it is absent or unreadable.

    ``unreadable`` is what stands there where that is not one number.
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
    """Return what the values of a field say: none of them, one, or too many.

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
    return DecimalField(None, text[:SHOWN_CHARACTERS] or "nothing")
