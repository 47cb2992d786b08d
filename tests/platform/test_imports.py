"""Check what the programs load, and that a signal does not end them meanwhile."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

PEOPLES_LIBRARIES = ("aiomisc", "cProfile", "click", "rich", "yaml")
"""Read command lines and YAML, write to terminals, and profile: the platform asks for none."""

NEEDLESS = {
    "front": ("numpy", "cryptography", "hdrh", "jinja2", "matplotlib", *PEOPLES_LIBRARIES),
    "core": (
        "cryptography",
        "hdrh",
        "jinja2",
        "matplotlib",
        *PEOPLES_LIBRARIES,
        "cranberrywall.budgets._allotments",
        "cranberrywall.forwarding",
        "cranberrywall.routing",
        "cranberrywall.quarantine",
    ),
}


@pytest.mark.parametrize("module", sorted(NEEDLESS))
def test_a_program_loads_no_library_that_it_has_no_use_for(module: str) -> None:
    """A host that was killed serves nothing for a quarter of a second longer than it must.

    Its start is spent on libraries for certificates and for the ledger's ids, which an entry
    host never uses. Cause: modules that name them are imported for something else.
    """
    code = (
        f"import sys, cranberrywall.platform._{module}_program\n"
        f"print(*[name for name in {NEEDLESS[module]!r} if name in sys.modules])"
    )
    ran = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=30.0, check=True
    )
    assert ran.stdout.strip() == ""


def test_a_change_of_the_settings_does_not_end_a_program_that_is_loading(tmp_path: Path) -> None:
    """Guards against a host that is gone: SIGHUP came in the first second of its process."""
    (tmp_path / "changed.py").write_text("import signal\nsignal.raise_signal(signal.SIGHUP)\n")
    code = "from cranberrywall.platform._loading import load; load('changed'); print('loaded')"
    environment = {"PYTHONPATH": f"{tmp_path}:{ROOT}"}
    ran = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=30.0, env=environment
    )
    assert (ran.returncode, ran.stdout.strip()) == (0, "loaded")
