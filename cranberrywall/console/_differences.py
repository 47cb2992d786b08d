"""Show what a change does to the document, line by line."""

import difflib
from typing import Any, NamedTuple

import yaml

CONTEXT_LINES = 3


class DifferenceLine(NamedTuple):
    """Hold one line; ``mark`` is ``+``, ``-`` or a space."""

    mark: str
    text: str


def entry_yaml(section: str, name: str, value: Any) -> str:
    """Return one entry as it stands in the document; nothing for one that is not there."""
    if value is None:
        return ""
    entry = value if name == "" else {name: value}
    return yaml.safe_dump({section: entry}, sort_keys=False, allow_unicode=True)


def difference(section: str, name: str, before: Any, after: Any) -> list[DifferenceLine]:
    """Return the lines of an entry that differ, with some lines around them."""
    lines = difflib.unified_diff(
        entry_yaml(section, name, before).splitlines(),
        entry_yaml(section, name, after).splitlines(),
        lineterm="",
        n=CONTEXT_LINES,
    )
    return [
        DifferenceLine(line[0], line[1:])
        for line in lines
        if not line.startswith(("---", "+++", "@@"))
    ]
