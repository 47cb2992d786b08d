"""Check that the summary holds every measurement, and says which failed."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from measurements import everything


@pytest.fixture
def package(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    folder = tmp_path / "measurements"
    folder.mkdir()
    (folder / "__init__.py").write_text("")
    (folder / "_helper.py").write_text("")
    (folder / "good.py").write_text("print('table')\nprint('answered=3 lost=0')")
    (folder / "bad.py").write_text("raise SystemExit('no fleet')")
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(everything, "PACKAGE", folder)
    monkeypatch.setattr(everything, "OUT", tmp_path / "out")
    return folder


def test_all_are_run_and_a_failure_is_shown(package: Path) -> None:
    assert everything.measurement_names() == ["bad", "good"]
    result = CliRunner().invoke(everything.main)
    assert result.exit_code == 1
    summary = (package.parent / "out" / "summary.md").read_text("utf-8")
    assert "| bad | `python -m measurements.bad` | 0 | 1 | no fleet |" in summary
    assert "| 0 | answered=3 lost=0 |" in summary
    assert (package.parent / "out" / "good.txt").read_text("utf-8").startswith("table")
    assert CliRunner().invoke(everything.main, ["good"]).exit_code == 0


def test_the_capacity_table_is_made_after_the_figures_that_it_reads() -> None:
    names = everything.measurement_names()
    assert names[-1] == "capacity"
    assert names[:-1] == sorted(names[:-1])
    assert {"control_cost", "node_cost", "ledger_size"} < set(names)
