"""Bound the input tokens of a request before its target counts them.

A token is at least one byte of text in every tokenizer, so the bytes are a safe bound. It
is several times too high for most texts, and holds money that others are refused for. So
the bound is learned per model: the most tokens a byte among many requests, with a margin.

The next of n + 1 requests drawn alike exceeds the largest of the other n with a chance of at
most 1 in n + 1; the margin covers what is drawn unlike. A request that exceeds its bound
costs its caller no more than was reserved, and puts its model back to the safe bound.
"""

import math
from typing import NamedTuple, Protocol

from cranberrywall.observability import log_event

# So many requests of a model are bounded by their bytes before a ratio is believed.
PROVEN_AFTER = 1000
# A chat template wraps each message in about this many tokens of its own.
FRAMING_TOKENS = 8


class InputSize(NamedTuple):
    """Describe a request's input: bytes of UTF-8 text, and the number of messages."""

    text_bytes: int
    messages: int


class BoundFigures(NamedTuple):
    """Show what a model's bounds cost: ``slack`` is the mean of bound over actual."""

    samples: int
    ratio: float
    exceeded: int
    slack: float


class InputBounds(Protocol):
    """Bound inputs and learn from what targets counted."""

    def bound(self, model: str, size: InputSize, margin: float) -> int:
        """Return the most input tokens to reserve for; ``margin`` is at least 1."""
        ...

    def record_usage(self, model: str, size: InputSize, bound: int, actual: int) -> None:
        """Note what a target counted for an input that was bounded by ``bound``."""
        ...

    def figures(self, model: str) -> BoundFigures:
        """Return what is known of a model, for operators."""
        ...


def make_input_bounds(proven_after: int = PROVEN_AFTER) -> InputBounds:
    """Return bounds that know no model yet."""
    return _LearnedBounds(proven_after)


class _Learned:
    __slots__ = ("actual_sum", "bound_sum", "exceeded", "ratio", "samples", "since_proof_began")

    def __init__(self) -> None:
        self.ratio = 0.0
        self.samples = 0
        self.since_proof_began = 0
        self.exceeded = 0
        self.bound_sum = 0
        self.actual_sum = 0


class _LearnedBounds:
    def __init__(self, proven_after: int) -> None:
        self._proven_after = proven_after
        self._by_model: dict[str, _Learned] = {}

    def bound(self, model: str, size: InputSize, margin: float) -> int:
        safe = size.text_bytes + FRAMING_TOKENS * size.messages
        learned = self._by_model.get(model)
        if learned is None or learned.since_proof_began < self._proven_after:
            return safe
        estimate = math.ceil(size.text_bytes * learned.ratio * margin)
        return min(safe, estimate + FRAMING_TOKENS * size.messages)

    def record_usage(self, model: str, size: InputSize, bound: int, actual: int) -> None:
        learned = self._by_model.setdefault(model, _Learned())
        learned.samples += 1
        learned.since_proof_began += 1
        learned.bound_sum += bound
        learned.actual_sum += actual
        text_tokens = max(0, actual - FRAMING_TOKENS * size.messages)
        if size.text_bytes > 0:
            learned.ratio = max(learned.ratio, min(1.0, text_tokens / size.text_bytes))
        if actual > bound:
            self._doubt(model, learned, bound, actual)

    def figures(self, model: str) -> BoundFigures:
        learned = self._by_model.get(model, _Learned())
        slack = learned.bound_sum / learned.actual_sum if learned.actual_sum else 1.0
        return BoundFigures(learned.samples, learned.ratio, learned.exceeded, slack)

    @staticmethod
    def _doubt(model: str, learned: _Learned, bound: int, actual: int) -> None:
        """Go back to the safe bound: what was learned did not hold for this input."""
        learned.exceeded += 1
        learned.since_proof_began = 0
        log_event("WARNING", "input_bound_exceeded", model=model, bound=bound, actual=actual)
