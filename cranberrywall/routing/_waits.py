"""Predict the time to the first token at a target, and learn from what was seen.

All times are seconds; prompt lengths are blocks.
"""

from typing import NamedTuple

LEARNING = 0.05
"""Weight of one observation in the learned costs, 0 to 1."""

QUANTILE = 0.35
"""The learned costs explain this share of what is seen; the rest met a queue."""

HOLD_LEARNING = 0.02
"""Weight of one observation in the mean time that a request holds its place."""

FIRST_HOLD_S = 2.0
"""A request is taken to hold its place this long before any was seen, in seconds."""


class Work(NamedTuple):
    """Describe what is ahead of a request at a target, its own prompt included.

    ``blocks`` are prompt blocks to compute, ``share`` is requests in flight by capacity,
    and ``excess_share`` is what of it is over capacity and waits.
    """

    blocks: float
    share: float
    excess_share: float


class WaitModel:
    """Predict waits at the targets of one model or service.

    The costs of a request at all, of a block and of a full batch are learned towards a low
    quantile of what is seen: waiting in an unforeseen queue makes some observations long,
    and a mean would take that for the cost of blocks, so that prefixes would seem worth
    any queue.
    """

    def __init__(self) -> None:
        self.hold_s = FIRST_HOLD_S
        self._base_s = 0.03
        self._block_s = 0.004
        self._full_s = 0.03

    def predict(self, work: Work) -> float:
        """Return the seconds to the first token."""
        started = self._base_s + self._block_s * work.blocks + self._full_s * work.share
        return started + self.hold_s * work.excess_share

    def delay_to_others(self, missed_blocks: int) -> float:
        """Return by how much computing these blocks delays what comes after, in seconds."""
        return self._block_s * missed_blocks

    def learn(self, work: Work, seconds: float) -> None:
        """Move the costs towards what was seen, each by its part in the prediction."""
        predicted = self.predict(work)
        move = LEARNING * (QUANTILE if seconds > predicted else QUANTILE - 1.0)
        parts = max(predicted, 1e-6)
        self._base_s *= 1.0 + move * self._base_s / parts
        self._block_s *= 1.0 + move * self._block_s * work.blocks / parts
        self._full_s *= 1.0 + move * self._full_s * work.share / parts

    def learn_hold(self, seconds: float) -> None:
        """Take in how long a request held its place."""
        self.hold_s += HOLD_LEARNING * (seconds - self.hold_s)
