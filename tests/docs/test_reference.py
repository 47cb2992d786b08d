"""Check that the reference pages say what the code does."""

import re
from pathlib import Path
from typing import Any, get_type_hints

import pytest

from cranberrywall.errors import ErrorKind, render_reference
from cranberrywall.links import DropReason
from cranberrywall.settings import DEFAULTS, Settings

ROOT = Path(__file__).parents[2]
REFERENCE = ROOT / "docs" / "reference"


def page(name: str) -> str:
    return (REFERENCE / name).read_text(encoding="utf-8")


def source() -> str:
    files = (ROOT / "cranberrywall").rglob("*.py")
    return "\n".join(file.read_text(encoding="utf-8") for file in files)


def test_the_page_of_error_kinds_is_that_of_the_table():
    assert page("error-kinds.md") == render_reference(), "run python .ci/write_reference.py"
    assert page("error-kinds.md").count("\n| `") == len(ErrorKind)


def _fields(shape: Any, prefix: str = "") -> list[str]:
    names = []
    for name, hint in get_type_hints(shape).items():
        below = _fields(hint, f"{prefix}{name}.") if hasattr(hint, "__required_keys__") else []
        names += below or [prefix + name]
    return names


@pytest.mark.parametrize("field", _fields(Settings))
def test_each_setting_is_on_its_page_with_its_default(field: str):
    [row] = re.findall(rf"^\| `{re.escape(field)}` \|(.*)$", page("settings.md"), re.MULTILINE)
    default: Any = DEFAULTS
    for part in field.split("."):
        default = default.get(part) if isinstance(default, dict) else None
    expected = ("needed", "none") if default is None else (f"`{default}`",)
    assert row.strip().startswith(expected)


def test_each_check_of_settings_is_on_its_page():
    documented = set(re.findall(r"^\| `(S\d+)` \|", page("settings.md"), re.MULTILINE))
    assert documented == set(re.findall(r'"(S\d{3})"', source()))


@pytest.mark.parametrize("reason", list(DropReason))
def test_each_reason_for_a_drop_is_on_the_page_of_metrics(reason: DropReason):
    assert f"\n| `{reason}` |" in page("metrics.md")


def test_each_event_is_on_the_page_of_log_events():
    first_cells = re.findall(r"^\| (`[^|]+`) \|", page("log-events.md"), re.MULTILINE)
    documented = set(re.findall(r"`([a-z_]+)`", " ".join(first_cells)))
    called = re.findall(
        r'(?:log_event|\.log|_report|\.event)\([^)]*?"([a-z]+(?:_[a-z]+)*)"', source()
    )
    assert set(called) == documented
