"""Bound the input tokens of a request before its target counts them.

A token is at least one byte of text in every tokenizer, so the number of bytes is a safe bound. For
most texts it is several times too high, and reserves money for which other requests are refused.
The bound is therefore estimated for each model: the largest number of tokens per byte among many
requests, with a margin.

If requests are independent and from one distribution, the next of n + 1 exceeds the largest of the
other n with a probability of at most 1 in n + 1. The margin covers requests from another
distribution. A request that exceeds its bound costs its caller no more than was reserved, and
resets its model to the safe bound.
"""

import math
from typing import NamedTuple, Protocol

from cranberrywall.observability import log_event

# This many requests of a model are bounded by their bytes before the estimated ratio is used.
MIN_PROVEN_SAMPLES = 1000
# A chat template adds about this many tokens to each message.
FRAMING_TOKENS = 8


class InputSize(NamedTuple):
    """Size of a request's input: bytes of UTF-8 text, and the number of messages."""

    text_bytes: int
    messages: int


class BoundFigures(NamedTuple):
    """Statistics of a model's bounds; ``slack`` is the mean of bound over actual."""

    samples: int
    ratio: float
    exceeded: int
    slack: float


class InputBounds(Protocol):
    """Bound inputs, and estimate bounds from the tokens that targets counted."""

    def bound(self, model: str, size: InputSize, margin: float) -> int:
        """Return the number of input tokens to reserve; ``margin`` is at least 1."""
        ...

    def record_usage(self, model: str, size: InputSize, bound: int, actual: int) -> None:
        """Record the tokens that a target counted for an input that was bounded by ``bound``."""
        ...

    def figures(self, model: str) -> BoundFigures:
        """Return the statistics of a model, for operators."""
        ...


def make_input_bounds(min_samples: int = MIN_PROVEN_SAMPLES) -> InputBounds:
    """Return bounds without statistics of any model."""
    return _EstimatedBounds(min_samples)


class _ModelStatistics:
    __slots__ = ("actual_sum", "bound_sum", "exceeded", "ratio", "samples", "samples_since_reset")

    def __init__(self) -> None:
        self.ratio = 0.0
        self.samples = 0
        self.samples_since_reset = 0
        self.exceeded = 0
        self.bound_sum = 0
        self.actual_sum = 0


class _EstimatedBounds:
    def __init__(self, min_samples: int) -> None:
        self._min_samples = min_samples
        self._by_model: dict[str, _ModelStatistics] = {}

    def bound(self, model: str, size: InputSize, margin: float) -> int:
        safe = size.text_bytes + FRAMING_TOKENS * size.messages
        statistics = self._by_model.get(model)
        if statistics is None or statistics.samples_since_reset < self._min_samples:
            return safe
        estimate = math.ceil(size.text_bytes * statistics.ratio * margin)
        return min(safe, estimate + FRAMING_TOKENS * size.messages)

    def record_usage(self, model: str, size: InputSize, bound: int, actual: int) -> None:
        statistics = self._by_model.setdefault(model, _ModelStatistics())
        statistics.samples += 1
        statistics.samples_since_reset += 1
        statistics.bound_sum += bound
        statistics.actual_sum += actual
        text_tokens = max(0, actual - FRAMING_TOKENS * size.messages)
        if size.text_bytes > 0:
            statistics.ratio = max(statistics.ratio, min(1.0, text_tokens / size.text_bytes))
        if actual > bound:
            self._reset_estimate(model, statistics, bound, actual)

    def figures(self, model: str) -> BoundFigures:
        statistics = self._by_model.get(model, _ModelStatistics())
        slack = statistics.bound_sum / statistics.actual_sum if statistics.actual_sum else 1.0
        return BoundFigures(statistics.samples, statistics.ratio, statistics.exceeded, slack)

    @staticmethod
    def _reset_estimate(model: str, statistics: _ModelStatistics, bound: int, actual: int) -> None:
        """Reset to the safe bound: the estimate was too low for this input."""
        statistics.exceeded += 1
        statistics.samples_since_reset = 0
        log_event("WARNING", "input_bound_exceeded", model=model, bound=bound, actual=actual)
