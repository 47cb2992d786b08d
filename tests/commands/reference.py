"""Make the reference page of commands from the commands' own help.

``python -m tests.commands.reference`` writes ``docs/reference/commands.md``.
"""

import importlib
import tomllib
from collections.abc import Iterator
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "reference" / "commands.md"
WIDTH = 80

INTRODUCTION = """\
# Commands

Each program's help, as `--help` prints it. This page is made from the programs by
`python -m tests.commands.reference`, and a test compares the two.

`cranberrywallctl` finds the fleet by `--fleet FILE` (any process's settings file, or a file
with `controls` and `fleet_key`), or by `--controls` and `--key`. Options that go before the
subcommand may stand in the environment, as their help says. `--json` prints one JSON document
on standard output; errors go to standard error, and with `--json` also to standard output as
`{"error": {"kind", "message", "field", "remedy"}}`.

Bash completes subcommands and options after
`eval "$(_CRANBERRYWALLCTL_COMPLETE=bash_source cranberrywallctl)"` (`zsh_source` and
`fish_source` for the other shells).

| exit code | means | what to do |
|---|---|---|
| 0 | done | |
| 1 | refused: the fleet's answer is no, and it names the reason | follow the remedy |
| 2 | wrong usage, file or value | correct what is named |
| 3 | no current control host was reached; nothing was done | try again; see `groups show` |
| 4 | outcome unknown | send the same again, with the same change id |
| 5 | conflict: another change came first | look at what changed, decide anew |
| 6 | a report's sums do not add up | keep the report, and stop: this must not happen |
"""


def make_page() -> str:
    """Return the page."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    parts = [INTRODUCTION]
    for name, target in sorted(project["scripts"].items()):
        module, _, attribute = target.partition(":")
        command = getattr(importlib.import_module(module), attribute)
        parts += [_section(path, help_text) for path, help_text in _helps(name, command)]
    return "\n".join(parts)


def _section(path: str, help_text: str) -> str:
    return f"## {path}\n\n```text\n{help_text}\n```\n"


def _helps(
    path: str, command: click.Command, parent: click.Context | None = None
) -> Iterator[tuple[str, str]]:
    name = path.rpartition(" ")[2]
    context = click.Context(command, info_name=name, parent=parent, max_content_width=WIDTH)
    context.terminal_width = WIDTH
    yield path, command.get_help(context)
    if isinstance(command, click.Group):
        for child in command.list_commands(context):
            found = command.get_command(context, child)
            if found is not None:
                yield from _helps(f"{path} {child}", found, context)


if __name__ == "__main__":
    PAGE.write_text(make_page(), encoding="utf-8")
