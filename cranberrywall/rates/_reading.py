"""Read the rate that a target names in an answer: the requests a second that it takes."""

import re
from collections.abc import Sequence
from typing import NamedTuple

SHOWN_CHARACTERS = 32
"""An unreadable value is shown up to this length."""

_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?|\.\d{1,9}")


class RateNotice(NamedTuple):
    """Hold what one answer says of its target's rate.

    ``per_s`` is in requests a second, from all hosts together; ``None`` where the answer names no
    rate. ``unreadable`` is what stands there where that is not one number: it changes nothing.
    """

    per_s: float | None = None
    unreadable: str = ""

    def __str__(self) -> str:
        """Return the notice as logs show it.

        >>> [str(notice) for notice in (NO_RATE, RateNotice(0.5), RateNotice(None, "a lot"))]
        ['none', '0.5', "unreadable 'a lot'"]
        """
        if self.unreadable:
            return f"unreadable {self.unreadable!r}"
        return "none" if self.per_s is None else f"{self.per_s:g}"


NO_RATE = RateNotice()


def read_rate(values: Sequence[str]) -> RateNotice:
    """Return what the values of an answer's field say: none of them, one, or too many.

    >>> read_rate(["2.5"]).per_s, read_rate([" 0 "]).per_s, read_rate([]).per_s
    (2.5, 0.0, None)
    >>> read_rate(["1,5"]).unreadable
    '1,5'
    """
    if not values:
        return NO_RATE
    if len(values) > 1:
        return _unreadable(" and ".join(values))
    text = values[0].strip(" \t")
    if _DECIMAL.fullmatch(text) is None or not text.isascii():
        return _unreadable(values[0])
    return RateNotice(float(text))


def _unreadable(text: str) -> RateNotice:
    return RateNotice(None, text[:SHOWN_CHARACTERS] or "nothing")
