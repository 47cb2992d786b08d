"""Test that input bounds are safe first, then tight, and safe again after an exceeded bound."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywall.budgets import InputSize, make_input_bounds

SIZE = InputSize(text_bytes=1000, messages=2)


def bounds_before_and_after(samples: int = 100) -> tuple[int, int]:
    """Return the bounds before and after samples of at most 0.3 tokens a byte."""
    bounds = make_input_bounds(min_samples=100)
    random_source = random.Random(3)
    before = bounds.bound("m", SIZE, 1.2)
    for _ in range(samples):
        actual = round(1000 * random_source.uniform(0.2, 0.3)) + 16
        bounds.record_usage("m", SIZE, bounds.bound("m", SIZE, 1.2), actual)
    return before, bounds.bound("m", SIZE, 1.2)


def test_a_model_without_statistics_is_bounded_by_bytes() -> None:
    assert bounds_before_and_after(99) == (1016, 1016)


def test_a_bound_becomes_tight_once_it_is_proven() -> None:
    before, after = bounds_before_and_after(100)
    assert before == 1016
    assert 300 < after < 1.2 * 300 + 16 + 2


def test_an_input_past_its_bound_makes_the_model_safe_again() -> None:
    """An input in a language that the tokenizer splits finely exceeds its bound.

    It is charged what was reserved. The next inputs are bounded by their bytes again.
    """
    bounds = make_input_bounds(min_samples=10)
    for _ in range(10):
        bounds.record_usage("m", SIZE, 1016, 266)
    tight = bounds.bound("m", SIZE, 1.0)
    bounds.record_usage("m", SIZE, tight, 700)
    assert bounds.bound("m", SIZE, 1.0) == 1016
    assert bounds.figures("m").exceeded == 1
    for _ in range(10):
        bounds.record_usage("m", SIZE, 1016, 266)
    assert bounds.bound("m", SIZE, 1.0) >= 700


@settings(derandomize=True, max_examples=50)
@given(
    ratios=st.lists(st.floats(0.05, 1.0), min_size=30, max_size=60),
    margin=st.floats(1.0, 2.0),
    size=st.builds(InputSize, st.integers(1, 50_000), st.integers(1, 20)),
)
def test_no_bound_is_above_the_bytes_or_below_the_worst_seen(
    ratios: list[float], margin: float, size: InputSize
) -> None:
    bounds = make_input_bounds(min_samples=20)
    worst = 0
    for ratio in ratios:
        actual = int(size.text_bytes * ratio) + 8 * size.messages
        worst = max(worst, actual)
        bounds.record_usage("m", size, bounds.bound("m", size, margin), actual)
    safe = size.text_bytes + 8 * size.messages
    assert worst <= bounds.bound("m", size, margin) <= safe
