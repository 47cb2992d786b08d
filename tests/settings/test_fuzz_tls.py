"""Check that nothing in the section ``tls`` makes the checks fail instead of the settings."""

import copy
from pathlib import Path
from typing import Any

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from cranberrywall.settings import load_settings, make_keys_file
from tests.configuration.test_fuzz import data, paths_of
from tests.settings.test_load import GOOD
from tests.tls.site import make_site

PAIR = {"certificate": "entry-1.crt", "key": "entry-1.key"}
WHOLE = {
    **GOOD,
    "tls": {**PAIR, "authorities": "authorities.crt", "reread": "30s", "callers": PAIR},
}
PATHS = [path for path in paths_of(WHOLE) if path[:1] == ("tls",)]
PATH_TEXTS = st.sampled_from(["\0", "a\0b", "x" * 5000, "/", ".", "..", "entry-1.key", "~"])


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    made = make_site(tmp_path_factory.mktemp("site"), GOOD["host"])
    (made / "data").mkdir()
    make_keys_file(str(made / "fleet.key"))
    return made


def load(folder: Path, text: bytes) -> Any:
    file = folder / "settings.yaml"
    file.write_bytes(text)
    loaded = load_settings(str(file))
    if isinstance(loaded, Err):
        assert loaded.err_value
        assert all(problem.message and problem.remedy for problem in loaded.err_value)
    return loaded


def test_the_settings_that_are_changed_here_are_right_before(folder: Path) -> None:
    assert isinstance(load(folder, yaml.safe_dump(WHOLE).encode()), Ok)


@settings(derandomize=True, max_examples=250, deadline=None)
@given(path=st.sampled_from(PATHS), value=st.one_of(data, PATH_TEXTS))
def test_a_section_with_anything_anywhere_is_checked(
    folder: Path, path: tuple[Any, ...], value: Any
) -> None:
    document: Any = {"top": copy.deepcopy(WHOLE)}
    place = document
    for key in ("top", *path)[:-1]:
        place = place[key]
    place[("top", *path)[-1]] = value
    load(
        folder, yaml.safe_dump(document["top"], allow_unicode=True).encode("utf-8", "surrogatepass")
    )
