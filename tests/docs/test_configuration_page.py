"""Check that the page of the configuration document says what the code does."""

import re
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints, is_typeddict

from cranberrywall.configuration import Document
from cranberrywall.configuration._answers import ACCEPTED_LIMIT, REFUSED_LIMIT
from cranberrywall.configuration._records import RECORDS_LIMIT
from cranberrywall.orders._plan import DEFAULT_CONCURRENT_LOADS

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "reference" / "configuration.md").read_text(encoding="utf-8")


def fields_of(shape: Any, path: str) -> list[str]:
    """Return the paths of all fields, with NAME for each name that operators choose."""
    if is_typeddict(shape):
        hints = get_type_hints(shape)
        return [
            field
            for key, hint in hints.items()
            for field in fields_of(hint, f"{path}.{key}" if path else key)
        ]
    if get_origin(shape) is dict:
        return fields_of(get_args(shape)[1], f"{path}.NAME")
    return [path]


def test_each_field_is_on_the_page_and_no_other() -> None:
    documented = re.findall(r"^\| `([a-z_.NAME0-9]+)` \|", PAGE, re.MULTILINE)
    fields = [field for field in documented if not re.fullmatch(r"C\d+", field)]
    assert sorted(fields) == sorted(fields_of(Document, ""))


def test_each_check_is_on_the_page_and_no_other() -> None:
    files = (ROOT / "cranberrywall" / "configuration").glob("*.py")
    source = "\n".join(file.read_text(encoding="utf-8") for file in files)
    codes = set(re.findall(r'^[A-Z_]+ = "(C\d{3})"$', source, re.MULTILINE))
    assert set(re.findall(r"^\| `(C\d+)` \|", PAGE, re.MULTILINE)) == codes


def test_the_limits_are_those_of_the_code() -> None:
    assert f"last {ACCEPTED_LIMIT} accepted and {REFUSED_LIMIT} refused" in PAGE
    assert f"The last {RECORDS_LIMIT} revisions" in PAGE
    assert f"may be absent ({DEFAULT_CONCURRENT_LOADS})" in PAGE
