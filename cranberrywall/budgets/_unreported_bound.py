"""Bound on what a holder spends of one budget between two contacts with the ledger.

The holder spends no more than the bound, and the ledger withholds no less when the holder is lost.
"""

from typing import NamedTuple

MIN_UNREPORTED_SHARE = 0.05
"""Share of its allotment that a holder may spend as soon as the ledger is unreachable.

Without it, all requests of a partition's first moments would wait. If all hosts are lost together,
at least this share of their allotments stays outstanding.
"""

FULL_UNREPORTED_DELAY_S = 8.0
"""Time in seconds without contact after which a holder may have spent its full allotment.

With this value, requests are served at an even rate during a partition of some seconds: in
partitions of 7 to 9 s, workspaces used 25 to 35 % of their totals. A host whose machine had no
power for a second gets back four fifths immediately. A bound that rises at half this rate for the
first three seconds, and faster after that, serves no better.
"""


def unreported_share(gap_s: float) -> float:
    """Return the share of its allotment that a holder may have spent unreported.

    ``gap_s`` is the time in seconds since the holder last reported its unreported spend.

    >>> unreported_share(0.0), unreported_share(2.0), unreported_share(60.0)
    (0.05, 0.3, 1.0)
    """
    return min(1.0, MIN_UNREPORTED_SHARE + max(0.0, gap_s) / FULL_UNREPORTED_DELAY_S)


class UnreportedBound(NamedTuple):
    """Bound after ``gap_s`` seconds without contact.

    ``rate`` is the maximum rate that the holder declared for the budget, in units per second;
    ``None`` if it declared none.
    """

    gap_s: float
    rate: int | None = None

    def amount(self, own: int) -> float:
        """Return what may be spent of ``own``, the amount held at the last contact.

        If ``own`` shrinks by an amount that was spent, the result shrinks by no more than that.
        The bound therefore also covers what other hosts report of the spend in the meantime.

        >>> UnreportedBound(2.0).amount(1000), UnreportedBound(2.0, rate=20).amount(1000)
        (300.0, 90.0)
        >>> UnreportedBound(60.0).amount(1000), UnreportedBound(60.0, rate=20).amount(1000)
        (1000.0, 1000.0)
        """
        by_share = unreported_share(self.gap_s) * own
        if self.rate is None:
            return by_share
        return min(by_share, MIN_UNREPORTED_SHARE * own + self.rate * max(0.0, self.gap_s))
