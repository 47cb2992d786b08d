"""Test the parsing of the values that targets send as a rate."""

import pytest

from cranberrywall.rates import NO_RATE, read_rate


@pytest.mark.parametrize(
    ("text", "per_s"),
    [("1", 1.0), ("0.1", 0.1), ("200", 200.0), ("0", 0.0), (".25", 0.25), (" 3.5\t", 3.5)],
)
def test_a_decimal_number_is_a_rate(text: str, per_s: float):
    assert read_rate([text]) == (per_s, "")


@pytest.mark.parametrize(
    "text",
    ["", "soon", "1,5", "-1", "+1", "nan", "inf", "1e308", "1e2", "0x10", "1 2", "١", "9" * 400],
)
def test_a_value_that_is_no_decimal_number_is_unreadable_and_shown_truncated(text: str):
    notice = read_rate([text])
    assert notice.per_s is None
    assert 0 < len(notice.unreadable) <= 32


def test_two_values_are_unreadable_and_none_is_no_rate():
    assert read_rate(["1", "1"]).unreadable == "1 and 1"
    assert read_rate([]) == NO_RATE
