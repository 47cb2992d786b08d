"""Read log lines back as they were written."""

from hypothesis import given
from hypothesis import strategies as st

from cranberrywall.observability import format_pairs, parse_pairs

KEYS = st.from_regex(r"[a-z][a-z0-9_]{0,10}", fullmatch=True).filter(
    lambda key: key not in {"time", "event", "key", "token", "state"}
)


@given(st.dictionaries(KEYS, st.text(max_size=100), max_size=6))
def test_what_is_written_is_read_back(fields: dict[str, str]) -> None:
    """Values with blanks, quotes, equal signs, backslashes, line ends and any other letter."""
    hidden = {name for name in fields if "hidden" in format_pairs({name: fields[name]})}
    shown = {name: value for name, value in fields.items() if name not in hidden}
    pairs = {"time": "1", "event": "note", **shown}
    assert parse_pairs(format_pairs(pairs)) == pairs


@given(st.text(max_size=200))
def test_any_text_is_a_line_or_none(text: str) -> None:
    parse_pairs(text)
    parse_pairs("time=" + text)
