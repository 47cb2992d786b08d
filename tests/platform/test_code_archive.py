"""Programs that import their modules from one file."""

import importlib.util
import os
import subprocess
import sys
from pathlib import Path

import pytest

from cranberrywall.platform._code_archive import CodeArchive
from cranberrywall.platform._loading import ARCHIVE_VARIABLE

ROOT = Path(__file__).parents[2]
PROGRAM = "cranberrywall.platform._core_program"

WRITE = f"""
import sys
import {PROGRAM}
from cranberrywall.platform._code_archive import write_archive
write_archive(sys.argv[1])
"""

LOAD = f"""
import sys
bytecode = []

def note(event, args):
    if event == "open" and str(args[0]).endswith(".pyc"):
        bytecode.append(args[0])

sys.addaudithook(note)
from cranberrywall.platform._loading import archive_problems, load
program = load("{PROGRAM}")
import cranberrywall.links as links
print(len(bytecode), program.__file__, links.__path__[0], callable(program.main))
print(*archive_problems)
"""


def run(code: str, *arguments: str, archive: str = "") -> str:
    environment = {**os.environ, ARCHIVE_VARIABLE: archive}
    ran = subprocess.run(
        [sys.executable, "-c", code, *arguments],
        capture_output=True,
        text=True,
        timeout=60.0,
        check=True,
        cwd=ROOT,
        env=environment,
    )
    return ran.stdout.strip()


@pytest.fixture(scope="module")
def archive(tmp_path_factory: pytest.TempPathFactory) -> str:
    path = str(tmp_path_factory.mktemp("archive") / "core.code")
    run(WRITE, path)
    return path


def test_a_program_reads_its_modules_from_one_file(archive: str) -> None:
    """Guards against a fleet that serves nobody for seconds, while it opens hundreds of files."""
    opened, *rest = run(LOAD, archive=archive).split()
    opened_without, *rest_without = run(LOAD).split()
    assert int(opened) < 50 < 300 < int(opened_without)
    assert rest == rest_without


@pytest.mark.parametrize("size", [0, 7, 8, 100, -1])
def test_a_program_starts_without_an_archive_that_is_cut_short(
    archive: str, tmp_path: Path, size: int
) -> None:
    """Guards against a program that does not start after a build that was interrupted."""
    cut = tmp_path / "cut.code"
    cut.write_bytes(Path(archive).read_bytes()[:size])
    loaded, problem = run(LOAD, archive=str(cut)).splitlines()
    assert loaded.endswith("True")
    assert problem.startswith(f"{cut}: ")


def test_an_archive_of_another_interpreter_is_refused(
    archive: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against code that this interpreter runs wrongly."""
    monkeypatch.setattr(importlib.util, "MAGIC_NUMBER", b"else")
    with pytest.raises(ValueError, match="another interpreter"):
        CodeArchive(Path(archive).read_bytes())
