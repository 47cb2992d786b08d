"""Parse the rate limit that a target states in an answer, in requests per second."""

from collections.abc import Sequence
from typing import NamedTuple

from cranberrywall.targets import DecimalField, read_decimal_field


class RateNotice(NamedTuple):
    """Rate limit that one answer of a target states.

    ``per_s`` is in requests per second from all hosts together; ``None`` if the answer states no
    rate. ``unreadable`` is the value of the field if it is not a single number; such a value
    changes nothing.
    """

    per_s: float | None = None
    unreadable: str = ""

    def __str__(self) -> str:
        """Return the notice as logs show it.

        >>> [str(notice) for notice in (NO_RATE, RateNotice(0.5), RateNotice(None, "a lot"))]
        ['none', '0.5', "unreadable 'a lot'"]
        """
        return str(DecimalField(self.per_s, self.unreadable))


NO_RATE = RateNotice()


def read_rate(values: Sequence[str]) -> RateNotice:
    """Return what the values of an answer's field say: none of them, one, or too many.

    >>> read_rate(["2.5"]).per_s, read_rate([" 0 "]).per_s, read_rate([]).per_s
    (2.5, 0.0, None)
    >>> read_rate(["1,5"]).unreadable
    '1,5'
    """
    return RateNotice(*read_decimal_field(values))
