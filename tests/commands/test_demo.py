"""Check that the demo serves both users' requests and that its three sides agree."""

import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from cranberrywall.commands.demo import main


def test_the_demo_agrees_with_its_bills_and_its_targets() -> None:
    result = CliRunner().invoke(main, ["--once"])
    lines = result.stdout.strip().splitlines()
    assert result.exit_code == 0, result.output
    sums = {name: int(value) for name, value in re.findall(r"(\w+)=(\d+)", lines[-1])}
    assert len(lines) == sums["requests"] + 1
    assert sums["requests"] == sums["answered"] + sums["refused"]
    assert sums["answered"] == sums["billed"] + sums["duplicates"]
    assert sums["refused"] == 2
    assert sums["duplicates"] == 1
    assert sums["overspend"] == 0


def test_without_the_examples_it_says_where_to_run_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A user installs the package and runs the demo far from its checkout.

    The examples are no part of the package; the user saw a traceback of a file not found.
    """
    monkeypatch.setattr("cranberrywall.commands.demo.EXAMPLES", tmp_path / "examples")
    result = CliRunner().invoke(main, ["--once"])
    assert result.exit_code == 2
    assert "from a checkout" in result.output
