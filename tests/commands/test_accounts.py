"""Check the command that manages the console's accounts."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from cranberrywall.commands.accounts import main
from cranberrywall.demo import SAVINGS_BOARD, FleetSize, read_deployment, write_fleet


@pytest.fixture
def settings(tmp_path: Path) -> str:
    files = write_fleet(tmp_path / "fleet", read_deployment(SAVINGS_BOARD), FleetSize(1, 1), 7)
    return str(files.of_role("console")[0].path)


def run(settings: str, *arguments: str, typed: str = "") -> tuple[int, str]:
    result = CliRunner().invoke(main, ["--settings", settings, *arguments], input=typed)
    return result.exit_code, result.output


def test_accounts_are_put_listed_and_removed(settings: str) -> None:
    password = "correct horse battery\n"
    status, output = run(settings, "put", "omar", "--role", "operator", typed=password * 2)
    assert status == 0
    assert "correct horse" not in output
    assert "omar has the role operator\n" in output
    assert run(settings, "list") == (0, "omar operator\n")
    assert run(settings, "remove", "omar")[0] == 0
    assert run(settings, "list") == (0, "")


def test_a_short_password_and_a_wrong_role_are_refused(settings: str) -> None:
    status, output = run(settings, "put", "omar", "--role", "operator", typed="short\nshort\n")
    assert status == 2
    assert "at least 12 characters" in output
    assert run(settings, "put", "omar", "--role", "owner")[0] == 2
    assert run(settings, "list") == (0, "")
