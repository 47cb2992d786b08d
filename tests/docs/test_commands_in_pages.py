"""Check that the commands shown in the pages exist, with each of their options."""

import re
import shlex
from pathlib import Path

import click
import pytest

from cranberrywall.commands.accounts import main as accounts
from cranberrywall.commands.console import main as console
from cranberrywall.commands.control import main as control
from cranberrywall.commands.ctl import main as ctl
from cranberrywall.commands.demo import main as demo
from cranberrywall.commands.entry import main as entry
from cranberrywall.commands.load import main as load

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
COMMAND_BY_NAME: dict[str, click.Command] = {
    "cranberrywallctl": ctl,
    "cranberrywall-accounts": accounts,
    "cranberrywall-console": console,
    "cranberrywall-control": control,
    "cranberrywall-demo": demo,
    "cranberrywall-entry": entry,
    "cranberrywall-load": load,
}
SHELL_ENDS = {"|", "&", ">", ">>", "2>", ";", "&&"}


def shown(page: Path) -> list[str]:
    text = re.sub(r"\\\n\s*>?\s*", " ", page.read_text(encoding="utf-8"))
    lines = re.findall(
        r"^(?:\s*[$>] +| {4,})(?:for .* do )?(cranberrywall(?:ctl|-\w+) .*)$", text, re.MULTILINE
    )
    inline = re.findall(r"`(cranberrywallctl [^`\n]+)`", text)
    return lines + inline


def words(line: str) -> list[str]:
    split = shlex.split(line.replace(";", " ; "), comments=True)
    end = next((n for n, word in enumerate(split) if word in SHELL_ENDS), len(split))
    return split[:end]


def unknown(line: str) -> list[str]:
    """Return the subcommands and options of ``line`` that do not exist."""
    name, *rest = words(line)
    command = COMMAND_BY_NAME[name]
    wrong = []
    options = _options(command)
    for word in rest:
        if word.startswith("--"):
            if word.partition("=")[0] not in options:
                wrong.append(word)
        elif isinstance(command, click.Group) and re.fullmatch(r"[a-z][a-z-]+", word):
            found = command.commands.get(word)
            if found is None:
                wrong.append(word)
                break
            command = found
            options = options | _options(command)
    return wrong


def _options(command: click.Command) -> set[str]:
    names = {"--help"}
    for parameter in command.params:
        names.update(parameter.opts)
        names.update(parameter.secondary_opts)
    return names


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_each_command_of_a_page_exists(page: Path):
    assert [(line, unknown(line)) for line in shown(page) if unknown(line)] == []


def test_a_command_or_option_that_does_not_exist_is_found():
    assert unknown("cranberrywallctl opens 2026-11") == ["opens"]
    assert unknown("cranberrywallctl close 2026-11 --trough now") == ["--trough"]
    assert unknown("cranberrywallctl groups show | head --lines 3") == []


def test_the_tutorial_shows_commands():
    assert len(shown(ROOT / "docs" / "tutorial" / "first-month.md")) > 10
