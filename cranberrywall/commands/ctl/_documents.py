"""Read configuration documents from files, and show differences between them."""

import re
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple, NoReturn

import click
import yaml
from result import Err

from cranberrywall.commands.ctl._exits import Exit
from cranberrywall.commands.ctl._output import print_json
from cranberrywall.commands.ctl._session import Ctl
from cranberrywall.configuration import Document, Edit, load_document
from cranberrywall.settings import Problem

_REVISION_LINE = re.compile(r"^# revision: (\d+)$", re.MULTILINE)


class DocumentFile(NamedTuple):
    """Hold a checked document, and the revision that its first comment names, or ``None``."""

    document: Document
    revision: int | None


def read_document_file(ctl: Ctl, path: str) -> DocumentFile:
    """Return the file's document, or print every problem and exit."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        ctl.fail_input(f"is not readable: {error}", "FILE", "give a YAML file in UTF-8")
    loaded = load_document(text)
    if isinstance(loaded, Err):
        exit_with_problems(ctl, path, loaded.err_value)
    noted = _REVISION_LINE.search(text)
    return DocumentFile(loaded.ok_value, int(noted.group(1)) if noted else None)


def exit_with_problems(ctl: Ctl, path: str, problems: list[Problem]) -> NoReturn:
    """Print each problem on a line, and exit."""
    if ctl.options.is_json:
        print_json({"file": path, "problems": problems})
    for problem in problems:
        click.echo(str(problem), err=True)
    sys.exit(Exit.WRONG_INPUT)


def revision_line(revision: int) -> str:
    """Return the comment by which ``apply`` knows what a file was based on."""
    return f"# revision: {revision}\n"


def format_edits(before: Mapping[str, Any], edits: tuple[Edit, ...]) -> str:
    """Return edits as lines for people: ``+`` added, ``-`` removed, ``~`` changed."""
    return "\n".join(_format_edit(before, edit) for edit in edits)


def _format_edit(before: Mapping[str, Any], edit: Edit) -> str:
    path = f"{edit.section}.{edit.name}" if edit.name else edit.section
    old = before[edit.section].get(edit.name) if edit.name else before[edit.section]
    if old is None:
        return f"+ {path}: {_flat(edit.value)}"
    if edit.value is None:
        return f"- {path}: {_flat(old)}"
    return f"~ {path}: {_flat(old)} -> {_flat(edit.value)}"


def _flat(value: object) -> str:
    text = yaml.safe_dump(value, default_flow_style=True, width=2**20, allow_unicode=True)
    return text.removesuffix("\n").removesuffix("\n...")
