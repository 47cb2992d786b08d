"""Check that no data makes the checks fail instead of the data."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywall.configuration import check_document, dump_document, load_document
from tests.configuration.documents import make_document

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.sampled_from(["1.2.3.4:5", "9.9.9.9:99999", "desk", "POST /x", "GET"]),
)
data = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.one_of(st.text(max_size=6), st.integers()), inner, max_size=3),
    ),
    max_leaves=6,
)


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    entries: list[tuple[Any, Any]] = []
    if isinstance(value, dict):
        entries = list(value.items())
    if isinstance(value, list):
        entries = list(enumerate(value))
    return [path] + [found for key, entry in entries for found in paths_of(entry, (*path, key))]


PATHS = paths_of(make_document())[1:]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(path=st.sampled_from(PATHS), value=data)
def test_a_document_with_anything_anywhere_is_checked(path: tuple[Any, ...], value: Any) -> None:
    document = make_document()
    place = document
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    problems = check_document(document)
    assert all(problem.message and problem.remedy for problem in problems)
    if not problems:
        assert load_document(dump_document(document)).unwrap() == document


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.one_of(data, st.dictionaries(st.text(max_size=6), data, max_size=3)))
def test_anything_at_all_is_checked(value: Any) -> None:
    assert check_document(value)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.text(alphabet="{}[]:-&*!|>%@`'\"#,\n ab1.", max_size=40))
def test_any_text_is_read_or_refused(text: str) -> None:
    assert load_document(text).is_err()
