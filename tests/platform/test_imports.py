"""Check that the programs load no library that their role has no use for."""

import subprocess
import sys

import pytest

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
