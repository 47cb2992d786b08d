"""Predict the time to the first token at a target, and fit the prediction to observed times.

All times are in seconds; prompt lengths are in blocks.
"""

from typing import NamedTuple

COST_SMOOTHING = 0.05
"""Weight of one observation in the estimated costs, 0 to 1."""

COST_QUANTILE = 0.35
"""Quantile of the observed times that the estimated costs explain; the other requests met a
queue."""

HOLD_SMOOTHING = 0.02
"""Weight of one observation in the mean time that a request occupies its slot."""

MIN_HOLD_S = 0.001
"""Minimum of the observed mean of that time, in seconds: rates are divided by it."""

MAX_EQUAL_WEIGHTS = 50
"""Number of first observations that have equal weights in the observed mean."""

INITIAL_HOLD_S = 2.0
"""Time that a request is assumed to occupy its slot before any was observed, in seconds."""


class Work(NamedTuple):
    """Work ahead of a request at a target, including its own prompt.

    ``blocks`` is the number of prompt blocks to compute, ``share`` the requests in flight divided
    by the capacity, and ``excess_share`` the part of it that is over capacity and waits.
    """

    blocks: float
    share: float
    excess_share: float


class WaitModel:
    """Predict waits at the targets of one model or service.

    The costs of a request, of a block and of a full batch are fitted to a low quantile of the
    observed times. An unforeseen queue makes some observations long. A mean would attribute that
    time to the blocks, so that a cached prefix would seem worth any queue.

    ``hold_s`` is the mean time that a request occupies its slot, beginning with an assumed time.
    ``observed_hold_s`` is the mean of the observed times alone, once there are any.
    """

    def __init__(self) -> None:
        self.hold_s = INITIAL_HOLD_S
        self.observed_hold_s = INITIAL_HOLD_S
        self._observations = 0
        self._base_s = 0.03
        self._block_s = 0.004
        self._full_s = 0.03

    def predict(self, work: Work) -> float:
        """Return the predicted seconds to the first token."""
        without_queue_s = self._base_s + self._block_s * work.blocks + self._full_s * work.share
        return without_queue_s + self.hold_s * work.excess_share

    def delay_to_others(self, missed_blocks: int) -> float:
        """Return the seconds by which computing these blocks delays later requests."""
        return self._block_s * missed_blocks

    def update(self, work: Work, seconds: float) -> None:
        """Move the costs towards the observed seconds, each by its part in the prediction."""
        predicted = self.predict(work)
        step = COST_SMOOTHING * (COST_QUANTILE if seconds > predicted else COST_QUANTILE - 1.0)
        total_s = max(predicted, 1e-6)
        self._base_s *= 1.0 + step * self._base_s / total_s
        self._block_s *= 1.0 + step * self._block_s * work.blocks / total_s
        self._full_s *= 1.0 + step * self._full_s * work.share / total_s

    def update_hold(self, seconds: float) -> None:
        """Update the mean time that a request occupies its slot."""
        self.hold_s += HOLD_SMOOTHING * (seconds - self.hold_s)
        self._observations = min(self._observations + 1, MAX_EQUAL_WEIGHTS)
        change_s = (seconds - self.observed_hold_s) / self._observations
        self.observed_hold_s = max(MIN_HOLD_S, self.observed_hold_s + change_s)
