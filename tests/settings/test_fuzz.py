"""Check that no file of settings makes the checks fail instead of the settings."""

import copy
import tempfile
from pathlib import Path
from typing import Any

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from cranberrywall.settings import load_settings, make_keys_file
from tests.configuration.test_fuzz import data, paths_of
from tests.settings.test_load import GOOD

odd_texts = st.sampled_from(
    ["a\0b", "x" * 5000, "..", "/", "127.0.0.1:", ":1", "1.2.3.4:999999", "9" * 400 + "s", "-1ms"]
)
PATHS = paths_of(GOOD)[1:]


def check(text: str | bytes) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "data").mkdir()
        make_keys_file(str(folder / "fleet.key"))
        file = folder / "entry.yaml"
        file.write_bytes(text.encode() if isinstance(text, str) else text)
        result = load_settings(str(file))
        if isinstance(result, Err):
            assert all(problem.message and problem.remedy for problem in result.err_value)
            assert result.err_value


@settings(derandomize=True, max_examples=300, deadline=None)
@given(path=st.sampled_from(PATHS), value=st.one_of(odd_texts, data))
def test_settings_with_anything_anywhere_are_checked(path: tuple[Any, ...], value: Any):
    document: Any = copy.deepcopy(GOOD)
    place = document
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    check(yaml.safe_dump(document))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.one_of(st.binary(max_size=60), st.text("{}[]:-&*!|>%@`'\"#,\n ab1.", max_size=40)))
def test_any_file_is_read_or_refused(text: str | bytes):
    check(text)
